package coalescer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/lentilbridge/lentilbridge/pkg/coalescer"
)

// Guards against a lost newest value, a value in the wrong order and a queue
// that exceeds its limit, by comparing random calls with a model.
func TestQueueMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := coalescer.Queue[int, int]{Limit: 5}
		values := map[int]int{}
		var order []int
		for i := range rapid.IntRange(1, 60).Draw(t, "calls") {
			key := rapid.IntRange(0, 8).Draw(t, "key")
			switch rapid.IntRange(0, 3).Draw(t, "call") {
			case 0:
				taken := q.Take(nil, 2)
				for _, value := range taken {
					if value != values[order[0]] {
						t.Fatalf("took %d, want %d", value, values[order[0]])
					}
					delete(values, order[0])
					order = order[1:]
				}
			case 1:
				q.Remove(key)
				if _, ok := values[key]; ok {
					delete(values, key)
					order = removeKey(order, key)
				}
			default:
				_, pending := values[key]
				if q.Put(key, i) != (pending || len(values) < 5) {
					t.Fatalf("result of Put does not match the limit")
				}
				if !pending && len(values) < 5 {
					order = append(order, key)
					pending = true
				}
				if pending {
					values[key] = i
				}
			}
			if q.Len() != len(values) {
				t.Fatalf("length %d, want %d", q.Len(), len(values))
			}
		}
	})
}

func removeKey(keys []int, key int) []int {
	var kept []int
	for _, k := range keys {
		if k != key {
			kept = append(kept, k)
		}
	}
	return kept
}

// Guards against a reader that is not notified of the values that remain after
// a Take.
func TestReadyAfterPartialTake(t *testing.T) {
	c := qt.New(t)
	var q coalescer.Queue[string, int]
	q.Put("a", 1)
	q.Put("b", 2)
	<-q.Ready()
	c.Assert(q.Take(nil, 1), qt.DeepEquals, []int{1})
	select {
	case <-q.Ready():
	default:
		t.Fatal("not ready")
	}
	c.Assert(q.Take(nil, 9), qt.DeepEquals, []int{2})
}

// The benchmarks take one value for every ten writes. Time is measured in
// writes, so that the ages do not depend on the speed of the machine.
const (
	benchmarkKeys  = 100
	writesPerRead  = 10
	benchmarkTicks = 100_000
)

// BenchmarkSlowReaderAge compares a coalescing queue with a FIFO queue. It
// reports the age, in writes, of the values that a slow reader takes.
func BenchmarkSlowReaderAge(b *testing.B) {
	b.Run("coalescing", benchmarkCoalescing)
	b.Run("first-in-first-out", benchmarkFirstInFirstOut)
}

func benchmarkCoalescing(b *testing.B) {
	var age, reads, waiting int
	for b.Loop() {
		var q coalescer.Queue[int, int]
		var taken []int
		age, reads = 0, 0
		for tick := range benchmarkTicks {
			q.Put(tick%benchmarkKeys, tick)
			if tick%writesPerRead == 0 {
				taken = q.Take(taken[:0], 1)
				age += tick - taken[0]
				reads++
			}
		}
		waiting = q.Len()
	}
	report(b, age, reads, waiting)
}

func benchmarkFirstInFirstOut(b *testing.B) {
	var age, reads, waiting int
	for b.Loop() {
		var q []int
		age, reads = 0, 0
		for tick := range benchmarkTicks {
			q = append(q, tick)
			if tick%writesPerRead == 0 {
				age += tick - q[0]
				q = q[1:]
				reads++
			}
		}
		waiting = len(q)
	}
	report(b, age, reads, waiting)
}

func report(b *testing.B, age, reads, waiting int) {
	b.ReportMetric(float64(age)/float64(reads), "writes-age/read")
	b.ReportMetric(float64(waiting), "values-waiting")
	b.ReportMetric(float64(b.Elapsed())/float64(time.Nanosecond)/float64(b.N*benchmarkTicks), "ns/write")
}
