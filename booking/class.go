package booking

// NumClasses is the number of priority classes.
const NumClasses = 16

// firstUnprotected is the lowest class of unprotected work.
const firstUnprotected = NumClasses / 2

// Class is a priority class: calls of a lower class are served first and shed
// last. All protected work comes before all unprotected work, each ordered by
// rank.
type Class uint8

// ClassOf returns the class of a rank, which is clamped to the range 0 to 7.
func ClassOf(protected bool, rank int) Class {
	rank = max(0, min(rank, firstUnprotected-1))
	if protected {
		return Class(rank)
	}
	return Class(firstUnprotected + rank)
}

// Protected reports whether the class is of protected work.
func (c Class) Protected() bool { return c < firstUnprotected }

// Rank returns the rank within protected or unprotected work.
func (c Class) Rank() int { return int(c % firstUnprotected) }
