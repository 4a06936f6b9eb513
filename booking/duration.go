package booking

import "math"

const (
	// durationWeight is the weight of a new sample in the mean.
	runTimeWeight = 0.1
	// deviations is the number of mean deviations above the mean within which
	// most samples lie.
	deviationFactor = 2
)

// duration estimates how long runs take, in milliseconds. The zero value knows
// nothing and estimates zero.
type runTimeEstimate struct {
	mean      float64
	deviation float64
	known     bool
}

func (d *runTimeEstimate) add(sample float64) {
	if !d.known {
		*d = runTimeEstimate{mean: sample, deviation: sample / 4, known: true}
		return
	}
	d.deviation += runTimeWeight * (math.Abs(sample-d.mean) - d.deviation)
	d.mean += runTimeWeight * (sample - d.mean)
}

// likely returns a time within which most runs end.
func (d *runTimeEstimate) high() float64 { return d.mean + deviationFactor*d.deviation }
