package agent

import (
	"bytes"
	"context"
	"flag"
	"io"
	"net/http"
	"regexp"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/daemon/executor"
	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/guard"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// replaceableHandler is an engine that a test replaces to simulate a restart.
type replaceableHandler struct {
	mu      sync.Mutex
	current http.Handler
}

func (s *replaceableHandler) set(h http.Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = h
}

func (s *replaceableHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	h := s.current
	s.mu.Unlock()
	h.ServeHTTP(w, r)
}

// blockedLoads blocks the loading of weights until open is closed.
type blockedLoads struct {
	http.Handler
	open chan struct{}
}

func (h *blockedLoads) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		<-h.open
	}
	h.Handler.ServeHTTP(w, r)
}

var testEntries = []*messenger.EntryVM{
	{Vm: "entry-1", RpcAddress: "1:1", Region: "central", FailureDomain: "central-a"},
	{Vm: "entry-2", RpcAddress: "2:1", Region: "central", FailureDomain: "central-a"},
	{Vm: "entry-3", RpcAddress: "3:1", Region: "central", FailureDomain: "central-b"},
	{Vm: "entry-4", RpcAddress: "4:1", Region: "north", FailureDomain: "north-a"},
	{Vm: "entry-5", RpcAddress: "5:1", Region: "central", FailureDomain: "central-a", Leaving: true},
}

// Guards against a preference for distant entry daemons over near ones, and
// against the same first choice for all agents.
func TestPreferredEntries(t *testing.T) {
	c := qt.New(t)
	first := map[string]bool{}
	for _, vm := range []string{"m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8"} {
		order := preferredEntries(vm, "central", "central-a", testEntries, []string{"9:1", "1:1"})
		c.Assert(slices.Sorted(slices.Values(order[:2])), qt.DeepEquals, []string{"1:1", "2:1"})
		c.Assert(order[2:], qt.DeepEquals, []string{"3:1", "4:1", "9:1", "5:1"})
		first[order[0]] = true
	}
	c.Assert(first, qt.HasLen, 2)
}

// Guards against an agent without a session when its preferred entry daemons
// have failed, and against retries of failed ones that replace a working
// session.
func TestChooseSessions(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := &sessionManager{VM: "m1", Region: "central", FailureDomain: "central-a", entries: testEntries}
	s.init()
	c.Assert(s.selectEntries(now), qt.DeepEquals, map[string]bool{"1:1": true, "2:1": true})
	s.retries["1:1"] = &retryState{retryAt: now.Add(time.Second)}
	s.sessions["2:1"] = &session{connected: true}
	c.Assert(s.selectEntries(now), qt.DeepEquals, map[string]bool{"2:1": true, "3:1": true})
	s.sessions["3:1"] = &session{connected: true}
	later := now.Add(time.Second)
	c.Assert(s.selectEntries(later), qt.DeepEquals, map[string]bool{"1:1": true, "2:1": true, "3:1": true})
	s.sessions["1:1"] = &session{connected: true}
	c.Assert(s.selectEntries(later), qt.DeepEquals, map[string]bool{"1:1": true, "2:1": true})
}

// Guards against reports of insignificant changes, and against significant
// changes that are not reported.
func TestSignificantChanges(t *testing.T) {
	base := func() *messenger.AgentReport {
		return &messenger.AgentReport{
			Replica:   &messenger.Replica{Sequence: 1},
			Load:      &messenger.Load{Running: 10, Sequence: 1},
			Transfers: []*messenger.Transfer{{Digest: "d", ChunksHeld: 1}},
		}
	}
	tests := []struct {
		name        string
		change      func(r *messenger.AgentReport)
		significant bool
	}{
		{"nothing", func(r *messenger.AgentReport) { r.Load.Sequence = 2 }, false},
		{"little load", func(r *messenger.AgentReport) { r.Load.Running = 12 }, false},
		{"much load", func(r *messenger.AgentReport) { r.Load.Running = 13 }, true},
		{"replica", func(r *messenger.AgentReport) { r.Replica.Sequence = 2 }, true},
		{"order error", func(r *messenger.AgentReport) { r.LastOrderError = "failed" }, true},
		{"chunk", func(r *messenger.AgentReport) { r.Transfers[0].ChunksHeld = 2 }, true},
		{"transfer ended", func(r *messenger.AgentReport) { r.Transfers[0].Complete = true }, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			report := base()
			test.change(report)
			c.Assert(isSignificant(base(), report), qt.Equals, test.significant)
		})
	}
}

// Guards against a drain that waits forever, does not wait, or ends after the
// confirmation of only one of several sessions.
func TestWaitForDrainConfirmed(t *testing.T) {
	tests := []struct {
		name      string
		confirmed []bool
		waited    time.Duration
	}{
		{"no session", nil, drainConfirmTimeout},
		{"one of two", []bool{true, false}, drainConfirmTimeout},
		{"all", []bool{true, true}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &sessionManager{}
				s.init()
				for i, confirmed := range test.confirmed {
					s.sessions[string(rune('a'+i))] = &session{connected: true, drainConfirmed: confirmed}
				}
				begin := time.Now()
				s.waitForDrainConfirmed(context.Background(), drainConfirmTimeout)
				qt.New(t).Assert(time.Since(begin), qt.Equals, test.waited)
			})
		})
	}
}

// fakeWeights reports every version as prepared and records activations.
type fakeWeights struct {
	Weights
	mu        sync.Mutex
	activated []string
}

