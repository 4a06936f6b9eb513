package booking

// Place returns the class in which a call of a class and kind is served, and
// whether it is an onward call: one that says so, or one of a kind that the desk
// has found to be. Those it has found come before all others.
func (d *Controller) Classify(class Class, kind string, onward bool) (Class, bool) {
	switch {
	case onward:
		return class, true
	case d.nestedDetector == nil || !d.nestedDetector.Nested(kind):
		return class, false
	default:
		return ClassOf(true, class.Rank()), true
	}
}

// SetSizes tells the number of VMs of each service, by which the desk judges
// from where calls begin.
func (d *Controller) SetServiceSizes(sizes map[string]int) {
	if d.nestedDetector != nil {
		d.nestedDetector.SetServiceSizes(sizes)
	}
}
