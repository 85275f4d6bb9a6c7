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
	// liveRequestsPerSecond is the request rate to each VM.
	liveRequestsPerSecond = 20
	// liveMeanPrefill is the mean time to the first token on the VM.
	liveMeanPrefill = 60 * time.Millisecond
	livePromptBytes = 2 << 10
	liveTokens      = 20
	liveTokenTime   = 10 * time.Millisecond
	liveTokenBytes  = 160
	// limiterWarmUp lets the limiters learn the first-token delay before the
	// transfer starts.
	limiterWarmUp           = 4 * time.Second
	rolloutBaselineDuration = 10 * time.Second
	rolloutFixedShare       = 0.5
)

// rolloutRun sends live requests during a weight transfer with one limiter
// policy.
type rolloutRun struct {
	name   string
	policy limiter.Policy
	// transfer is false for the baseline without a transfer.
	transfer bool
	// callerDelay makes the limiter observe the first-token delay at the caller,
	// which includes the link, instead of the delay on the VM.
	callerDelay bool

	fleet       *fleet
	client      *http.Client
	vmByAddress map[string]string
	servers     []*http.Server
	pending     sync.WaitGroup
	elapsed     time.Duration

	mu          sync.Mutex
	firstTokens *hdrhistogram.Histogram
	measuring   bool
}

// benchRolloutLatency measures the first-token latency of live requests while a
// version is transferred to their VMs. Answers and chunks share the VM's link.
func benchRolloutLatency(w io.Writer) error {
	fmt.Fprintf(w, "rollout-latency/seed %d number\n", rolloutSeed)
	link := float64(vmCopiesPerWindow) * weightsBytes / linkWindow.Seconds()
	adaptive := limiter.Adaptive{MaxBytesPerSecond: link}
	baseline := 0.0
	for _, r := range []*rolloutRun{
		{name: "no-transfer"},
		{name: "adaptive", policy: adaptive, transfer: true},
		{name: "adaptive-by-caller-delay", policy: adaptive, transfer: true, callerDelay: true},
		{name: "fixed-share", policy: limiter.FixedShare{LinkBytesPerSecond: link, Share: rolloutFixedShare}, transfer: true},
		{name: "no-limit", policy: limiter.Unlimited{}, transfer: true},
	} {
		if err := r.measure(); err != nil {
			return fmt.Errorf("%s: %w", r.name, err)
		}
		p95 := float64(r.firstTokens.ValueAtQuantile(95)) / 1000
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
	r.firstTokens = hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	if err := r.listen(); err != nil {
		return err
	}
	liveCtx, stopLive := context.WithCancel(ctx)
	for i, server := range r.servers {
		r.pending.Add(1)
		g := &liveGenerator{rollout: r, vm: r.fleet.vms[i], address: server.Addr, random: rand.New(rand.NewPCG(rolloutSeed, uint64(i)))}
		go g.run(liveCtx)
	}
	time.Sleep(limiterWarmUp)
	r.setMeasuring(true)
	started := time.Now()
	if r.transfer {
		r.fleet.start(ctx)
		err = r.fleet.wait()
	} else {
		time.Sleep(rolloutBaselineDuration)
	}
	r.elapsed = time.Since(started)
	r.setMeasuring(false)
	stopLive()
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

// listen starts the engine of each VM behind the VM's links and sets up the
// callers' client.
func (r *rolloutRun) listen() error {
	r.vmByAddress = map[string]string{}
	r.fleet.links.add(callerVM, originRegion, unlimitedBytesPerSecond)
	dial := r.fleet.links.dial(callerVM, func(address string) string { return r.vmByAddress[address] })
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
		r.vmByAddress[l.Addr().String()] = v.peer.GetVm()
		engine := &liveEngine{rollout: r, vm: v, random: rand.New(rand.NewPCG(rolloutSeed, uint64(100+i)))}
		server := &http.Server{Addr: l.Addr().String(), Handler: engine, ReadHeaderTimeout: time.Second}
		r.servers = append(r.servers, server)
		go serverRunner{server}.run(l)
	}
	return nil
}

// liveEngine answers live requests on one VM.
type liveEngine struct {
	rollout *rolloutRun
	vm      *vm

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
	if !e.rollout.callerDelay {
		e.vm.limiter.ObserveFirstToken(time.Since(arrived), time.Now())
	}
	controller := http.NewResponseController(w)
	token := bytes.Repeat([]byte("t"), liveTokenBytes)
	for range liveTokens {
		if _, err := w.Write(token); err != nil || controller.Flush() != nil || !waiter.Wait(req.Context(), liveTokenTime) {
			return
		}
	}
}

func (e *liveEngine) prefill() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(float64(liveMeanPrefill) * (0.5 + e.random.Float64()))
}

// liveGenerator is an open-loop load generator: it sends live requests to one VM
// as a Poisson process, whether or not earlier ones have ended.
type liveGenerator struct {
	rollout *rolloutRun
	vm      *vm
	address string
	random  *rand.Rand
}

func (g *liveGenerator) run(ctx context.Context) {
	defer g.rollout.pending.Done()
	due := time.Now()
	for {
		due = due.Add(time.Duration(g.random.ExpFloat64() / liveRequestsPerSecond * float64(time.Second)))
		if !waiter.Wait(ctx, time.Until(due)) {
			return
		}
		c := &liveRequest{generator: g, due: due}
		g.rollout.pending.Add(1)
		go c.run()
	}
}

// liveRequest is one live request. Its latency counts from the time it was due.
type liveRequest struct {
	generator *liveGenerator
	due       time.Time
}

func (c *liveRequest) run() {
	r := c.generator.rollout
	defer r.pending.Done()
	body := bytes.NewReader(make([]byte, livePromptBytes))
	req, err := http.NewRequest(http.MethodPost, "http://"+c.generator.address, body)
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
	if r.callerDelay {
		c.generator.vm.limiter.ObserveFirstToken(delay, now)
	}
	r.mu.Lock()
	if r.measuring {
		_ = r.firstTokens.RecordValue(delay.Microseconds())
	}
	r.mu.Unlock()
	_, _ = io.Copy(io.Discard, resp.Body)
}
