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

// startProcess starts a program as the process of the given name. Its output
// goes to NAME.log in the test's directory.
func (s *system) startProcess(name, program string, args ...string) {
	p := &launcher.Process{
		Name: name, Path: os.Args[0], Args: args, Env: []string{programEnv + "=" + program}, Log: filepath.Join(s.dir, name+".log"),
	}
	s.c.Assert(p.Start(), qt.IsNil)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes[name] = p
}

// process returns the process that was started last under a name.
func (s *system) process(name string) *launcher.Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.processes[name]
	s.c.Assert(p, qt.IsNotNil, qt.Commentf("no process %s", name))
	return p
}

// freeze sends SIGSTOP to a process and waits until the kernel reports it as
// stopped.
func (s *system) freeze(p *launcher.Process) {
	p.Signal(syscall.SIGSTOP)
	s.waitUntil(p.Name+" is stopped", func() bool {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
		s.c.Assert(err, qt.IsNil)
		return bytes.Contains(stat, []byte(") T "))
	})
}

// stop kills all processes. If the test has failed, it logs their output first.
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