func (w *fakeWeights) Ready(string) bool                        { return false }
func (w *fakeWeights) Prepared(string) bool                     { return true }
func (w *fakeWeights) ActiveVersion() executor.ActiveVersion    { return executor.ActiveVersion{} }
func (w *fakeWeights) ObserveEngine(adapter.EngineState) bool   { return false }
func (w *fakeWeights) Restore(context.Context, ApplyFunc) error { return nil }
func (w *fakeWeights) Prepare(*messenger.PrepareOrder) error    { return nil }
func (w *fakeWeights) Drop(string) error                        { return nil }
func (w *fakeWeights) Transfers() []*messenger.Transfer         { return nil }
func (w *fakeWeights) Run(ctx context.Context) error            { <-ctx.Done(); return ctx.Err() }
func (w *fakeWeights) Activate(_ context.Context, o *messenger.ActivateOrder, _ ApplyFunc) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.activated = append(w.activated, o.GetVersion().GetDigest())
	return nil
}

// fakeAdmission blocks Hold until idle is closed.
type fakeAdmission struct {
	idle chan struct{}
}

func (a *fakeAdmission) Hold(ctx context.Context) error {
	select {
	case <-a.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (a *fakeAdmission) Release() {}

type ordersLoop struct {
	orders *orders
	ctx    context.Context
}

func (l *ordersLoop) run() { _ = l.orders.serve(l.ctx) }

// Guards against an order that waits for running attempts and is executed
// although a newer order or a newer lease holder has replaced it.
func TestWaitingActivationIsReplaced(t *testing.T) {
	tests := []struct {
		name      string
		meanwhile func(o *orders)
		activated []string
	}{
		{"newer order", func(o *orders) { _ = o.accept(activateRequest(5, "v2")) }, []string{"v2"}},
		{"newer holder", func(o *orders) { _ = o.accept(activateRequest(6, "v3")) }, []string{"v3"}},
		{"newer holder known", func(o *orders) { o.Guard.RaiseEpochs(map[string]uint64{testShard: 6}) }, nil},
		{"same version again", func(o *orders) { _ = o.accept(activateRequest(5, "v1")) }, []string{"v1", "v1"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				weights, admission := &fakeWeights{}, &fakeAdmission{idle: make(chan struct{})}
				g := &guard.Guard{}
				g.RaiseEpochs(map[string]uint64{testShard: 5})
				o := &orders{Weights: weights, Guard: g, Admission: admission, DrainTimeout: time.Hour, Log: zap.NewNop()}
				go (&ordersLoop{o, ctx}).run()
				c := qt.New(t)
				c.Assert(o.accept(activateRequest(5, "v1")), qt.IsNil)
				synctest.Wait()
				test.meanwhile(o)
				synctest.Wait()
				close(admission.idle)
				synctest.Wait()
				c.Assert(weights.activated, qt.DeepEquals, test.activated)
			})
		})
	}
}

func activateRequest(epoch uint64, digest string) *messenger.OrderRequest {
	req := activate(&messenger.VersionRef{Digest: digest})
	req.Fence = &messenger.Fence{Shard: testShard, Epoch: epoch}
	return req
}

// Guards against an agent that starts with invalid settings.
func TestSettingsAreChecked(t *testing.T) {
	valid := []string{"--vm", "m1", "--region", "central", "--failure-domain", "a", "--fleet", "f", "--entries", "127.0.0.1:1", "--engine-address", "127.0.0.1:2"}
	tests := []struct {
		name    string
		args    []string
		message string
	}{
		{"valid", nil, ""},
		{"two backends", []string{"--service-address", "127.0.0.1:3"}, "--service-address: can't be given with --engine-address; an agent has one backend server"},
		{"no name", []string{"--vm", ""}, "--vm: is required; give --vm NAME or set LENTIL_VM"},
		{"bad address", []string{"--entries", "nowhere"}, `--entries: "nowhere" is not an address; give HOST:PORT`},
		{"any host", []string{"--rpc-address", ":7000"}, "--advertise-address: is required when --rpc-address names no host; give HOST:PORT"},
		{"negative rate", []string{"--upload-rate", "-1"}, "--upload-rate: must not be negative; give bytes per second, or 0 for no fixed limit"},
		{"log level", []string{"--log-level", "loud"}, "--log-level: log level loud does not exist; use debug, info, warn or error"},
		{"argument", []string{"now"}, "now: unexpected argument; see lentil-agent --help"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			flags := flag.NewFlagSet(programName, flag.ContinueOnError)
			flags.SetOutput(io.Discard)
			_, err := ParseSettings(flags, append(slices.Clone(valid), test.args...))
			c := qt.New(t)
			if test.message == "" {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(err, qt.ErrorMatches, regexp.QuoteMeta(test.message))
		})
	}
}

// Guards against an exit code that makes a supervisor restart an agent with
// invalid settings.
func TestWrongSettingsExitCode(t *testing.T) {
	c := qt.New(t)
	var errOut bytes.Buffer
	c.Assert(run(context.Background(), []string{"--vm", "m1"}, io.Discard, &errOut), qt.Equals, exitUsage)
	c.Assert(errOut.String(), qt.Contains, "lentil-agent: --region: is required")
	c.Assert(run(context.Background(), []string{"--help"}, io.Discard, &errOut), qt.Equals, exitOK)
}
