// Package launcher runs programs as child processes for demonstrations, soak tests and
// end-to-end tests.
package launcher

import (
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"time"
)

// Process runs a program once. Exported fields must be set before Start.
type Process struct {
	Name string
	Path string
	Args []string
	// Env is added to the environment of the parent process.
	Env []string
	// Log is the file to which stdout and stderr are appended.
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
	// The kernel kills the child when the parent dies, also if the parent is killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	p.exited = make(chan struct{})
	go p.run()
	return nil
}

// run waits for the process to exit.
func (p *Process) run() {
	_ = p.cmd.Wait()
	close(p.exited)
}

// Exited returns a channel that is closed when the process has exited.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Running reports whether the process has not exited yet.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// ExitCode returns the exit code of a process that has exited.
func (p *Process) ExitCode() int { return p.cmd.ProcessState.ExitCode() }

// State returns the state of a process that has exited, which names the signal that
// ended it.
func (p *Process) State() *os.ProcessState { return p.cmd.ProcessState }

// Signal sends a signal, for example SIGSTOP to suspend the process, and reports whether it
// was sent.
func (p *Process) Signal(s os.Signal) bool { return p.cmd.Process.Signal(s) == nil }

// Kill kills the process and waits for its exit.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// Stop sends SIGTERM and kills the process if it has not exited after the timeout. It reports
// whether the process exited before the timeout.
func (p *Process) Stop(timeout time.Duration) bool {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		return true
	case <-time.After(timeout):
		p.Kill()
		return false
	}
}
