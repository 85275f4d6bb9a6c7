// Package crowd plays misbehaving clients against the daemons. Each test starts the daemons as
// processes of their own with lowered limits and checks that they stay within these limits.
// The tests run one at a time, without the race detector, whose memory would count.
package crowd

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/daemon/agent"
	"github.com/lentilbridge/lentilbridge/internal/daemon/router"
	"github.com/lentilbridge/lentilbridge/internal/shared/launcher"
	"github.com/lentilbridge/lentilbridge/internal/shared/starter"
	"github.com/lentilbridge/lentilbridge/pkg/emulator"
	"github.com/lentilbridge/lentilbridge/platform"
)

func init() {
	starter.Main(map[string]func(args []string) int{
		"lentil-platform": platform.Main, "lentil-entry": router.Main, "lentil-agent": agent.Main, "lentil-standin": emulator.Main,
	})
}

// reservedDescriptors is the part of the descriptor limit that the daemons leave unused.
const reservedDescriptors = 200

// bounds are the limits of the daemon under test.
type bounds struct {
	MemoryMB    int
	Descriptors int
}

// environment returns the limits as the settings of the product's daemons.
func (b bounds) environment() []string {
	return []string{fmt.Sprintf("LENTIL_MEMORY_MB=%d", b.MemoryMB), fmt.Sprintf("LENTIL_MAX_DESCRIPTORS=%d", b.Descriptors)}
}

// startProgram starts the test binary as a program and kills it after the test. The end of its
// output is logged if the test has failed.
func startProgram(t *testing.T, dir, name, program string, env []string, args ...string) *launcher.Process {
	p := starter.Start(t, dir, name, program, env, args...)
	t.Cleanup(func() {
		p.Kill()
		if text, err := os.ReadFile(p.Log); err == nil && t.Failed() {
			t.Logf("%s:\n%s", name, text[max(0, len(text)-1500):])
		}
	})
	return p
}

// peakMemoryMB returns the peak resident memory of a process in MB.
func peakMemoryMB(t *testing.T, p *launcher.Process) int {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", p.PID()))
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = f.Close() }()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if value, ok := strings.CutPrefix(lines.Text(), "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.Fields(value)[0])
			qt.Assert(t, err, qt.IsNil)
			return kb >> 10
		}
	}
	t.Fatal("no peak of resident memory")
	return 0
}

// openDescriptors returns the number of open file descriptors of a process, or 0 if it has
// exited.
func openDescriptors(p *launcher.Process) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.PID()))
	if err != nil {
		return 0
	}
	return len(entries)
}

// waitTimeout bounds the start of the daemons. It is no requirement.
const (
	waitTimeout  = 60 * time.Second
	pollInterval = 50 * time.Millisecond
)

// waitUntil fails the test if a condition does not hold before waitTimeout.
func waitUntil(t *testing.T, what string, holds func() bool) {
	for until := time.Now().Add(waitTimeout); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(until) {
			t.Fatalf("not within %s: %s", waitTimeout, what)
		}
	}
}
