package listener

import (
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
)

// queue is a listener with a connection for each call of Accept.
type queue struct{ net.Listener }

// Accept implements net.Listener.
func (queue) Accept() (net.Conn, error) {
	conn, client := net.Pipe()
	return conn, client.Close()
}

// TestAcceptWithLiveMemory guards against a process whose live memory is above the threshold and
// that accepts connections more slowly than ordinary callers open them: its queue grows until all of
// them give up. An entry daemon gets about 20 requests a second.
func TestAcceptWithLiveMemory(t *testing.T) {
	const needed = 20
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := &Listener{
			Listener: queue{}, MaxConnections: 4096, Pool: &Pool{Limit: 1 << 20}, Reports: &Reports{Log: zap.NewNop()},
			Pressure: newTestPressure(&fakeMemory{size: 140, live: 140}),
		}
		accepted := 0
		for begin := time.Now(); time.Since(begin) < time.Second; accepted++ {
			conn, err := l.Accept()
			c.Assert(err, qt.IsNil)
			c.Assert(conn.Close(), qt.IsNil)
		}
		c.Check(accepted >= needed, qt.IsTrue, qt.Commentf("%d connections in a second", accepted))
		time.Sleep(time.Second)
	})
}

// TestClockStepsBack guards against a sample that is taken for a new one until the clock of the
// system has come back to its time: reads would wait, or go on, whatever the memory is.
func TestClockStepsBack(t *testing.T) {
	for _, d := range []struct {
		name          string
		before, after int64
		isHigh        bool
	}{{"high before", 140, 40, false}, {"high after", 40, 140, true}} {
		t.Run(d.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				memory := &fakeMemory{size: d.before, live: d.before}
				p := newTestPressure(memory)
				p.sample(time.Now())
				time.Sleep(time.Second)
				memory.mu.Lock()
				memory.size, memory.live = d.after, d.after
				memory.mu.Unlock()
				releases := memory.releases.Load()
				// A time without the monotonic clock is what the clock of the system says.
				c.Check(p.sample(time.Now().Round(0).Add(-time.Hour)), qt.Equals, d.isHigh)
				time.Sleep(time.Second)
				if d.isHigh {
					c.Check(memory.releases.Load() > releases, qt.IsTrue, qt.Commentf("no release"))
				}
			})
		})
	}
}

// TestSamplingEnds guards against a goroutine that goes on sampling, and releasing memory, when no
// read waits any more although live memory is above the threshold, and against one that does not
// start again.
func TestSamplingEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		memory := &fakeMemory{size: 140, live: 140}
		p := newTestPressure(memory)
		for range 3 {
			before := memory.samples.Load()
			p.wait(maxPressureWait)
			// The last release may be in progress.
			time.Sleep(2 * releaseTime)
			after := memory.samples.Load()
			c.Check(after-before >= int32(maxPressureWait/pressurePause)/2, qt.IsTrue, qt.Commentf("%d samples", after-before))
			time.Sleep(time.Minute)
			c.Check(memory.samples.Load(), qt.Equals, after)
		}
	})
}

// TestPauseDuringRelease guards against a process that was stopped while it released memory and then
// releases none for a multiple of that time.
func TestPauseDuringRelease(t *testing.T) {
	// mostWithout is how long callers may meet waits after the process goes on: that of the
	// time-outs of requests.
	const stopped, mostWithout = time.Minute, 6 * time.Second
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var releases atomic.Int32
		p := &Pressure{Threshold: 100, Resident: func() (int64, error) { return 140, nil }, Log: zap.NewNop(), Release: func() {
			if releases.Add(1) == 1 {
				time.Sleep(stopped)
			}
		}}
		p.wait(maxPressureWait)
		time.Sleep(stopped)
		for begin := time.Now(); time.Since(begin) < mostWithout; {
			p.wait(maxPressureWait)
		}
		c.Check(releases.Load() >= 2, qt.IsTrue, qt.Commentf("%d releases", releases.Load()))
		time.Sleep(time.Second)
	})
}
