package main

import (
	"bytes"
	"os"
	"testing"
)

// BenchmarkControl runs the control benchmark. It is no test, because it takes
// minutes and its results depend on the machine.
func BenchmarkControl(b *testing.B) {
	for b.Loop() {
		var out bytes.Buffer
		if err := benchControl(&out); err != nil {
			b.Fatal(err)
		}
		_, _ = os.Stdout.Write(out.Bytes())
	}
}
