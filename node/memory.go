package main

import (
	"context"
	"runtime"
	"runtime/debug"
	"time"
)

const (
	// heapTarget is the heap size in bytes below which garbage collections are
	// not worth their pauses. In a process of 64 MB it leaves the other half
	// for everything else.
	heapTarget = 32 << 20
	// tuneInterval is the interval between adjustments of the garbage
	// collector.
	tuneInterval = 10 * time.Second
	// minGCPercent and maxGCPercent bound the heap growth between two
	// collections, in percent of the live heap.
	minGCPercent = 100
	maxGCPercent = 1000
)

// memoryLimitShare is the share of the VM's memory that the runtime uses before
// it collects garbage more often. The rest is for the kernel's buffers.
const memoryLimitShare = 0.7

// setMemoryLimit makes the garbage collector run more often when the process
// approaches the memory of its VM, in bytes.
func setMemoryLimit(memory int64) {
	debug.SetMemoryLimit(int64(float64(memory) * memoryLimitShare))
}

// setHeapGrowth makes the garbage collector run when the heap has grown by
// percent of the live heap. It is for VMs on which memory costs more than CPU
// time.
func setHeapGrowth(percent int) { debug.SetGCPercent(percent) }

// tuneCollector makes the garbage collector run when the heap reaches
// heapTarget or twice the live heap, whichever is larger. It adjusts the
// collector every tuneInterval until ctx ends.
func tuneCollector(ctx context.Context) {
	debug.SetGCPercent(maxGCPercent)
	ticker := time.NewTicker(tuneInterval)
	defer ticker.Stop()
	for {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		debug.SetGCPercent(collectorPercent(stats.HeapAlloc, stats.NextGC))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// collectorPercent returns the GC percentage at which the heap grows to
// heapTarget before the next collection, bounded by minGCPercent and
// maxGCPercent. Heap is the allocated heap and next is the heap size at the
// next collection, in bytes; half of the smaller one is taken as the live heap.
func collectorPercent(heap, next uint64) int {
	live := max(min(heap, next)/2, 1)
	percent := int(heapTarget*100/live) - 100
	return max(minGCPercent, min(percent, maxGCPercent))
}
