package main

import (
	"math/rand/v2"
	"time"
)

// faultKind names a fault.
type faultKind string

// The faults that a schedule draws from.
const (
	// faultKill kills a node and starts it again after the span of the event.
	faultKill faultKind = "kill"
	// faultStop stops a node as planned and starts it again after the span.
	faultStop faultKind = "stop"
	// faultPauseNode and faultPauseUpstream suspend a process for the span.
	faultPauseNode     faultKind = "pause-node"
	faultPauseUpstream faultKind = "pause-upstream"
	// faultBreak closes the connections between nodes to a VM.
	faultBreak faultKind = "break"
	// faultSilence discards what is sent on these connections without closing them.
	faultSilence faultKind = "silence"
	// faultCut refuses connections to a VM for the span.
	faultCut faultKind = "cut"
	// faultSlow makes an upstream slower for the span.
	faultSlow faultKind = "slow"
	// faultPlatformDown makes the platform answer no reads for the span.
	faultPlatformDown faultKind = "platform-down"
	// faultPublish publishes a new revision of a record.
	faultPublish faultKind = "publish"
	// faultCopies makes an upstream reject some calls and send some responses twice,
	// late, for the span.
	faultCopies faultKind = "copies"
)

// weightedFault is a fault with how often it is drawn.
type weightedFault struct {
	kind   faultKind
	weight int
}

// plannedFaults are what operators do, and linkFaults add faults of connections
// between nodes. All requests must get a certain outcome with these.
var (
	plannedFaults = []weightedFault{{faultStop, 4}, {faultPlatformDown, 1}, {faultPublish, 3}}
	linkFaults    = []weightedFault{{faultStop, 4}, {faultBreak, 4}, {faultSilence, 3}, {faultPublish, 3}}
)

// upstreamFaults are faults of upstreams during planned stops.
var upstreamFaults = []weightedFault{{faultCopies, 6}, {faultStop, 3}, {faultSlow, 1}, {faultPublish, 1}}

// upstreamSeeds is the first seed that draws from upstreamFaults. Seeds below it keep
// the schedules that they always had.
const upstreamSeeds = 1001

// allFaults are the faults of nodes and connections.
var allFaults = []weightedFault{
	{faultKill, 3},
	{faultStop, 4},
	{faultPauseNode, 3},
	{faultPauseUpstream, 2},
	{faultBreak, 3},
	{faultSilence, 2},
	{faultCut, 2},
	{faultSlow, 2},
	{faultPlatformDown, 1},
	{faultPublish, 4},
}

const (
	// quietStart is the time before the first fault.
	quietStart = time.Second
	// meanGap is the mean time between two faults.
	meanGap = 500 * time.Millisecond
	// minSpan and maxSpan bound the duration of a fault.
	minSpan = 100 * time.Millisecond
	maxSpan = 2 * time.Second
)

// event is one fault of a schedule.
type event struct {
	// At is when the fault begins, from the start of the load.
	At   time.Duration `json:"at"`
	Kind faultKind     `json:"kind"`
	// VM is the index of the VM that the fault hits; -1 for the platform.
	VM int `json:"vm"`
	// Span is how long the fault lasts.
	Span time.Duration `json:"span"`
}

// ofPlatform reports whether the fault hits the platform rather than a VM.
func (k faultKind) ofPlatform() bool { return k == faultPlatformDown || k == faultPublish }

// ofProcess reports whether the fault hits a process of a VM.
func (k faultKind) ofProcess() bool {
	return k == faultKill || k == faultStop || k == faultPauseNode || k == faultPauseUpstream
}

// newSchedule draws the faults of a seed for a number of VMs. They begin within
// length. The same arguments give the same schedule.
func newSchedule(seed uint64, vms int, length time.Duration) []event {
	random := rand.New(rand.NewPCG(seed, 0))
	faults := faultsOf(seed)
	total := 0
	for _, f := range faults {
		total += f.weight
	}
	var out []event
	at := quietStart
	for {
		at += time.Duration(random.ExpFloat64() * float64(meanGap))
		if at >= length {
			return out
		}
		e := event{At: at, Kind: drawKind(faults, random.IntN(total)), VM: random.IntN(vms)}
		e.Span = minSpan + time.Duration(random.Int64N(int64(maxSpan-minSpan)))
		if e.Kind.ofPlatform() {
			e.VM = -1
		}
		out = append(out, e)
	}
}

// faultsOf returns the faults that a seed draws from.
func faultsOf(seed uint64) []weightedFault {
	if seed >= upstreamSeeds {
		return upstreamFaults
	}
	switch seed % 3 {
	case 0:
		return plannedFaults
	case 1:
		return linkFaults
	default:
		return allFaults
	}
}

// drawKind returns the fault for a number below the sum of all weights.
func drawKind(faults []weightedFault, n int) faultKind {
	for _, f := range faults {
		if n < f.weight {
			return f.kind
		}
		n -= f.weight
	}
	return faultPublish
}
