package kiln

import "cuminhollow.example/clock"

// umbrellaPlan is modelled on the grown deployment of the umbrella recovery
// service: claim-lookup and return-record reach the found registry through a chain
// of nested calls, with four calls there each, and registry-search calls it
// directly. Load is the number of client requests per second.
func umbrellaPlan(seed uint64, load float64, disturbances ...Disturbance) *Plan {
	rateUnit := load / 9.26
	return &Plan{
		Seed: seed,
		Zones: []Zone{
			{"north-a", "north", 0.19}, {"river-a", "river", 0.16}, {"hill-a", "hill", 0.15},
			{"north-b", "north", 0.19}, {"river-b", "river", 0.17}, {"hill-b", "hill", 0.14},
		},
		Services: []Service{
			{Name: "claims", VMsPerZone: 4, ExtraVMs: 5, Slots: 76, Speeds: []float64{0.5, 1, 1, 1.5}},
			{Name: "returns", VMsPerZone: 3, ExtraVMs: 3, Slots: 105, Speeds: []float64{0.6, 1, 1.4}},
			{Name: "intake", VMsPerZone: 1, ExtraVMs: 1, Slots: 316, Speeds: []float64{0.5, 1, 1, 1.5}},
			{Name: "found", VMsPerZone: 1, Slots: 102, Speeds: []float64{0.6, 1, 1.4}, Knee: 0.95, KneeFactor: 1.3},
		},
		Kinds: []Kind{
			{
				Name: "claim-lookup", Service: "claims", Rate: 4.8 * rateUnit, ServiceTime: 190, Variation: 0.5,
				NestedCalls: []NestedCalls{{"payout-check", 1}}, TargetTime: 1500, TimeLimit: 1500, ClientTimeout: 5000,
				Rank: 1, Idempotent: true, Tries: 2, Value: 1, LateValue: 0.1,
			},
			{
				Name: "return-record", Service: "returns", Rate: 2.1 * rateUnit, ServiceTime: 250, Variation: 0.5,
				NestedCalls: []NestedCalls{{"batch-index", 1}}, TargetTime: 3000, TimeLimit: 1500, ClientTimeout: 5000,
				Rank: 2, Tries: 2, Value: 1.5, LateValue: 0.15,
			},
			{
				Name: "photo-batch", Service: "intake", Rate: 0.66 * rateUnit, ServiceTime: 230, Variation: 0.5,
				TargetTime: 1000, TimeLimit: 4000, ClientTimeout: 4000, Rank: 1, Tries: 2, Value: 2, LateValue: 0.2,
			},
			{
				Name: "registry-search", Service: "found", Rate: 1.7 * rateUnit, ServiceTime: 78, Variation: 0.8,
				TargetTime: 500, TimeLimit: 1000, ClientTimeout: 2000, Idempotent: true, Tries: 2, Value: 3.8, LateValue: 0.15,
			},
			{Name: "payout-check", Service: "returns", ServiceTime: 15, Variation: 0.5, NestedCalls: []NestedCalls{{"batch-index", 1}}, TargetTime: 1000, TimeLimit: 2500, Rank: 1, Idempotent: true, Tries: 2},
			{Name: "batch-index", Service: "intake", ServiceTime: 15, Variation: 0.5, NestedCalls: []NestedCalls{{"depot-stock", 4}}, TargetTime: 800, TimeLimit: 2000, Rank: 1, Idempotent: true, Tries: 2},
			{Name: "depot-stock", Service: "found", ServiceTime: 49, Variation: 0.5, TargetTime: 300, TimeLimit: 700, Rank: 1, Idempotent: true, Tries: 2},
		},
		Disturbances: disturbances,
		Length:       planLength,
		RetryLimits:  RetryLimits{Share: 0.18, Base: 85, Window: 10 * clock.Second},
	}
}
