package router

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/request/accepter"
	"github.com/lentilbridge/lentilbridge/internal/request/admitter"
	"github.com/lentilbridge/lentilbridge/internal/request/budgeter"
	"github.com/lentilbridge/lentilbridge/internal/request/drainer"
	"github.com/lentilbridge/lentilbridge/internal/request/forwarder"
	"github.com/lentilbridge/lentilbridge/internal/request/identifier"
	"github.com/lentilbridge/lentilbridge/internal/request/picker"
	"github.com/lentilbridge/lentilbridge/internal/request/recorder"
	"github.com/lentilbridge/lentilbridge/internal/request/relayer"
	"github.com/lentilbridge/lentilbridge/internal/shared/listener"
	"github.com/lentilbridge/lentilbridge/pkg/logger"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// Requests is the request path of an entry daemon. A request passes these stages:
//
//	accepter → identifier → admitter → forwarder ↔ picker → relayer → recorder
//
// Its exported fields must be set before Handler is called.
type Requests struct {
	Region    string
	Config    func() *parser.Revision
	Entries   func(now time.Time) []*messenger.EntryVM
	Picker    *picker.Picker
	Dial      forwarder.Dialer
	Claims    forwarder.Claims
	Isolation forwarder.Isolation
	// Metrics and Counters are published with expvar when nil.
	Metrics  *recorder.Metrics
	Counters *forwarder.Counters
	Log      *logger.Logger
	// EntriesValid, MaxBody, MaxBodies and MaxDecoding default to the accepter's defaults if 0.
	EntriesValid time.Duration
	MaxBody      int64
	MaxBodies    int64
	MaxDecoding  int64
	// Reports counts the bodies that are aborted, if set.
	Reports *listener.Reports

	identifier *identifier.Identifier
	admitter   *admitter.Admitter
	forwarder  *forwarder.Forwarder
	relayer    *relayer.Relayer
	recorder   *recorder.Recorder

	// stop is set while the daemon stops.
	stop atomic.Pointer[drainer.Plan]
}

// Handler connects the stages and returns the handler of all paths.
func (r *Requests) Handler() http.Handler {
	if r.Metrics == nil {
		r.Metrics = recorder.ExpvarMetrics()
	}
	if r.Counters == nil {
		r.Counters = recorder.ExpvarCounters()
	}
	r.identifier = &identifier.Identifier{Config: r.Config, Ready: r.Picker.Ready}
	r.admitter = &admitter.Admitter{Capacity: r.Picker.Capacity, Reserved: r.Picker.Reserved, Refusal: r.Picker.Refusal, Entries: r.liveEntries}
	r.Picker.OnUpdate = r.admitter.Wake
	r.forwarder = &forwarder.Forwarder{
		Picker: r.Picker, Dial: r.Dial, Claims: r.Claims, Isolation: r.Isolation,
		Budget: budgeter.New(), Counters: r.Counters, Log: r.Log,
	}
	r.relayer = &relayer.Relayer{}
	r.recorder = &recorder.Recorder{Log: r.Log, Metrics: r.Metrics}
	a := &accepter.Accepter{
		Region: r.Region, Config: r.Config, Entries: r.Entries,
		Identify: r.identifier, Serve: r.serve, Refused: r.recordRefused,
		EntriesValid: r.EntriesValid, MaxBody: r.MaxBody, MaxBodies: r.MaxBodies, MaxDecoding: r.MaxDecoding, Reports: r.Reports,
	}
	return connectionCloser{a.Handler(), r}
}

// serve handles a decoded request, writes its answer and records it.
func (r *Requests) serve(ctx context.Context, w http.ResponseWriter, in identifier.Incoming) {
	arrived := time.Now()
	answer := r.relayer.Open(w, in.ID, in.Call, arrived)
	entry := recorder.Entry{ID: in.ID}
	entry.Result = r.handle(ctx, in, answer, &entry, arrived)
	answer.Finish(entry.Result)
	entry.Duration = time.Since(arrived)
	r.recorder.Record(entry)
}

// handle identifies, admits and forwards a request.
func (r *Requests) handle(ctx context.Context, in identifier.Incoming, answer relayer.Answer, entry *recorder.Entry, now time.Time) forwarder.Result {
	req, err := r.identifier.Identify(in, now)
	if err != nil {
		return forwarder.FailedResult(err)
	}
	entry.Request = req
	if r.stopsBefore(req, now) {
		return forwarder.FailedResult(identifier.StoppingError(identifier.OutcomeNotRun))
	}
	permit, err := r.admitter.Admit(ctx, req, now)
	entry.Queued = time.Since(now)
	if err != nil {
		return forwarder.FailedResult(err)
	}
	defer release(permit)
	if !req.Idempotent && r.stopsBefore(req, time.Now()) {
		return forwarder.FailedResult(identifier.StoppingError(identifier.OutcomeNotRun))
	}
	return r.forwarder.Run(ctx, req, answer)
}

// stopsBefore reports whether the daemon stops and may end before the deadline of a request.
func (r *Requests) stopsBefore(req *identifier.Request, now time.Time) bool {
	plan := r.stop.Load()
	return plan != nil && !plan.Takes(req.Deadline, req.Idempotent, now)
}

// Stop refuses the requests that do not fit into the plan of a stop.
func (r *Requests) Stop(plan drainer.Plan) {
	plan.HasOtherDaemon = r.hasOtherDaemon
	r.stop.Store(&plan)
}

// hasOtherDaemon reports whether an entry daemon is live that does not leave. While this
// one stops, it leaves.
func (r *Requests) hasOtherDaemon(now time.Time) bool { return r.liveEntries(now) > 0 }

// release releases the permit at the time of the call. A deferred
// permit.Release(time.Now()) would use the time of the defer statement.
func release(permit *admitter.Permit) { permit.Release(time.Now()) }

// recordRefused records a request that the accepter refused.
func (r *Requests) recordRefused(id string, err *identifier.RequestError) {
	r.recorder.Record(recorder.Entry{ID: id, Result: forwarder.FailedResult(err)})
}

// ExchangeUsage implements monitor.Monitor.Usage with the admitter.
func (r *Requests) ExchangeUsage(others []*messenger.TeamUsage, known bool, now time.Time) []*messenger.TeamUsage {
	return r.admitter.UpdateShares(others, known, now)
}

// liveEntries returns the number of entry daemons among which the limits of
// a team are divided: the live ones that are not leaving.
func (r *Requests) liveEntries(now time.Time) int {
	live := 0
	for _, e := range r.Entries(now) {
		if !e.GetLeaving() {
			live++
		}
	}
	return live
}
