package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// process is one started program.
type process struct {
	name string
	path string
	args []string
	log  string

	cmd    *exec.Cmd
	exited chan struct{}
}

func (p *process) start() error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	p.cmd = exec.Command(p.path, p.args...)
	p.cmd.Stdout = out
	p.cmd.Stderr = out
	// The child ends with this process also when it is killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	p.exited = make(chan struct{})
	go p.run()
	return nil
}

func (p *process) run() {
	_ = p.cmd.Wait()
	close(p.exited)
}

func (p *process) signal(s os.Signal) error {
	err := p.cmd.Process.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// stop asks the process to finish and kills it after the wait. It reports
// whether the process ended by itself.
func (p *process) stop(wait time.Duration) bool {
	_ = p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		return true
	case <-time.After(wait):
		_ = p.signal(syscall.SIGKILL)
		<-p.exited
		return false
	}
}

func (p *process) kill() {
	_ = p.signal(syscall.SIGKILL)
	<-p.exited
}

func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

func logFile(dir, name string) string {
	return filepath.Join(dir, name+".log")
}
