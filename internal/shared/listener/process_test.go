package listener

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestProcess guards against limits that leave no file descriptors or memory for anything else, or
// that ordinary clients reach.
func TestProcess(t *testing.T) {
	shares := []float64{0.3, 0.1, 0.05, 0.05, 0.02}
	tests := []struct {
		name            string
		memoryMB        int
		descriptors     int
		callers, kernel int
	}{
		{"small", 184, 4100, 1170, 82452},
		{"medium", 284, 4100, 1170, 127263},
		{"large", 536, 10660, 3138, 89553},
		{"little memory", 96, 20000, 1024, 49152},
		{"few descriptors", 536, 300, 30, 256 << 10},
		{"no limits", 0, 0, 1 << 16, 256 << 10},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			p := Process{MemoryBytes: int64(tc.memoryMB) << 20, Descriptors: tc.descriptors}
			callers := p.Connections(shares[0])
			c.Check(callers, qt.Equals, tc.callers)
			c.Check(p.kernelBuffer(callers), qt.Equals, tc.kernel)
			if tc.descriptors < 1000 {
				return
			}
			most := callers
			for _, share := range shares {
				n := p.Connections(share)
				most += n + n/endingShare
			}
			c.Check(most < tc.descriptors-reservedDescriptors, qt.IsTrue, qt.Commentf("%d", most))
			fixed := p.HeaderMemory() + p.BodyMemory() + int64(connectionShare*float64(p.MemoryBytes))
			c.Check(float64(fixed) <= runtimeShare*float64(p.MemoryBytes), qt.IsTrue, qt.Commentf("%d", fixed))
		})
	}
}
