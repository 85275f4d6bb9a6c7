// Package launcher starts programs as processes, for demonstrations, soaks and
// tests of the whole system.
package launcher

import (
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"time"
)

// Process is one start of a program. Fields are set before Start.
type Process struct {
	Name string
	Path string
	Args []string
	// Env is added to the environment of this process.
	Env []string
	// Log is the file to which the output is appended.
	Log string

	cmd    *exec.Cmd
	exited chan struct{}
}

// Start starts the program.
func (p *Process) Start() error {
	out, err := os.OpenFile(p.Log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	p.cmd = exec.Command(p.Path, p.Args...)
	p.cmd.Env = append(os.Environ(), p.Env...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	// The child ends with this process also when it is killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	p.exited = make(chan struct{})
	go p.run()
	return nil
}

func (p *Process) run() {
	_ = p.cmd.Wait()
	close(p.exited)
}

// Exited returns a channel that is closed when the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Running tells whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// PID returns the id of the process.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// ExitCode returns the exit code of a process that has ended.
func (p *Process) ExitCode() int { return p.cmd.ProcessState.ExitCode() }

// Signal sends a signal, for example SIGSTOP to freeze the process, and reports
// whether there was a process to take it.
func (p *Process) Signal(s os.Signal) bool { return p.cmd.Process.Signal(s) == nil }

// Kill ends the process at once.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// Stop asks the process to finish and kills it after the wait. It reports
// whether the process ended by itself.
func (p *Process) Stop(wait time.Duration) bool {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		return true
	case <-time.After(wait):
		p.Kill()
		return false
	}
}
