package adapter

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against calls that run twice: when a reused connection breaks, net/http
// retries a request that has an Idempotency-Key header.
func TestBrokenCallIsNotRepeated(t *testing.T) {
	c := qt.New(t)
	var calls atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if calls.Add(1) == 2 {
			panic(http.ErrAbortHandler)
		}
	}))
	defer server.Close()
	service := NewHTTPService(strings.TrimPrefix(server.URL, "http://"))
	call := ServiceCall{Method: http.MethodPost, Path: "/records", Header: http.Header{"Idempotency-Key": {"k1"}}, Body: []byte("order")}
	_, err := service.Call(context.Background(), call)
	c.Assert(err, qt.IsNil)
	_, err = service.Call(context.Background(), call)
	var serviceErr *ServiceError
	c.Assert(errors.As(err, &serviceErr), qt.IsTrue)
	c.Assert(serviceErr.Started, qt.IsTrue)
	c.Assert(calls.Load(), qt.Equals, int32(2))
}
