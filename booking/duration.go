package booking

import "math"

const (
	// runTimeWeight is the weight of a new sample in the moving averages.
	runTimeWeight = 0.1
	// deviationFactor is the number of mean deviations above the mean below which
	// most samples lie.
	deviationFactor = 2
)

// runTimeEstimate keeps moving averages of the duration of runs and of its mean
// deviation, in milliseconds. The zero value has no samples and estimates zero.
type runTimeEstimate struct {
	mean      float64
	deviation float64
	// known is set by the first sample.
	known bool
}

func (e *runTimeEstimate) add(sample float64) {
	if !e.known {
		*e = runTimeEstimate{mean: sample, deviation: sample / 4, known: true}
		return
	}
	e.deviation += runTimeWeight * (math.Abs(sample-e.mean) - e.deviation)
	e.mean += runTimeWeight * (sample - e.mean)
}

// high returns a duration within which most runs end.
func (e *runTimeEstimate) high() float64 { return e.mean + deviationFactor*e.deviation }
