package main

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// restartPause is the time between the end of a process and its next start.
const restartPause = 300 * time.Millisecond

// settingsVariable names the settings file to a daemon.
const settingsVariable = "LENTILBRIDGE_NODE_FILE"

// process is one daemon. Fields are set before its keeper runs.
type process struct {
	Binary       string
	Role         string
	SettingsPath string
	LogPath      string
	Done         <-chan struct{}

	mu  sync.Mutex
	cmd *exec.Cmd
	// asked is set once the process was told to end.
	asked bool
	// unexpected counts the ends that nobody asked for.
	unexpected int
}

// keeper starts a process again whenever it ends.
type keeper struct {
	process *process
	ended   func()
}

func (k *keeper) run() {
	defer k.ended()
	p := k.process
	for {
		select {
		case <-p.Done:
			return
		default:
		}
		if err := p.runOnce(); err != nil {
			_, _ = os.Stderr.WriteString("soak: " + err.Error() + "\n")
		}
		select {
		case <-p.Done:
			return
		case <-time.After(restartPause):
		}
	}
}

func (p *process) runOnce() error {
	log, err := os.OpenFile(p.LogPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(p.Binary, p.Role)
	cmd.Env = append(os.Environ(), settingsVariable+"="+p.SettingsPath)
	cmd.Stdout, cmd.Stderr = log, log
	p.mu.Lock()
	err = cmd.Start()
	p.cmd, p.asked = cmd, false
	p.mu.Unlock()
	if err != nil {
		return err
	}
	select {
	case <-p.Done:
		// The stop of the cluster may have looked before the start.
		p.kill()
	default:
	}
	_ = cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = nil
	if !p.asked {
		p.unexpected++
	}
	return nil
}

// signal sends a signal to the process, if it runs.
func (p *process) signal(sig syscall.Signal) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return false
	}
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		p.asked = true
	}
	return p.cmd.Process.Signal(sig) == nil
}

func (p *process) kill() { p.signal(syscall.SIGKILL) }

// stop sends SIGTERM, and SIGKILL to a process that does not end in time.
// It reports whether the process ended by itself.
func (p *process) stop() bool {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd == nil || !p.signal(syscall.SIGTERM) {
		return true
	}
	for end := time.Now().Add(stopTime); time.Now().Before(end); time.Sleep(restartPause / 6) {
		p.mu.Lock()
		ended := p.cmd != cmd
		p.mu.Unlock()
		if ended {
			return true
		}
	}
	p.kill()
	return false
}

func (p *process) unexpectedEnds() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unexpected
}
