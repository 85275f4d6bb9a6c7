package executor

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Content-Length", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func (a *attempt) serveService(ctx context.Context) error {
	// A disconnected caller must not stop a call whose outcome is recorded, so
	// the error of this send is ignored; the last send returns it.
	_ = a.sendAccepted()
	answer, err := a.runService(ctx)
	if err != nil {
		return a.sendFailure(err)
	}
	a.finish(phaseFinished, answer)
	a.executor.Metrics.Finished.Add(1)
	sent := &messenger.ServiceAnswer{Status: answer.GetStatus(), Headers: answer.GetHeaders(), Body: answer.GetBody()}
	sent.Load = a.executor.Load(time.Now())
	return a.send(&messenger.AttemptEvent{Event: &messenger.AttemptEvent_Answer{Answer: sent}})
}

func (a *attempt) runService(ctx context.Context) (*messenger.ServiceAnswer, error) {
	e := a.executor
	call := a.start.GetService()
	a.markDispatched(time.Now())
	answer, err := e.Service.Call(ctx, adapter.ServiceCall{
		Method: call.GetMethod(), Path: call.GetPath(), Header: toHTTPHeader(call.GetHeaders()), Body: call.GetBody(),
	})
	if err != nil {
		return nil, a.serviceFailure(ctx, err)
	}
	_ = e.holdOff(answer.Status, answer.Header["Retry-After"], time.Now())
	e.mu.Lock()
	e.rate.add(1, time.Now())
	e.mu.Unlock()
	return &messenger.ServiceAnswer{Status: uint32(answer.Status), Headers: fromHTTPHeader(answer.Header), Body: answer.Body}, nil
}

// serviceFailure converts an error of the service to a brokenError or a
// notStartedError.
func (a *attempt) serviceFailure(ctx context.Context, err error) error {
	var serviceErr *adapter.ServiceError
	if errors.As(err, &serviceErr) && !serviceErr.Started {
		return &notStartedError{refusal: refusal{
			reason: messenger.RefuseReason_REFUSE_REASON_NOT_READY, detail: err.Error(), retryAfter: notReadyRetryAfter,
		}}
	}
	if ctx.Err() != nil {
		return &brokenError{detail: cancellationDetail(ctx)}
	}
	broken := &brokenError{detail: err.Error()}
	broken.crash = a.confirmCrash()
	return broken
}

func toHTTPHeader(headers []*messenger.Header) http.Header {
	h := http.Header{}
	for _, header := range headers {
		name := http.CanonicalHeaderKey(header.GetName())
		if !slices.Contains(hopByHopHeaders, name) {
			h[name] = append(h[name], header.GetValues()...)
		}
	}
	return h
}

func fromHTTPHeader(h http.Header) []*messenger.Header {
	headers := make([]*messenger.Header, 0, len(h))
	for name, values := range h {
		if !slices.Contains(hopByHopHeaders, name) {
			headers = append(headers, &messenger.Header{Name: name, Values: values})
		}
	}
	slices.SortFunc(headers, compareNames)
	return headers
}

func compareNames(a, b *messenger.Header) int {
	if a.GetName() < b.GetName() {
		return -1
	}
	return 1
}
