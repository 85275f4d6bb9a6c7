package test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/shared/launcher"
)

// run starts a program under a name. Its output goes to a file in the test's
// folder.
func (s *system) run(name, program string, args ...string) {
	p := &launcher.Process{
		Name: name, Path: os.Args[0], Args: args, Env: []string{programEnv + "=" + program}, Log: filepath.Join(s.dir, name+".log"),
	}
	s.c.Assert(p.Start(), qt.IsNil)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes[name] = p
}

// process returns the newest process of a name.
func (s *system) process(name string) *launcher.Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.processes[name]
	s.c.Assert(p, qt.IsNotNil, qt.Commentf("no process %s", name))
	return p
}

// freeze stops the process and returns once it runs no longer.
func (s *system) freeze(p *launcher.Process) {
	p.Signal(syscall.SIGSTOP)
	s.waitUntil(p.Name+" is stopped", func() bool {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
		s.c.Assert(err, qt.IsNil)
		return bytes.Contains(stat, []byte(") T "))
	})
}

func (s *system) stop() {
	if s.t.Failed() {
		s.dumpLogs()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		p.Signal(syscall.SIGCONT)
		p.Kill()
	}
}
