package main

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// memoryMB is MemoryMb in the settings. The platform kills a process that exceeds it.
	memoryMB = 284
	// moreRoutes is how many routes the operator adds: the configuration stays below the
	// ValueBytes of the store.
	moreRoutes = 3300
	// changePause is the pause between two changes of a storm of configurations.
	changePause = 230 * time.Millisecond
	// Times since the start of the program.
	changesFrom = 10 * time.Second
	changesTo   = 106 * time.Second
	// memoryInterval is the time between two looks at the memory of the processes.
	memoryInterval = 200 * time.Millisecond
	// requestsWhileChanging is the rate of the requests.
	requestsWhileChanging = 120
	// allowedLost is how many requests a machine may lose.
	allowedLost = 3
)

// manyConfigurations changes a configuration with many routes again and again, and kills the
// processes that exceed their memory, as the platform does.
func (p *play) manyConfigurations() (bool, error) {
	sound := &clients{cluster: p.cluster, Name: "sound", PerSecond: requestsWhileChanging, Next: soundRequest}
	ctx, cancel := contextWithCancel()
	defer cancel()
	done := make(chan struct{})
	go func() { sound.run(ctx); close(done) }()
	p.waitUntil(changesFrom)
	routes, changes := 0, 0
	largest := map[string]int{}
	nextChange, nextLook := time.Now(), time.Now()
	for time.Since(p.record.Start) < changesTo {
		if now := time.Now(); !now.Before(nextChange) {
			nextChange = nextChange.Add(changePause)
			if p.Trouble {
				routes = moreRoutes
			}
			changes++
			if status := p.writeConfiguration(uint64(1+changes), routes); status/100 != 2 {
				return false, fmt.Errorf("the store answers a configuration with %d", status)
			}
		}
		if now := time.Now(); !now.Before(nextLook) {
			nextLook = now.Add(memoryInterval)
			if err := p.lookAtMemory(largest); err != nil {
				return false, err
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	cancel()
	<-done
	p.report("%d changes of the configuration, %d routes", changes, routes+1)
	for _, m := range p.entries {
		p.report("%s: %d MB at most", m.Name, largest[m.Name])
	}
	p.report("sound requests: %d sent, %d whole", sound.sent.Load(), sound.whole.Load())
	if 2*sound.whole.Load() < sound.sent.Load() && !p.Trouble {
		return false, fmt.Errorf("%d of %d sound requests got their answers", sound.whole.Load(), sound.sent.Load())
	}
	killed := p.record.killTimes()
	lost := p.record.lostRequests()
	for _, l := range lost {
		p.report("lost: %s", l)
	}
	p.report("%d ends because of the memory, %d requests reached a replica and ended without an answer; %d are allowed", len(killed), len(lost), allowedLost)
	return len(killed) > 0 && len(lost) > allowedLost, nil
}

// lookAtMemory kills the entry daemons that exceed their memory. They start again.
func (p *play) lookAtMemory(largest map[string]int) error {
	for _, m := range p.entries {
		mb, ok := residentMB(m.Process().PID())
		if !ok {
			continue
		}
		largest[m.Name] = max(largest[m.Name], mb)
		if mb <= memoryMB {
			continue
		}
		p.record.killed(m, mb)
		m.Process().Kill()
		if err := m.startAgain(); err != nil {
			return err
		}
	}
	return nil
}

// residentMB returns the resident memory of a process.
func residentMB(pid int) (int, bool) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, false
	}
	for line := range bytes.Lines(raw) {
		if rest, ok := strings.CutPrefix(string(line), "VmRSS:"); ok {
			kb, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
			return kb >> 10, err == nil
		}
	}
	return 0, false
}
