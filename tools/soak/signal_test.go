package main

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/platform/simulator"
)

// TestEarlySignal guards against a daemon that is ended by a SIGHUP during its
// start: the signal's default action ends a process that has not yet installed a
// handler.
func TestEarlySignal(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	dir := t.TempDir()
	binary, err := build(dir, "")
	qt.Assert(t, err, qt.IsNil)
	path := filepath.Join(dir, "settings.toml")
	// The address differs from that of a concurrent run of this test.
	ip := fmt.Sprintf("127.9.%d.%d", os.Getpid()%250, os.Getpid()/250%250+1)
	settings := &simulator.Settings{VM: "n", IP: ip, FailureDomain: "z0", EngineAddress: "127.0.0.1:1", EngineService: "s", StoreAddress: "127.0.0.1:1"}
	qt.Assert(t, settings.Write(path), qt.IsNil)
	cmd := exec.Command(binary, "agent")
	cmd.Env = append(os.Environ(), simulator.Environment(path))
	out, err := cmd.StdoutPipe()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, cmd.Start(), qt.IsNil)
	lines := bufio.NewScanner(out)
	for lines.Scan() && !strings.Contains(lines.Text(), `"start"`) {
	}
	qt.Assert(t, cmd.Process.Signal(syscall.SIGHUP), qt.IsNil)
	reloaded := false
	for lines.Scan() && !reloaded {
		reloaded = strings.Contains(lines.Text(), `"reload"`)
	}
	qt.Check(t, reloaded, qt.IsTrue)
	qt.Assert(t, cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
	for lines.Scan() {
	}
	qt.Check(t, cmd.Wait(), qt.IsNil)
}
