package main

import (
	"sync"
	"time"

	"cuminhollow.example/standin/fleet"
)

// The kinds of work of the deployment. A seal makes a nested call of a certificate.
const (
	kindSeal        = "seal"
	kindCertificate = "certificate"
	kindHistory     = "history"
)

// targetTime is the target time of all kinds.
const targetTime = 2 * time.Second

// The mean run times. They are long enough that most faults hit running calls.
const (
	sealTime        = 60 * time.Millisecond
	certificateTime = 60 * time.Millisecond
	historyTime     = 100 * time.Millisecond
)

// historyRecord returns the record of kindHistory in a revision.
func historyRecord(revision int) string {
	return fleet.FormatRecord(revision, fleet.Kind{
		Name: kindHistory, Service: "histories", TargetTime: targetTime, Retries: 2, Rank: 3 + revision%3, Idempotent: true,
	})
}

// newPlan returns the plan of a deployment of three services with a number of VMs
// each.
func newPlan(vmsPerService int) fleet.Plan {
	places := fleet.SpreadOverZones(vmsPerService, "kutch", "dangs")
	records := fleet.FormatRecords(
		fleet.Kind{Name: kindSeal, Service: "sealing", TargetTime: targetTime, Retries: 1, Protected: true},
		fleet.Kind{Name: kindCertificate, Service: "certifying", TargetTime: targetTime, Retries: 2, Protected: true},
	)
	records[kindHistory] = historyRecord(1)
	return fleet.Plan{
		Services: []fleet.Service{
			{Name: "sealing", Locations: places, Slots: 32, ServiceTime: sealTime, NestedKinds: []string{kindCertificate}},
			{Name: "certifying", Locations: places, Slots: 32, ServiceTime: certificateTime},
			{Name: "histories", Locations: places, Slots: 32, ServiceTime: historyTime},
		},
		Records: records,
	}
}

// vmState is a VM with what was done to it.
type vmState struct {
	*fleet.VM
	// mu is held while a process of the VM is stopped, killed or started, so that
	// such faults of one VM follow each other.
	mu sync.Mutex

	// spansMu guards spans, the times at which the VM was disturbed.
	spansMu sync.Mutex
	spans   []span
}

// span is a time in which a VM was disturbed.
type span struct {
	kind faultKind
	// from and to are times since the start of the load; to is 0 until the end.
	from, to time.Duration
}

// begin records that a fault of the VM begins, and returns a function that
// records its end.
func (v *vmState) begin(kind faultKind, now func() time.Duration) (end func()) {
	v.spansMu.Lock()
	defer v.spansMu.Unlock()
	i := len(v.spans)
	v.spans = append(v.spans, span{kind: kind, from: now()})
	return func() {
		v.spansMu.Lock()
		defer v.spansMu.Unlock()
		v.spans[i].to = now()
	}
}

// disturbed reports whether a fault of one of the kinds overlapped a time.
func (v *vmState) disturbed(from, to time.Duration, kinds ...faultKind) bool {
	v.spansMu.Lock()
	defer v.spansMu.Unlock()
	for _, s := range v.spans {
		for _, k := range kinds {
			if s.kind == k && s.from <= to && (s.to == 0 || s.to >= from) {
				return true
			}
		}
	}
	return false
}
