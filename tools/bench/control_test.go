package main

import (
	"bytes"
	"os"
	"testing"
)

// Runs the measurement only when it is asked for: it takes minutes of wall
// time and its figures depend on the machine.
func BenchmarkControl(b *testing.B) {
	for b.Loop() {
		var out bytes.Buffer
		if err := benchControl(&out); err != nil {
			b.Fatal(err)
		}
		_, _ = os.Stdout.Write(out.Bytes())
	}
}
