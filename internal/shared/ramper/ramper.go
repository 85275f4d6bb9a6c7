// Package ramper computes how much of a temporary effect is left that falls to
// nothing linearly, such as the load that is assumed on a backend server that has
// just become usable.
package ramper

import "time"

// Left returns the fraction that is left after a time: 1 at first, 0 from total on.
func Left(elapsed, total time.Duration) float64 {
	return min(1, max(0, 1-float64(elapsed)/float64(total)))
}
