package test

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	qt "github.com/frankban/quicktest"
)

// process is one started program.
type process struct {
	name   string
	cmd    *exec.Cmd
	log    string
	exited chan struct{}
}

// run starts a program under a name. Its output goes to a file in the test's
// folder.
func (s *system) run(name, program string, args ...string) {
	p := &process{name: name, log: filepath.Join(s.dir, name+".log"), exited: make(chan struct{})}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	s.c.Assert(err, qt.IsNil)
	defer func() { _ = out.Close() }()
	p.cmd = exec.Command(os.Args[0], args...)
	p.cmd.Env = append(os.Environ(), programEnv+"="+program)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	s.c.Assert(p.cmd.Start(), qt.IsNil)
	go p.run()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes[name] = p
}

func (p *process) run() {
	_ = p.cmd.Wait()
	close(p.exited)
}

// process returns the newest process of a name.
func (s *system) process(name string) *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.processes[name]
	s.c.Assert(p, qt.IsNotNil, qt.Commentf("no process %s", name))
	return p
}

// signal sends a signal, for example SIGSTOP to freeze a process.
func (p *process) signal(sig syscall.Signal) { _ = p.cmd.Process.Signal(sig) }

// freeze stops the process and returns once it runs no longer.
func (s *system) freeze(p *process) {
	p.signal(syscall.SIGSTOP)
	s.waitUntil(p.name+" is stopped", func() bool {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
		s.c.Assert(err, qt.IsNil)
		return bytes.Contains(stat, []byte(") T "))
	})
}

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

func (s *system) stop() {
	if s.t.Failed() {
		s.dumpLogs()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		p.signal(syscall.SIGCONT)
		p.kill()
	}
}
