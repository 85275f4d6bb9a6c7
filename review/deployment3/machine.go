package deployment3

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// maxEnds is how often the process of a machine may end by itself: three times break the rule.
	maxEnds      = 2
	samplePause  = 100 * time.Millisecond
	restartPause = 500 * time.Millisecond
)

// Machine is an entry machine. Its process is killed when it exceeds the memory, and started again.
// Exported fields are set before Start.
type Machine struct {
	Number                int
	MemoryMB, Descriptors int
	Deployment            *Deployment
	Record                *Recorder

	entry *Entry
	// ends counts the ends of the process, and peak is its highest resident memory in MB.
	ends, peak int
}

// Start starts the process.
func (m *Machine) Start() error {
	e, err := m.Deployment.StartEntry(m.Number, m.MemoryMB, m.Descriptors)
	if err != nil {
		return err
	}
	m.entry = e
	return nil
}

// Stop kills the process.
func (m *Machine) Stop() { m.entry.Stop() }

// Client sends requests.
type Client interface {
	// Request sends one request to an address, and returns the outcome.
	Request(address, id string) (outcome string)
}

// Play lets clients send requests to the machine until its process has ended too often, or for a
// time. Each sends one after the other.
func (m *Machine) Play(clients int, c Client, lasts time.Duration) (err error) {
	ctx, cancel := context.WithTimeout(context.Background(), lasts)
	defer cancel()
	var wg sync.WaitGroup
	for i := range clients {
		wg.Add(1)
		go (&caller{name: fmt.Sprintf("%d-%d", m.Number, i), address: m.entry.CallerAddress(), client: c, record: m.Record, wg: &wg}).run(ctx)
	}
	for ctx.Err() == nil && m.ends <= maxEnds && err == nil {
		time.Sleep(samplePause)
		err = m.check()
	}
	cancel()
	wg.Wait()
	return err
}

// check kills the process if it exceeds the memory of the machine, and starts one that has ended.
func (m *Machine) check() error {
	now := residentMB(m.entry)
	if now > m.peak {
		m.peak = now
		m.Record.Line("memory", fmt.Sprintf("machine %d", m.Number), fmt.Sprintf("%d MB", now))
	}
	if now <= m.MemoryMB && !m.entry.HasEnded() {
		return nil
	}
	m.ends++
	m.Record.Line("ended", fmt.Sprintf("machine %d", m.Number), "over the memory or by itself")
	m.entry.Stop()
	time.Sleep(restartPause)
	return m.Start()
}

// caller is a client with its requests.
type caller struct {
	name, address string
	client        Client
	record        *Recorder
	wg            *sync.WaitGroup
}

// retryPause is the time between a request that got no answer of a replica and the next one.
const retryPause = 50 * time.Millisecond

func (c *caller) run(ctx context.Context) {
	defer c.wg.Done()
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%s-%d", c.name, n)
		outcome := c.client.Request(c.address, id)
		c.record.Line("answered", id, outcome)
		if outcome != "200" {
			time.Sleep(retryPause)
		}
	}
}

// residentMB returns the resident memory of the process of an entry daemon in MB, or 0 if it has ended.
func residentMB(e *Entry) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.Process.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		kb := 0
		if n, _ := fmt.Sscanf(line, "VmRSS: %d", &kb); n == 1 {
			return kb >> 10
		}
	}
	return 0
}

// Recorder writes the record.
type Recorder struct {
	mu     sync.Mutex
	file   *os.File
	w      *bufio.Writer
	counts map[string]int
	start  time.Time
}

// NewRecorder creates the file of the record.
func NewRecorder(path string) (*Recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Recorder{file: file, w: bufio.NewWriter(file), counts: map[string]int{}, start: time.Now()}, nil
}

// Line writes one line. Lines are counted by event and detail.
func (r *Recorder) Line(event, id, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[strings.TrimSpace(event+" "+detail)]++
	fmt.Fprintf(r.w, "%7.3f %s %s %s\n", time.Since(r.start).Seconds(), event, id, detail)
}

// Close ends the record.
func (r *Recorder) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.file.Close()
}

// NotRun records why the case could not run, and returns the exit code.
func (r *Recorder) NotRun(err error) int {
	fmt.Println("not run:", err)
	r.Line("not run", "", err.Error())
	return NotRun
}

// Judge writes the result and returns the exit code: the rule is broken if the processes of all
// machines have ended too often.
func (r *Recorder) Judge(machines []*Machine) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	broken := 0
	for _, m := range machines {
		result := fmt.Sprintf("machine %d: the process ended %d times, peak memory %d MB of %d MB", m.Number, m.ends, m.peak, m.MemoryMB)
		fmt.Println(result)
		fmt.Fprintln(r.w, result)
		if m.ends > maxEnds {
			broken++
		}
	}
	fmt.Fprintf(r.w, "counts: %v\n", r.counts)
	switch {
	case broken == len(machines):
		return RuleBroken
	case r.counts["answered 200"] == 0:
		return NotRun
	}
	return RuleHeld
}

// PlayAll starts entry machines with the same limits, lets clients send requests to one after the
// other, and returns the exit code.
func PlayAll(d *Deployment, r *Recorder, machines, memoryMB, descriptors, clients int, c Client, lasts time.Duration) int {
	var all []*Machine
	for n := range machines {
		m := &Machine{Number: n, MemoryMB: memoryMB, Descriptors: descriptors, Deployment: d, Record: r}
		if err := m.Start(); err != nil {
			return r.NotRun(err)
		}
		defer m.Stop()
		all = append(all, m)
	}
	for _, m := range all {
		if err := m.Play(clients, c, lasts); err != nil {
			return r.NotRun(err)
		}
	}
	return r.Judge(all)
}
