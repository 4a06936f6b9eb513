package dispatch

// Locality is the region and zone of a VM.
type Locality struct {
	// Region and Zone are named as in the rosters.
	Region, Zone string
}

// Tier is the distance of a VM from the node.
type Tier uint8

// Tiers, nearest first: the zone of the node, other zones of its region, other
// regions.
const (
	TierZone Tier = iota
	TierRegion
	TierFar
	numTiers = 3
)

// String returns the name that is used in metrics.
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

// tierOf returns the distance of other from l.
func (l Locality) tierOf(other Locality) Tier {
	switch {
	case l.Region != other.Region:
		return TierFar
	case l.Zone != other.Zone:
		return TierRegion
	default:
		return TierZone
	}
}
