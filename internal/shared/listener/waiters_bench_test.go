package listener

import (
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

// BenchmarkPressureWaiters measures the processor time of the process while many reads wait for
// memory, which the collector needs.
func BenchmarkPressureWaiters(b *testing.B) {
	const waiters = 2000
	begin := processorTime(b)
	for b.Loop() {
		p := &Pressure{Threshold: 1, Resident: func() (int64, error) { return 2, nil }, Release: func() {}, Log: zap.NewNop()}
		var all sync.WaitGroup
		for range waiters {
			all.Go(func() { p.wait(maxPressureWait) })
		}
		all.Wait()
	}
	b.ReportMetric(float64((processorTime(b)-begin).Milliseconds())/float64(b.N), "cpu-ms/op")
}

// processorTime returns the processor time of the process so far.
func processorTime(b *testing.B) time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
