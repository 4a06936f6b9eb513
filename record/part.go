package record

// WeightedService is a service that gets a share of the requests of a kind of
// work.
type WeightedService struct {
	Service string
	// Weight is positive. The share is the weight divided by the sum of all
	// weights.
	Weight float64
}

// serviceAt selects a service by weight. The point is in [0, 1): each service
// covers a range as large as its share, in the order of the slice.
func serviceAt(services []WeightedService, point float64) string {
	total := 0.0
	for _, s := range services {
		total += s.Weight
	}
	point *= total
	for _, s := range services {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return services[len(services)-1].Service
}
