// Package pauser reads for how long a server asks for no requests.
package pauser

import (
	"fmt"
	"math"
	"strconv"
	"time"
)

// Max bounds the time for which a server can keep requests away. Longer times look like
// mistakes, and would last until the server starts again.
const Max = 5 * time.Minute

// ValueError reports a value that is not a number of seconds within the bound.
type ValueError struct {
	Value string
}

func (e *ValueError) Error() string {
	return fmt.Sprintf("%q is not a number of seconds up to %v", e.Value, Max.Seconds())
}

// Parse returns the time in a Retry-After header in seconds, which may have fractions. A
// longer time than the bound is returned as the bound, with an error.
func Parse(value string) (time.Duration, error) {
	seconds, err := strconv.ParseFloat(value, 64)
	switch {
	case err != nil && !math.IsInf(seconds, 1), math.IsNaN(seconds), seconds < 0:
		return 0, &ValueError{Value: value}
	case seconds > Max.Seconds():
		return Max, &ValueError{Value: value}
	}
	return time.Duration(seconds * float64(time.Second)), nil
}
