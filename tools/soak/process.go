package main

import (
	"context"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/shared/launcher"
	"github.com/lentilbridge/lentilbridge/internal/shared/waiter"
)

// restartPause is the time between the end of a process and its next start.
const restartPause = 300 * time.Millisecond

// keeper keeps a daemon running: it starts a process again whenever one ends.
// Fields are set before run.
type keeper struct {
	// Start is copied for each start.
	Start launcher.Process

	mu      sync.Mutex
	current *launcher.Process
	// asked is the process that was told to end.
	asked *launcher.Process
	// unexpected counts the ends that nobody asked for.
	unexpected int
}

func (k *keeper) run(ctx context.Context) {
	for {
		if err := k.runOnce(ctx); err != nil {
			_, _ = os.Stderr.WriteString("soak: " + err.Error() + "\n")
		}
		if !waiter.Wait(ctx, restartPause) {
			return
		}
	}
}

// runOnce starts a process and returns when it has ended. It kills the process
// when ctx ends.
func (k *keeper) runOnce(ctx context.Context) error {
	p := k.Start
	if err := p.Start(); err != nil {
		return err
	}
	k.setCurrent(&p)
	defer k.setCurrent(nil)
	select {
	case <-p.Exited():
	case <-ctx.Done():
		p.Kill()
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.asked != &p {
		k.unexpected++
	}
	return nil
}

func (k *keeper) setCurrent(p *launcher.Process) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.current = p
}

// signal sends a signal to the process and reports whether one took it.
func (k *keeper) signal(sig syscall.Signal) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.current == nil {
		return false
	}
	if sig == syscall.SIGKILL {
		k.asked = k.current
	}
	return k.current.Signal(sig)
}

// stop asks the process to end, and kills one that does not end in time. It
// reports whether the process ended by itself.
func (k *keeper) stop() bool {
	k.mu.Lock()
	p := k.current
	k.asked = p
	k.mu.Unlock()
	return p == nil || p.Stop(stopTime)
}

func (k *keeper) unexpectedEnds() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.unexpected
}
