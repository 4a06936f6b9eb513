package kiln

import "math"

// upstream is the modelled server of a VM.
type upstream struct {
	sim     *simulation
	service *Service
	// number is that of the VM within its service.
	index int
	speed float64
	// running and waiting are requests that it has taken.
	running int
	// since is the time of the last change of running.
	lastChange micros
	waiting    []func()
}

// shed reports whether the upstream refuses a request.
func (u *upstream) refuses() bool {
	now := u.sim.scheduler.now.millis()
	for _, t := range u.sim.plan.Disturbances {
		if s, ok := t.(Shedding); ok && s.contains(now) && s.Service == u.service.Name {
			return u.sim.random.Float64() < s.Share
		}
	}
	return false
}

// work runs the upstream's own part of a request once there is a slot, and then
// calls done, which calls end when the slot is free again.
func (u *upstream) run(k *Kind, done func(end func())) {
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

// count changes the number of running requests, and notes the slot time that
// has passed.
func (u *upstream) changeRunning(change int) {
	now := u.sim.scheduler.now
	u.sim.result.recordSlotTime(u.service.Name, u.lastChange, now, u.running)
	u.lastChange = now
	u.running += change
}

// span draws the duration of the own work of a request, in milliseconds.
func (u *upstream) drawServiceTime(k *Kind) float64 {
	deviation := math.Sqrt(math.Log1p(k.Variation * k.Variation))
	span := float64(k.ServiceTime) * math.Exp(deviation*u.sim.random.NormFloat64()-deviation*deviation/2) / u.speed
	if s := u.service; s.Knee > 0 && float64(u.running) > s.Knee*float64(s.Slots) {
		span *= s.KneeFactor
	}
	now := u.sim.scheduler.now.millis()
	for _, t := range u.sim.plan.Disturbances {
		if s, ok := t.(Slowdown); ok && s.contains(now) && s.Service == u.service.Name && u.index < s.VMs {
			span *= s.Factor
		}
	}
	return span
}
