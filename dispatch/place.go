package dispatch

// Place is where a VM runs.
type Locality struct {
	// Region and Zone are the names that rosters use.
	Region, Zone string
}

// Tier orders VMs by their distance from the node.
type Tier uint8

// The tiers, nearest first.
const (
	TierZone Tier = iota
	TierRegion
	TierFar
	numTiers = 3
)

// String returns the name used in metrics.
func (t Tier) String() string {
	switch t {
	case TierZone:
		return "zone"
	case TierRegion:
		return "region"
	case TierFar:
		return "far"
	default:
		return "unknown"
	}
}

// tierOf returns how far other is from p.
func (p Locality) tierOf(other Locality) Tier {
	switch {
	case p.Region != other.Region:
		return TierFar
	case p.Zone != other.Zone:
		return TierRegion
	default:
		return TierZone
	}
}
