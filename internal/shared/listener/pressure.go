package listener

import (
	"bytes"
	"expvar"
	"os"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/lentilbridge/lentilbridge/pkg/logger"
)

const (
	// pressureShare is the part of the process's memory above which its listeners wait. The soft
	// limit of the runtime and the program itself together are below it.
	pressureShare = 0.82
	// sampleInterval is the least time between two samples of the resident memory, and
	// pressurePause the time between two of them while reads wait.
	sampleInterval = 5 * time.Millisecond
	pressurePause  = 5 * time.Millisecond
	// maxPressureWait bounds the wait of a read, so that a process whose live memory is above the
	// threshold goes on slowly.
	maxPressureWait = 250 * time.Millisecond
	// maxAcceptWait bounds the wait before a connection is accepted. Connections are accepted one
	// after the other, and entry daemons get about 20 requests a second, each of which may come on a
	// new one.
	maxAcceptWait = 20 * time.Millisecond
	// releasePause is the least time between two releases of memory, in multiples of what the last
	// one took.
	releasePause = 4
	// maxReleasePause bounds it, because the process may have been stopped meanwhile.
	maxReleasePause = 5 * time.Second
)

var (
	// resident is the resident memory of the process in bytes when it was last sampled.
	resident = expvar.NewInt("listeners.resident-bytes")
	// memoryWaits counts the reads and new connections that waited for memory.
	memoryWaits = expvar.NewInt("listeners.memory-waits")
)

// Pressure delays what the listeners of a process take in while its resident memory is above a
// threshold. The pools bound what is live, but a process that gets too little processor time
// allocates faster than the collector frees.
type Pressure struct {
	// Threshold is the resident memory in bytes above which listeners wait.
	Threshold int64
	// Resident returns the resident memory in bytes.
	Resident func() (int64, error)
	// Release collects garbage and returns unused memory to the system.
	Release func()
	Log     *logger.Logger

	// sampledAt is when the memory was last sampled, and releasedAt the end of the last release, in
	// ns since 1970. The clock of the system may step.
	sampledAt, releasedAt atomic.Int64
	// pause is the least time from the end of the last release to the next one, in ns.
	pause               atomic.Int64
	isHigh, isReleasing atomic.Bool

	mu sync.Mutex
	// limiter limits the log lines. It is created with the first one.
	limiter *rate.Limiter
	// waiters is the number of reads and accepts that wait. cleared is closed once the memory is
	// below the threshold, and nil while nothing waits.
	waiters int
	cleared chan struct{}
}

// NewPressure returns the pressure of a process, or nil if it has no limit of its memory or the
// system does not report how much it uses. It is for the programs of daemons: the resident memory
// of a test is not that of a daemon, nor is that of a program with the race detector.
func NewPressure(p Process, log *logger.Logger) *Pressure {
	if p.MemoryBytes <= 0 || p.IsAssumed || raceEnabled {
		return nil
	}
	file, err := os.Open("/proc/self/statm")
	if err != nil {
		log.Warn("resident memory is unknown", zap.Error(err))
		return nil
	}
	return &Pressure{Threshold: p.share(pressureShare), Resident: (&statm{file: file}).resident, Release: debug.FreeOSMemory, Log: log}
}

// statm reads the memory sizes of this process.
type statm struct{ file *os.File }

// statmBytes is enough for the seven numbers of the file.
const statmBytes = 160

// resident returns the resident memory in bytes, the second number of the file, which is in pages.
func (s *statm) resident() (int64, error) {
	var text [statmBytes]byte
	n, err := s.file.ReadAt(text[:], 0)
	if n == 0 {
		return 0, err
	}
	_, rest, _ := bytes.Cut(text[:n], []byte{' '})
	pages, _, _ := bytes.Cut(rest, []byte{' '})
	count, err := strconv.ParseInt(string(pages), 10, 64)
	return count * int64(os.Getpagesize()), err
}

// wait returns once the resident memory is below the threshold, or after a time.
func (p *Pressure) wait(most time.Duration) {
	if p == nil || !p.sample(time.Now()) {
		return
	}
	memoryWaits.Add(1)
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-p.join():
	case <-timer.C:
	}
	p.leave()
}

// join counts a waiter and returns a channel that is closed once the memory is below the threshold.
func (p *Pressure) join() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiters++
	if p.cleared == nil {
		p.cleared = make(chan struct{})
		go p.loop()
	}
	return p.cleared
}

func (p *Pressure) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiters--
}

// loop samples the memory for all waiters until it is below the threshold or nothing waits. If each
// of a thousand reads sampled it, they would take processor time from the garbage collector.
func (p *Pressure) loop() {
	for {
		time.Sleep(pressurePause)
		isHigh := p.sample(time.Now())
		if p.clear(isHigh) {
			return
		}
	}
}

// clear ends the waits if the memory is below the threshold or nothing waits.
func (p *Pressure) clear(isHigh bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if isHigh && p.waiters > 0 {
		return false
	}
	close(p.cleared)
	p.cleared = nil
	return true
}

// isWithin reports whether a time is less than a duration after an earlier one. It is not if the
// clock has stepped back to before the earlier time.
func isWithin(now time.Time, earlier int64, d time.Duration) bool {
	age := time.Duration(now.UnixNano() - earlier)
	return age >= 0 && age < d
}

// sample reports whether the resident memory is above the threshold, and starts a release of memory
// if it is. An earlier result holds for sampleInterval. If the memory is unknown, nothing waits.
func (p *Pressure) sample(now time.Time) (isHigh bool) {
	last := p.sampledAt.Load()
	if isWithin(now, last, sampleInterval) || !p.sampledAt.CompareAndSwap(last, now.UnixNano()) {
		return p.isHigh.Load()
	}
	n, err := p.Resident()
	isHigh = err == nil && n > p.Threshold
	p.isHigh.Store(isHigh)
	resident.Set(n)
	if isHigh {
		p.report(n, now)
		if !isWithin(now, p.releasedAt.Load(), time.Duration(p.pause.Load())) && p.isReleasing.CompareAndSwap(false, true) {
			go p.run()
		}
	}
	return isHigh
}

// run releases memory once.
func (p *Pressure) run() {
	begin := time.Now()
	p.Release()
	end := time.Now()
	p.releasedAt.Store(end.UnixNano())
	p.pause.Store(int64(min(releasePause*end.Sub(begin), maxReleasePause)))
	p.isReleasing.Store(false)
}

func (p *Pressure) report(resident int64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.limiter == nil {
		p.limiter = newLogLimiter()
	}
	if !p.limiter.AllowN(now, 1) {
		return
	}
	p.Log.Warn("listeners wait for memory", zap.Int64("resident-bytes", resident), zap.Int64("threshold-bytes", p.Threshold))
}
