package kiln

import "cuminhollow.example/clock"

// planLength is how long clients send requests in these plans, in milliseconds.
const planLength = 14 * clock.Second

// kilnFirmPlan is modelled on the deployment of the kiln firm: batch-history
// and burn-seal reach the moisture service through a chain of nested calls,
// with four calls there each, and grade-cert calls it directly. Load is the
// number of client requests per second.
func kilnFirmPlan(seed uint64, load float64, disturbances ...Disturbance) *Plan {
	rateUnit := load / 7.78
	return &Plan{
		Seed: seed,
		Zones: []Zone{
			{"bhuj", "kutch", 0.18}, {"godhra", "panchmahal", 0.15}, {"ahwa", "dangs", 0.2},
			{"anjar", "kutch", 0.15}, {"halol", "panchmahal", 0.15}, {"waghai", "dangs", 0.17},
		},
		Services: []Service{
			{Name: "history", VMsPerZone: 1, Slots: 72, Speeds: []float64{0.7, 0.7, 1.6}},
			{Name: "register", VMsPerZone: 1, Slots: 72, Speeds: []float64{0.5, 1, 1, 1.5}},
			{Name: "dispatch", VMsPerZone: 1, Slots: 72, Speeds: []float64{0.7, 0.7, 1.6}},
			{Name: "moisture", VMsPerZone: 1, Slots: 19, Speeds: []float64{0.6, 1, 1.4}, Knee: 0.95, KneeFactor: 1.3},
		},
		Kinds: []Kind{
			{
				Name: "batch-history", Service: "history", Rate: 4 * rateUnit, ServiceTime: 220, Variation: 0.5,
				NestedCalls: []NestedCalls{{"seal-check", 1}}, TargetTime: 1500, TimeLimit: 1500, ClientTimeout: 5000,
				Rank: 1, Idempotent: true, Tries: 2, Value: 0.93, LateValue: 0.28,
			},
			{
				Name: "burn-seal", Service: "register", Rate: 1.8 * rateUnit, ServiceTime: 290, Variation: 0.3,
				NestedCalls: []NestedCalls{{"lot-stock", 1}}, TargetTime: 4000, TimeLimit: 2000, ClientTimeout: 5000,
				Rank: 2, Tries: 2, Value: 1.4, LateValue: 0.42,
			},
			{
				Name: "lot-booking", Service: "dispatch", Rate: 1.4 * rateUnit, ServiceTime: 150, Variation: 0.5,
				TargetTime: 500, TimeLimit: 1200, ClientTimeout: 2500, Tries: 2, Value: 5.3, LateValue: 0.64,
			},
			{
				Name: "grade-cert", Service: "moisture", Rate: 0.58 * rateUnit, ServiceTime: 180, Variation: 0.3,
				TargetTime: 600, TimeLimit: 1200, ClientTimeout: 2500, Rank: 1, Tries: 2, Value: 0.93, LateValue: 0.28,
			},
			{Name: "seal-check", Service: "register", ServiceTime: 15, Variation: 0.5, NestedCalls: []NestedCalls{{"lot-stock", 1}}, TargetTime: 1000, TimeLimit: 2500, Rank: 1, Idempotent: true, Tries: 2},
			{Name: "lot-stock", Service: "dispatch", ServiceTime: 15, Variation: 0.5, NestedCalls: []NestedCalls{{"grade-table", 4}}, TargetTime: 800, TimeLimit: 2000, Rank: 1, Idempotent: true, Tries: 2},
			{Name: "grade-table", Service: "moisture", ServiceTime: 55, Variation: 0.5, TargetTime: 300, TimeLimit: 700, Rank: 1, Idempotent: true, Tries: 2},
		},
		Disturbances: disturbances,
		Length:       planLength,
		RetryLimits:  RetryLimits{Share: 0.18, Base: 44, Window: 10 * clock.Second},
	}
}

// guildPlan is modelled on the deployment of the guild: cart-lookup and renewal
// reach the claims service through a chain of nested calls, with five calls
// there each, and claim calls it directly. Load is the number of client
// requests per second.
func guildPlan(seed uint64, load float64, disturbances ...Disturbance) *Plan {
	rateUnit := load / 8.4
	return &Plan{
		Seed: seed,
		Zones: []Zone{
			{"arima", "north", 0.19}, {"chaguanas", "central", 0.18}, {"mayaro", "east", 0.19},
			{"valencia", "north", 0.16}, {"couva", "central", 0.15}, {"rio-claro", "east", 0.13},
		},
		Services: []Service{
			{Name: "availability", VMsPerZone: 1, Slots: 135, Speeds: []float64{0.6, 1, 1.4}},
			{Name: "registry", VMsPerZone: 1, Slots: 135, Speeds: []float64{0.7, 0.7, 1.6}},
			{Name: "hiredesk", VMsPerZone: 1, Slots: 135, Speeds: []float64{0.5, 1, 1, 1.5}},
			{Name: "claims", VMsPerZone: 1, Slots: 15, Speeds: []float64{0.5, 1, 1, 1.5}, Knee: 0.95, KneeFactor: 1.3},
		},
		Kinds: []Kind{
			{
				Name: "cart-lookup", Service: "availability", Rate: 4.3 * rateUnit, ServiceTime: 60, Variation: 0.5,
				NestedCalls: []NestedCalls{{"member-read", 1}}, TargetTime: 1500, TimeLimit: 6000, ClientTimeout: 6000,
				Rank: 1, Idempotent: true, Tries: 2, Value: 0.88, LateValue: 0.44,
			},
			{
				Name: "renewal", Service: "registry", Rate: 1.7 * rateUnit, ServiceTime: 78, Variation: 0.3,
				NestedCalls: []NestedCalls{{"ledger-read", 1}}, TargetTime: 3000, TimeLimit: 800, ClientTimeout: 6000,
				Rank: 2, Tries: 2, Value: 1.3, LateValue: 0.66,
			},
			{
				Name: "deposit", Service: "hiredesk", Rate: 1.7 * rateUnit, ServiceTime: 42, Variation: 0.5,
				TargetTime: 250, TimeLimit: 1000, ClientTimeout: 1000, Tries: 2, Value: 5, LateValue: 1,
			},
			{
				Name: "claim", Service: "claims", Rate: 0.7 * rateUnit, ServiceTime: 48, Variation: 0.8,
				TargetTime: 300, TimeLimit: 1200, ClientTimeout: 1200, Rank: 1, Tries: 2, Value: 0.88, LateValue: 0.44,
			},
			{Name: "member-read", Service: "registry", ServiceTime: 15, Variation: 0.5, NestedCalls: []NestedCalls{{"ledger-read", 1}}, TargetTime: 1200, TimeLimit: 3000, Rank: 1, Idempotent: true, Tries: 2},
			{Name: "ledger-read", Service: "hiredesk", ServiceTime: 15, Variation: 0.5, NestedCalls: []NestedCalls{{"damage-read", 5}}, TargetTime: 1200, TimeLimit: 2500, Rank: 1, Idempotent: true, Tries: 2},
			{Name: "damage-read", Service: "claims", ServiceTime: 15, Variation: 0.5, TargetTime: 300, TimeLimit: 700, Rank: 1, Idempotent: true, Tries: 2},
		},
		Disturbances: disturbances,
		Length:       planLength,
		RetryLimits:  RetryLimits{Share: 0.18, Base: 44, Window: 10 * clock.Second},
	}
}
