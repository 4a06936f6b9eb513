package kiln

import "math"

// upstream is the modelled server of a VM.
type upstream struct {
	world   *world
	service *Service
	// number is that of the VM within its service.
	number int
	speed  float64
	// running and waiting are requests that it has taken.
	running int
	// since is the time of the last change of running.
	since   micros
	waiting []func()
}

// shed reports whether the upstream refuses a request.
func (u *upstream) shed() bool {
	now := u.world.agenda.now.millis()
	for _, t := range u.world.plan.Troubles {
		if s, ok := t.(Shedding); ok && s.holds(now) && s.Service == u.service.Name {
			return u.world.random.Float64() < s.Share
		}
	}
	return false
}

// work runs the upstream's own part of a request once there is a slot, and then
// calls done, which calls end when the slot is free again.
func (u *upstream) work(k *Kind, done func(end func())) {
	start := func() {
		u.count(1)
		u.world.agenda.after(u.span(k), func() { done(u.end) })
	}
	if u.running >= u.service.Slots {
		u.waiting = append(u.waiting, start)
		return
	}
	start()
}

func (u *upstream) end() {
	u.count(-1)
	if len(u.waiting) > 0 {
		next := u.waiting[0]
		u.waiting = u.waiting[1:]
		next()
	}
}

// count changes the number of running requests, and notes the slot time that
// has passed.
func (u *upstream) count(change int) {
	now := u.world.agenda.now
	u.world.result.use(u.service.Name, u.since, now, u.running)
	u.since = now
	u.running += change
}

// span draws the duration of the own work of a request, in milliseconds.
func (u *upstream) span(k *Kind) float64 {
	deviation := math.Sqrt(math.Log1p(k.Spread * k.Spread))
	span := float64(k.Work) * math.Exp(deviation*u.world.random.NormFloat64()-deviation*deviation/2) / u.speed
	if s := u.service; s.Knee > 0 && float64(u.running) > s.Knee*float64(s.Slots) {
		span *= s.KneeFactor
	}
	now := u.world.agenda.now.millis()
	for _, t := range u.world.plan.Troubles {
		if s, ok := t.(Slowness); ok && s.holds(now) && s.Service == u.service.Name && u.number < s.VMs {
			span *= s.Factor
		}
	}
	return span
}
