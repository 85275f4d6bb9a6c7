package relayer

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/request/forwarder"
	"github.com/lentilbridge/lentilbridge/internal/request/identifier"
)

// slowWriter blocks all writes until release is closed.
type slowWriter struct {
	*httptest.ResponseRecorder
	release chan struct{}
	err     error
}

func (w *slowWriter) Write(p []byte) (int, error) {
	<-w.release
	if w.err != nil {
		return 0, w.err
	}
	return w.ResponseRecorder.Write(p)
}

// TestSlowCaller guards against a caller that does not read its stream and thereby keeps
// an attempt in progress or uses memory without a limit.
func TestSlowCaller(t *testing.T) {
	tests := []struct {
		name string
		err  error
		want error
	}{
		{name: "slow", want: &forwarder.SlowCallerError{Waited: time.Second}},
		{name: "disconnected", err: http.ErrHandlerTimeout, want: http.ErrHandlerTimeout},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &slowWriter{ResponseRecorder: httptest.NewRecorder(), release: make(chan struct{}), err: tt.err}
				r := &Relayer{Buffer: 4, SlowTimeout: time.Second}
				s := r.Open(w, "id", &identifier.Completion{Stream: true}, time.Now())
				if tt.err != nil {
					close(w.release)
				}
				var err error
				sent := 0
				for ; err == nil && sent < 100; sent++ {
					err = s.Tokens(context.Background(), []string{"x"})
					synctest.Wait()
				}
				var slow *forwarder.SlowCallerError
				qt.Assert(t, errors.As(err, &slow) == (tt.err == nil), qt.IsTrue, qt.Commentf("%v", err))
				qt.Assert(t, err.Error(), qt.Equals, tt.want.Error())
				qt.Assert(t, sent <= 6, qt.IsTrue, qt.Commentf("%d events were buffered", sent))
				if tt.err == nil {
					close(w.release)
				}
				s.Finish(forwarder.FailedResult(&identifier.RequestError{Outcome: identifier.OutcomeUnknown}))
			})
		})
	}
}
