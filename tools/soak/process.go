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

// restartDelay is the time between the end of a process and its next start.
const restartDelay = 300 * time.Millisecond

// supervisor runs a daemon and restarts it whenever its process ends. Fields are
// set before run.
type supervisor struct {
	// Template is copied for each start.
	Template launcher.Process

	mu      sync.Mutex
	current *launcher.Process
	// stopRequested is the last process that was stopped or killed on purpose.
	stopRequested *launcher.Process
	// unexpectedExits counts the exits of processes that were not stopped.
	unexpectedExits int
}

func (s *supervisor) run(ctx context.Context) {
	for {
		if err := s.runOnce(ctx); err != nil {
			_, _ = os.Stderr.WriteString("soak: " + err.Error() + "\n")
		}
		if !waiter.Wait(ctx, restartDelay) {
			return
		}
	}
}

// runOnce starts a process and returns when it has ended. It kills the process
// when ctx is canceled.
func (s *supervisor) runOnce(ctx context.Context) error {
	p := s.Template
	if err := p.Start(); err != nil {
		return err
	}
	s.setCurrent(&p)
	defer s.setCurrent(nil)
	select {
	case <-p.Exited():
	case <-ctx.Done():
		p.Kill()
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopRequested != &p {
		s.unexpectedExits++
	}
	return nil
}

func (s *supervisor) setCurrent(p *launcher.Process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = p
}

// signal sends a signal to the current process and reports whether it was sent.
func (s *supervisor) signal(sig syscall.Signal) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil {
		return false
	}
	if sig == syscall.SIGKILL {
		s.stopRequested = s.current
	}
	return s.current.Signal(sig)
}

// isRunning reports whether there is a process that was not instructed to end.
func (s *supervisor) isRunning() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current != nil && s.stopRequested != s.current
}

// stop asks the current process to end and kills it after stopTimeout. It reports
// whether the process ended in time.
func (s *supervisor) stop() bool {
	s.mu.Lock()
	p := s.current
	s.stopRequested = p
	s.mu.Unlock()
	return p == nil || p.Stop(stopTimeout)
}

func (s *supervisor) unexpectedExitCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unexpectedExits
}
