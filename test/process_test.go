package test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/shared/launcher"
	"github.com/lentilbridge/lentilbridge/internal/shared/starter"
)

// startProcess starts a program as the process of the given name. Its output
// goes to NAME.log in the test's directory.
func (s *system) startProcess(name, program string, args ...string) {
	p := starter.Start(s.t, s.dir, name, program, nil, args...)
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

// freeze sends SIGSTOP to a process and waits until the kernel reports all of its
// threads as stopped. The first thread alone does not show that: others may still
// run.
func (s *system) freeze(p *launcher.Process) {
	s.c.Assert(p.Signal(syscall.SIGSTOP), qt.IsTrue, qt.Commentf("%s", p.Name))
	s.waitUntil(p.Name+" is stopped", func() bool {
		states := threadStates(p)
		return len(states) == 1 && states[stoppedThread] > 0
	})
}

// resume sends SIGCONT to a process and waits until the kernel reports none of its
// threads as stopped.
func (s *system) resume(p *launcher.Process) {
	s.c.Assert(p.Signal(syscall.SIGCONT), qt.IsTrue, qt.Commentf("%s", p.Name))
	s.waitUntil(p.Name+" runs again", func() bool {
		states := threadStates(p)
		return len(states) > 0 && states[stoppedThread] == 0
	})
}

// stoppedThread is the state of a thread of a stopped process.
const stoppedThread = "T"

// threadStates returns the number of threads of a process in each state that the
// kernel reports.
func threadStates(p *launcher.Process) map[string]int {
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.PID()))
	states := map[string]int{}
	for _, file := range files {
		// A thread may end meanwhile.
		stat, _ := os.ReadFile(file)
		// The name of the program in parentheses precedes the state.
		if _, after, found := bytes.Cut(stat, []byte(") ")); found {
			states[string(after[:1])]++
		}
	}
	return states
}

// stop kills all processes. If the test has failed, it logs their states, output
// and waits for locks first.
func (s *system) stop() {
	if s.t.Failed() {
		s.dumpLogs()
		s.dumpStacks()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		p.Signal(syscall.SIGCONT)
		p.Kill()
	}
}
