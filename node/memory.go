package main

import (
	"context"
	"runtime"
	"runtime/debug"
	"time"
)

const (
	// heapTarget is the heap size below which collections are not worth their
	// pauses, in bytes. It leaves room for the rest of the process in 64 MB.
	heapTarget = 32 << 20
	// tuneInterval is how often the collector is adjusted.
	tuneInterval = 10 * time.Second
	// percentMin and percentMax bound the growth of the heap between two
	// collections, in percent of what is live.
	minGCPercent = 100
	maxGCPercent = 1000
)

// keepSmall makes the collector run when the heap has grown by a share of what
// is live, in percent: for VMs whose memory is dearer than their processor.
func setHeapGrowth(percent int) { debug.SetGCPercent(percent) }

// tuneMemory makes the collector run when the heap has reached heapTarget, or
// twice what is live if that is more.
func tuneCollector(ctx context.Context) {
	debug.SetGCPercent(maxGCPercent)
	ticker := time.NewTicker(tuneInterval)
	defer ticker.Stop()
	for {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		debug.SetGCPercent(collectorPercent(m.HeapAlloc, m.NextGC))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// growthFor returns the growth in percent that lets a heap reach heapTarget.
func collectorPercent(heap, next uint64) int {
	live := max(min(heap, next)/2, 1)
	percent := int(heapTarget*100/live) - 100
	return max(minGCPercent, min(percent, maxGCPercent))
}
