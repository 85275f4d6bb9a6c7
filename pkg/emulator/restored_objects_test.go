package emulator

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
)

// Guards against a restored store that keeps later writes, does not assign their
// versions again, or lets a watch go on from a version that it does not have.
func TestRestoreLosesLaterWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx := t.Context()
		var m MemoryObjects
		kept, err := m.Create(ctx, "kept", []byte("1"))
		c.Assert(err, qt.IsNil)
		earlier := m.Copy()
		lost, err := m.Update(ctx, "kept", []byte("2"), kept.Version)
		c.Assert(err, qt.IsNil)
		_, err = m.Create(ctx, "created", nil)
		c.Assert(err, qt.IsNil)

		time.AfterFunc(time.Second, func() { m.Restore(earlier) })
		_, next, err := m.Watch(ctx, "", m.Stats().Version)
		var gap *adapter.GapError
		c.Assert(errors.As(err, &gap), qt.IsTrue)
		c.Assert(next, qt.Equals, kept.Version)

		got, err := m.Get(ctx, "kept")
		c.Assert(err, qt.IsNil)
		c.Assert(got, qt.DeepEquals, adapter.Object{Key: "kept", Value: []byte("1"), Version: kept.Version, Era: 1})
		var notFound *adapter.NotFoundError
		_, err = m.Get(ctx, "created")
		c.Assert(errors.As(err, &notFound), qt.IsTrue)
		again, err := m.Update(ctx, "kept", []byte("3"), kept.Version)
		c.Assert(err, qt.IsNil)
		c.Assert(again.Version, qt.Equals, lost.Version)
		c.Assert(again.Era, qt.Equals, uint64(1))

		// The copy is not changed by later writes.
		m.Restore(earlier)
		got, err = m.Get(ctx, "kept")
		c.Assert(err, qt.IsNil)
		c.Assert(string(got.Value), qt.Equals, "1")
		c.Assert(got.Era, qt.Equals, uint64(2))
	})
}

// Guards against responses without the era, which would hide a restore from
// daemons.
func TestEraOverHTTP(t *testing.T) {
	c := qt.New(t)
	ctx := t.Context()
	api := &ObjectAPI{MemoryObjects: MemoryObjects{WatchWait: time.Millisecond}}
	server := httptest.NewServer(api)
	defer server.Close()
	client := &adapter.HTTPObjectAPI{BaseURL: server.URL}
	o, err := client.Create(ctx, "a", nil)
	c.Assert(err, qt.IsNil)
	c.Assert(o.Era, qt.Equals, uint64(0))
	for _, path := range []string{"/copy", "/restore"} {
		response, err := http.Post(server.URL+path, "", nil)
		c.Assert(err, qt.IsNil)
		c.Assert(response.Body.Close(), qt.IsNil)
	}
	_, err = client.Get(ctx, "missing")
	c.Assert(err, qt.IsNotNil)
	c.Assert(client.Era(), qt.Equals, uint64(1))
	o, err = client.Update(ctx, "a", nil, o.Version)
	c.Assert(err, qt.IsNil)
	c.Assert(o.Era, qt.Equals, uint64(1))
	listed, err := client.List(ctx, "")
	c.Assert(err, qt.IsNil)
	c.Assert(listed[0].Era, qt.Equals, uint64(1))
	changes, _, err := client.Watch(ctx, "", 0)
	c.Assert(err, qt.IsNil)
	c.Assert(changes[0].Object.Era, qt.Equals, uint64(1))
	for _, r := range []struct {
		method, path string
		status       int
	}{
		{"GET", "/v1/objects/a", http.StatusOK},
		{"GET", "/v1/objects/missing", http.StatusNotFound},
		{"PUT", "/v1/objects/a", http.StatusPreconditionRequired},
		{"GET", "/v1/objects?prefix=none", http.StatusOK},
		{"GET", "/v1/watch?after=99", http.StatusGone},
		{"GET", "/none", http.StatusNotFound},
	} {
		request, err := http.NewRequestWithContext(ctx, r.method, server.URL+r.path, nil)
		c.Assert(err, qt.IsNil)
		response, err := http.DefaultClient.Do(request)
		c.Assert(err, qt.IsNil)
		c.Assert(response.Body.Close(), qt.IsNil)
		c.Assert(response.StatusCode, qt.Equals, r.status)
		c.Assert(response.Header.Get(adapter.EraHeader), qt.Equals, "1", qt.Commentf("%s %s", r.method, r.path))
	}
}

// Guards against an era that cannot be read and is taken for another one, or is
// logged with each response.
func TestUnreadableEraIsLoggedOnce(t *testing.T) {
	for _, header := range []string{"", "-1", "x", "4294967296"} {
		t.Run(header, func(t *testing.T) {
			c := qt.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(adapter.EraHeader, header)
			}))
			defer server.Close()
			core, logs := observer.New(zap.WarnLevel)
			client := &adapter.HTTPObjectAPI{BaseURL: server.URL, Log: zap.New(core)}
			for range 3 {
				o, err := client.Get(t.Context(), "a")
				c.Assert(err, qt.IsNil)
				c.Assert(o.Era, qt.Equals, uint64(0))
			}
			c.Assert(logs.Len(), qt.Equals, 1)
		})
	}
}
