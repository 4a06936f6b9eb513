package kiln

import "math"

// upstream simulates the upstream of a VM.
type upstream struct {
	sim     *simulation
	service *Service
	// index is the index of the VM within its service.
	index int
	speed float64
	// running is the number of requests that occupy a slot.
	running int
	// lastChange is the time of the last change of running.
	lastChange micros
	// waiting starts the requests without a slot, in the order of their
	// arrival.
	waiting []func()
}

// refuses reports whether the upstream refuses a request.
func (u *upstream) refuses() bool {
	now := u.sim.scheduler.now.millis()
	for _, d := range u.sim.plan.Disturbances {
		if s, ok := d.(Shedding); ok && s.contains(now) && s.Service == u.service.Name {
			return u.sim.random.Float64() < s.Share
		}
	}
	return false
}

// run runs the upstream's own work of a request as soon as there is a free
// slot, and then calls done. The request keeps its slot until done calls
// release.
func (u *upstream) run(k *Kind, done func(release func())) {
	start := func() {
		u.changeRunning(1)
		u.sim.scheduler.after(u.drawServiceTime(k), func() { done(u.release) })
	}
	if u.running >= u.service.Slots {
		u.waiting = append(u.waiting, start)
		return
	}
	start()
}

func (u *upstream) release() {
	u.changeRunning(-1)
	if len(u.waiting) > 0 {
		next := u.waiting[0]
		u.waiting = u.waiting[1:]
		next()
	}
}

// changeRunning changes the number of running requests by delta, and records
// the slot time used since the last change.
func (u *upstream) changeRunning(delta int) {
	now := u.sim.scheduler.now
	u.sim.result.recordSlotTime(u.service.Name, u.lastChange, now, u.running)
	u.lastChange = now
	u.running += delta
}

// drawServiceTime draws the duration of the upstream's own work of a request,
// in milliseconds: from a log-normal distribution with the mean and the
// variation of the kind, adjusted for the speed, the knee and the slowdowns.
func (u *upstream) drawServiceTime(k *Kind) float64 {
	sigma := math.Sqrt(math.Log1p(k.Variation * k.Variation))
	duration := float64(k.ServiceTime) * math.Exp(sigma*u.sim.random.NormFloat64()-sigma*sigma/2) / u.speed
	if s := u.service; s.Knee > 0 && float64(u.running) > s.Knee*float64(s.Slots) {
		duration *= s.KneeFactor
	}
	now := u.sim.scheduler.now.millis()
	for _, d := range u.sim.plan.Disturbances {
		if s, ok := d.(Slowdown); ok && s.contains(now) && s.Service == u.service.Name && u.index < s.VMs {
			duration *= s.Factor
		}
	}
	return duration
}
