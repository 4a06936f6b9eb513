package booking

// Classify returns the class in which a call of a class and kind is served, and
// whether it is nested: marked as such, or of a kind that was detected to be.
// Calls of a detected kind are served as protected work of their rank, before all
// unprotected work.
func (ct *Controller) Classify(class Class, kind string, nested bool) (Class, bool) {
	switch {
	case nested:
		return class, true
	case ct.nestedDetector == nil || !ct.nestedDetector.Nested(kind):
		return class, false
	default:
		return ClassOf(true, class.Rank()), true
	}
}

// SetServiceSizes sets the number of VMs of each service, which nested call
// detection needs to compare the origins of calls. It has no effect without
// WithNestedDetection.
func (ct *Controller) SetServiceSizes(sizes map[string]int) {
	if ct.nestedDetector != nil {
		ct.nestedDetector.SetServiceSizes(sizes)
	}
}
