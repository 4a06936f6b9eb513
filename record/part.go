package record

// Part is a service that gets a share of the requests of a kind of work.
type WeightedService struct {
	Service string
	// Weight is positive; the share is the weight over the sum of all weights.
	Weight float64
}

// partAt returns the service at a point from 0 to 1, 1 excluded, of the parts
// laid end to end by weight.
func serviceAt(parts []WeightedService, point float64) string {
	total := 0.0
	for _, p := range parts {
		total += p.Weight
	}
	point *= total
	for _, p := range parts {
		if point < p.Weight {
			return p.Service
		}
		point -= p.Weight
	}
	return parts[len(parts)-1].Service
}
