package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lentilbridge/lentilbridge/internal/shared/waiter"
	"github.com/lentilbridge/lentilbridge/pkg/limiter"
)

const (
	rolloutSeed = 1
	rolloutVMs  = 8
	callerVM    = "callers"
	// liveRate is the requests per second to each VM.
	liveRate = 20
	// livePrefill is the mean time to the first token without a transfer.
	livePrefill     = 60 * time.Millisecond
	livePromptBytes = 2 << 10
	liveTokens      = 20
	liveTokenTime   = 10 * time.Millisecond
	liveTokenBytes  = 160
	// learnTime lets the limiters learn the first-token delay before the
	// transfer.
	learnTime       = 4 * time.Second
	rolloutBaseline = 10 * time.Second
	rolloutShare    = 0.5
)

// rolloutRun is live traffic with a weight transfer under one policy.
type rolloutRun struct {
	name   string
	policy limiter.Policy
	// transfer is off in the baseline.
	transfer bool
	// seenByCaller tells the limiter the delay at the caller, with the link,
	// instead of the delay on the VM.
	seenByCaller bool

	fleet   *fleet
	client  *http.Client
	vmOf    map[string]string
	servers []*http.Server
	pending sync.WaitGroup
	elapsed time.Duration

	mu        sync.Mutex
	first     *hdrhistogram.Histogram
	measuring bool
}

// benchRolloutLatency measures first tokens of live requests while a version
// is transferred to their VMs. Answers and chunks share the VM's link.
func benchRolloutLatency(w io.Writer) error {
	fmt.Fprintf(w, "rollout-latency/seed %d number\n", rolloutSeed)
	link := float64(vmCopies) * weightsBytes / window.Seconds()
	adaptive := limiter.Adaptive{MaxBytesPerSecond: link}
	baseline := 0.0
	for _, r := range []*rolloutRun{
		{name: "no-transfer"},
		{name: "adaptive", policy: adaptive, transfer: true},
		{name: "adaptive-by-caller-delay", policy: adaptive, transfer: true, seenByCaller: true},
		{name: "fixed-share", policy: limiter.FixedShare{LinkBytesPerSecond: link, Share: rolloutShare}, transfer: true},
		{name: "no-limit", policy: limiter.Unlimited{}, transfer: true},
	} {
		if err := r.measure(); err != nil {
			return fmt.Errorf("%s: %w", r.name, err)
		}
		p95 := float64(r.first.ValueAtQuantile(95)) / 1000
		if !r.transfer {
			baseline = p95
		}
		name := "rollout-latency/" + r.name
		fmt.Fprintf(w, "%s/first-token-p95 %.1f ms\n", name, p95)
		fmt.Fprintf(w, "%s/p95-to-no-transfer %.2f ratio\n", name, p95/baseline)
		if r.transfer {
			fmt.Fprintf(w, "%s/transfer-time %.1f s\n", name, r.elapsed.Seconds())
		}
	}
	return nil
}

func (r *rolloutRun) measure() error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	var err error
	r.fleet, err = newFleet(trial{n: rolloutVMs, regions: []string{originRegion}, policy: "time"})
	if err != nil {
		return err
	}
	defer r.fleet.stop()
	r.first = hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	if err := r.listen(); err != nil {
		return err
	}
	live, stop := context.WithCancel(ctx)
	for i, server := range r.servers {
		r.pending.Add(1)
		s := &liveSource{owner: r, vm: r.fleet.vms[i], address: server.Addr, random: rand.New(rand.NewPCG(rolloutSeed, uint64(i)))}
		go s.run(live)
	}
	time.Sleep(learnTime)
	r.setMeasuring(true)
	started := time.Now()
	if r.transfer {
		r.fleet.start(ctx)
		err = r.fleet.wait()
	} else {
		time.Sleep(rolloutBaseline)
	}
	r.elapsed = time.Since(started)
	r.setMeasuring(false)
	stop()
	r.pending.Wait()
	for _, server := range r.servers {
		_ = server.Close()
	}
	return err
}

func (r *rolloutRun) setMeasuring(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.measuring = on
}

// listen starts the engine of each VM behind the VM's link.
func (r *rolloutRun) listen() error {
	r.vmOf = map[string]string{}
	r.fleet.links.add(callerVM, originRegion, unlimitedRate)
	dial := r.fleet.links.dial(callerVM, func(address string) string { return r.vmOf[address] })
	r.client = &http.Client{Transport: &http.Transport{
		DialContext:         func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) },
		MaxIdleConnsPerHost: 64,
	}}
	for i, v := range r.fleet.vms {
		v.limiter = &limiter.Limiter{DownloadPolicy: r.policy, UploadPolicy: r.policy}
		v.store.Limiter = v.limiter
		l, err := r.fleet.listen(v.peer.GetVm())
		if err != nil {
			return err
		}
		r.vmOf[l.Addr().String()] = v.peer.GetVm()
		engine := &liveEngine{owner: r, vm: v, random: rand.New(rand.NewPCG(rolloutSeed, uint64(100+i)))}
		server := &http.Server{Addr: l.Addr().String(), Handler: engine, ReadHeaderTimeout: time.Second}
		r.servers = append(r.servers, server)
		go originServer{server}.run(l)
	}
	return nil
}

// liveEngine answers live requests on one VM.
type liveEngine struct {
	owner *rolloutRun
	vm    *vm

	mu     sync.Mutex
	random *rand.Rand
}

// ServeHTTP implements http.Handler.
func (e *liveEngine) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	arrived := time.Now()
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	if !waiter.Wait(req.Context(), e.prefill()) {
		return
	}
	if !e.owner.seenByCaller {
		e.vm.limiter.ObserveFirstToken(time.Since(arrived), time.Now())
	}
	flusher := http.NewResponseController(w)
	token := bytes.Repeat([]byte("t"), liveTokenBytes)
	for range liveTokens {
		if _, err := w.Write(token); err != nil || flusher.Flush() != nil || !waiter.Wait(req.Context(), liveTokenTime) {
			return
		}
	}
}

func (e *liveEngine) prefill() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(float64(livePrefill) * (0.5 + e.random.Float64()))
}

// liveSource sends live requests to one VM when they are due.
type liveSource struct {
	owner   *rolloutRun
	vm      *vm
	address string
	random  *rand.Rand
}

func (s *liveSource) run(ctx context.Context) {
	defer s.owner.pending.Done()
	due := time.Now()
	for {
		due = due.Add(time.Duration(s.random.ExpFloat64() / liveRate * float64(time.Second)))
		if !waiter.Wait(ctx, time.Until(due)) {
			return
		}
		c := &liveCall{source: s, due: due}
		s.owner.pending.Add(1)
		go c.run()
	}
}

// liveCall is one live request.
type liveCall struct {
	source *liveSource
	due    time.Time
}

func (c *liveCall) run() {
	r := c.source.owner
	defer r.pending.Done()
	body := bytes.NewReader(make([]byte, livePromptBytes))
	req, err := http.NewRequest(http.MethodPost, "http://"+c.source.address, body)
	if err != nil {
		return
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	if _, err := io.ReadFull(resp.Body, make([]byte, 1)); err != nil {
		return
	}
	now := time.Now()
	delay := now.Sub(c.due)
	if r.seenByCaller {
		c.source.vm.limiter.ObserveFirstToken(delay, now)
	}
	r.mu.Lock()
	if r.measuring {
		_ = r.first.RecordValue(delay.Microseconds())
	}
	r.mu.Unlock()
	_, _ = io.Copy(io.Discard, resp.Body)
}
