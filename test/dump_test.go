package test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/shared/launcher"
)

const (
	// tailBytes is how much of the output of a process is logged.
	tailBytes = 3000
	// stacksTimeout is how long a process gets to write its stacks.
	stacksTimeout = 5 * time.Second
	// inspectTimeout limits one request to a process that may be stopped.
	inspectTimeout = time.Second
)

// dumpLogs logs the state of each process and the end of its output.
func (s *system) dumpLogs() {
	s.mu.Lock()
	processes := make([]*launcher.Process, 0, len(s.processes))
	for _, p := range s.processes {
		processes = append(processes, p)
	}
	s.mu.Unlock()
	slices.SortFunc(processes, func(a, b *launcher.Process) int { return strings.Compare(a.Name, b.Name) })
	for _, p := range processes {
		s.t.Logf("%s: %s", p.Name, describeProcess(p))
		if address := argumentOf(p, "--debug-address"); address != "" {
			s.t.Logf("%s:\n%s", p.Name, inspect(address))
		}
		text, err := os.ReadFile(p.Log)
		if err == nil {
			s.t.Logf("%s:\n%s", filepath.Base(p.Log), tailOf(text))
		}
	}
}

// dumpStacks ends the daemons and logs where their goroutines wait for locks.
func (s *system) dumpStacks() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		if argumentOf(p, "--debug-address") == "" || !p.Running() {
			continue
		}
		before, _ := os.ReadFile(p.Log)
		p.Signal(syscall.SIGQUIT)
		p.Signal(syscall.SIGCONT)
		select {
		case <-p.Exited():
		case <-time.After(stacksTimeout):
		}
		after, _ := os.ReadFile(p.Log)
		stacks := after[min(len(before), len(after)):]
		s.t.Logf("%s: %d bytes of stacks; goroutines that wait for locks:\n%s", p.Name, len(stacks), lockWaits(stacks))
	}
}

// describeProcess returns whether a process has exited and in which states its
// threads are.
func describeProcess(p *launcher.Process) string {
	if !p.Running() {
		return fmt.Sprintf("exited: %v", p.State())
	}
	return fmt.Sprintf("process %d, threads by state: %v", p.PID(), threadStates(p))
}

// argumentOf returns the argument after a flag, or an empty string.
func argumentOf(p *launcher.Process, flag string) string {
	if i := slices.Index(p.Args, flag); i >= 0 && i+1 < len(p.Args) {
		return p.Args[i+1]
	}
	return ""
}

// gauges matches the metrics that tell what a daemon knows of the others.
var gauges = regexp.MustCompile(`(?m)^"(attempts-|backend-|configuration|evacuations|listeners|membership|replica-state|revision|sessions-open).*$`)

// inspect returns the readiness and the gauges of a daemon.
func inspect(address string) string {
	client := &http.Client{Timeout: inspectTimeout}
	var out strings.Builder
	for _, path := range []string{"/readyz", "/debug/vars"} {
		resp, err := client.Get("http://" + address + path)
		if err != nil {
			fmt.Fprintf(&out, "%v\n", err)
			continue
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if path == "/debug/vars" {
			body = bytes.Join(gauges.FindAll(body, -1), []byte("\n"))
		}
		fmt.Fprintf(&out, "%s: %d %s", path, resp.StatusCode, body)
		if err != nil {
			fmt.Fprintf(&out, "%v\n", err)
		}
	}
	return out.String()
}

// tailOf returns the end of a log. A waiting test sends many requests, so of the
// lines about requests it keeps only the last ones.
func tailOf(text []byte) string {
	const requestLines = 3
	lines := strings.SplitAfter(string(text), "\n")
	var kept []string
	requests := 0
	for _, line := range slices.Backward(lines) {
		if strings.Contains(line, `"message":"request"`) {
			if requests++; requests > requestLines {
				continue
			}
		}
		kept = append(kept, line)
	}
	slices.Reverse(kept)
	tail := strings.Join(kept, "")
	return strings.TrimSpace(tail[max(0, len(tail)-tailBytes):])
}

// lockWaits returns the goroutines of the output of SIGQUIT that wait for a mutex.
func lockWaits(stacks []byte) string {
	var waiting []string
	for stack := range strings.SplitSeq(string(stacks), "\n\n") {
		head, _, _ := strings.Cut(stack, "\n")
		if strings.Contains(head, "Mutex") {
			waiting = append(waiting, stack)
		}
	}
	return strings.Join(waiting, "\n\n")
}
