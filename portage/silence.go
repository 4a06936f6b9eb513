package portage

import "time"

// silenceDetector measures for how long nothing arrived on a connection although
// this process could have read it. Its own pauses do not count: when a process
// that stood still goes on, answers may wait to be read.
type silenceDetector struct {
	// interval is the time between two calls of observe, unless the process is
	// paused.
	interval time.Duration
	// observedAt and reads are the time and the number of reads at the last call.
	observedAt time.Time
	reads      uint64
	silence    time.Duration
}

// newSilenceDetector returns a detector for a connection on which reads reads
// have returned bytes until now.
func newSilenceDetector(interval time.Duration, now time.Time, reads uint64) *silenceDetector {
	return &silenceDetector{interval: interval, observedAt: now, reads: reads}
}

// observe returns the silence until now. A longer span than two intervals since
// the last call counts as two.
func (d *silenceDetector) observe(now time.Time, reads uint64) time.Duration {
	span := min(now.Sub(d.observedAt), 2*d.interval)
	d.observedAt = now
	if reads != d.reads {
		d.reads, d.silence = reads, 0
		return 0
	}
	d.silence += span
	return d.silence
}
