package booking

import "math"

const (
	// durationWeight is the weight of a new sample in the mean.
	durationWeight = 0.1
	// deviations is the number of mean deviations above the mean within which
	// most samples lie.
	deviations = 2
)

// duration estimates how long runs take, in milliseconds. The zero value knows
// nothing and estimates zero.
type duration struct {
	mean      float64
	deviation float64
	known     bool
}

func (d *duration) add(sample float64) {
	if !d.known {
		*d = duration{mean: sample, deviation: sample / 4, known: true}
		return
	}
	d.deviation += durationWeight * (math.Abs(sample-d.mean) - d.deviation)
	d.mean += durationWeight * (sample - d.mean)
}

// likely returns a time within which most runs end.
func (d *duration) likely() float64 { return d.mean + deviations*d.deviation }
