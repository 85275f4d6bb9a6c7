package listener

import (
	"errors"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"
)

// fakeMemory is the memory of a process whose releases take releaseTime.
type fakeMemory struct {
	mu sync.Mutex
	// size is the resident memory, and live what a release leaves of it.
	size, live int64
	err        error

	samples, releases, releasing atomic.Int32
}

const releaseTime = 20 * time.Millisecond

func (m *fakeMemory) resident() (int64, error) {
	m.samples.Add(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.size, m.err
}

func (m *fakeMemory) release() {
	m.releases.Add(1)
	if m.releasing.Add(1) > 1 {
		panic("two releases at a time")
	}
	time.Sleep(releaseTime)
	m.releasing.Add(-1)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.size = min(m.size, m.live)
}

func newTestPressure(m *fakeMemory) *Pressure {
	return &Pressure{Threshold: 100, Resident: m.resident, Release: m.release, Log: zap.NewNop()}
}

// TestPressure guards against reads that go on while the memory of the process is used up, against
// ones that wait without need, and against a process that hangs because its live memory is above the
// threshold.
func TestPressure(t *testing.T) {
	for _, d := range []struct {
		name         string
		size, live   int64
		err          error
		atLeast      time.Duration
		atMost       time.Duration
		minReleases  int32
		mostReleases int32
	}{
		{"below the threshold", 100, 100, nil, 0, 0, 0, 0},
		{"garbage", 101, 40, nil, releaseTime, releaseTime + 2*pressurePause, 1, 1},
		{"live memory", 140, 140, nil, maxPressureWait, maxPressureWait, 2, 4},
		{"unknown", 0, 0, errors.New("no such file"), 0, 0, 0, 0},
	} {
		t.Run(d.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				memory := &fakeMemory{size: d.size, live: d.live, err: d.err}
				p := newTestPressure(memory)
				var readers errgroup.Group
				begin := time.Now()
				for range 50 {
					readers.Go(func() error {
						p.wait(maxPressureWait)
						return nil
					})
				}
				c.Assert(readers.Wait(), qt.IsNil)
				took := time.Since(begin)
				c.Check(took >= d.atLeast && took <= d.atMost, qt.IsTrue, qt.Commentf("%v", took))
				synctest.Wait()
				time.Sleep(releaseTime)
				n := memory.releases.Load()
				c.Check(n >= d.minReleases && n <= d.mostReleases, qt.IsTrue, qt.Commentf("%d releases", n))
			})
		})
	}
}

// TestPressureSamples guards against the cost of a sample for each of many reads, and of releases
// that follow each other without pause.
func TestPressureSamples(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		memory := &fakeMemory{size: 140, live: 140}
		p := newTestPressure(memory)
		const seconds = 2
		for begin := time.Now(); time.Since(begin) < seconds*time.Second; time.Sleep(time.Millisecond) {
			p.sample(time.Now())
			p.sample(time.Now())
		}
		c.Check(memory.samples.Load() <= int32(seconds*time.Second/sampleInterval)+1, qt.IsTrue, qt.Commentf("%d samples", memory.samples.Load()))
		most := int32(seconds*time.Second/((1+releasePause)*releaseTime)) + 1
		c.Check(memory.releases.Load() <= most, qt.IsTrue, qt.Commentf("%d releases, at most %d", memory.releases.Load(), most))
		time.Sleep(releaseTime)
	})
}

// TestPressureLog guards against a log line for each sample.
func TestPressureLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		core, logs := newObserver()
		p := newTestPressure(&fakeMemory{size: 140, live: 140})
		p.Log = zap.New(core)
		for begin := time.Now(); time.Since(begin) < 2500*time.Millisecond; time.Sleep(time.Millisecond) {
			p.sample(time.Now())
		}
		c.Check(logs.Len(), qt.Equals, 3)
		time.Sleep(releaseTime)
	})
}

// TestResidentMemory guards against a file of the system that is read wrongly.
func TestResidentMemory(t *testing.T) {
	c := qt.New(t)
	if raceEnabled {
		c.Check(NewPressure(Process{MemoryBytes: 1 << 30}, zap.NewNop()), qt.IsNil)
		return
	}
	p := NewPressure(Process{MemoryBytes: 1 << 30}, zap.NewNop())
	c.Assert(p, qt.IsNotNil)
	// The memory that tests before this one left is returned first, and the pages are new ones: those
	// of the heap may be resident already.
	debug.FreeOSMemory()
	before, err := p.Resident()
	c.Assert(err, qt.IsNil)
	const size = 64 << 20
	data, err := unix.Mmap(-1, 0, size, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_ANON|unix.MAP_PRIVATE)
	c.Assert(err, qt.IsNil)
	defer func() { _ = unix.Munmap(data) }()
	for i := 0; i < size; i += 4096 {
		data[i] = 1
	}
	after, err := p.Resident()
	c.Assert(err, qt.IsNil)
	c.Check(after-before > size/2 && after-before < 2*size, qt.IsTrue, qt.Commentf("%d to %d with %d more", before, after, len(data)))
	c.Check(NewPressure(Process{MemoryBytes: 1 << 30, IsAssumed: true}, zap.NewNop()), qt.IsNil)
	c.Check(NewPressure(Process{}, zap.NewNop()), qt.IsNil)
}
