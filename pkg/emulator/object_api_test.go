package emulator

import (
	"bytes"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
)

// Guards against an HTTP response that the client maps to the wrong error, which
// would turn a conflict into an overwrite or a lost answer into a failed write.
func TestObjectAPIOverHTTP(t *testing.T) {
	c := qt.New(t)
	ctx := t.Context()
	api := &ObjectAPI{MemoryObjects: MemoryObjects{HistoryLength: 4, WatchWait: time.Millisecond}}
	server := httptest.NewServer(api)
	defer server.Close()
	client := &adapter.HTTPObjectAPI{BaseURL: server.URL}

	large := bytes.Repeat([]byte{0xff}, adapter.MaxObjectBytes)
	o, err := client.Create(ctx, "config/parts/a b", large)
	c.Assert(err, qt.IsNil)
	got, err := client.Get(ctx, "config/parts/a b")
	c.Assert(err, qt.IsNil)
	c.Assert(bytes.Equal(got.Value, o.Value), qt.IsTrue)
	c.Assert(got.Version, qt.Equals, o.Version)
	var tooLarge *adapter.TooLargeError
	_, err = client.Create(ctx, "x", append(large, 0))
	c.Assert(errors.As(err, &tooLarge), qt.IsTrue)
	var conflict *adapter.ConflictError
	_, err = client.Create(ctx, o.Key, nil)
	c.Assert(errors.As(err, &conflict), qt.IsTrue)
	c.Assert(conflict.Found, qt.Equals, o.Version)
	_, err = client.Update(ctx, o.Key, nil, o.Version+1)
	c.Assert(errors.As(err, &conflict), qt.IsTrue)
	var notFound *adapter.NotFoundError
	c.Assert(errors.As(client.Delete(ctx, "none", 1), &notFound), qt.IsTrue)

	var unavailable *adapter.UnavailableError
	api.LoseAnswers(1)
	_, err = client.Update(ctx, o.Key, []byte("2"), o.Version)
	c.Assert(errors.As(err, &unavailable), qt.IsTrue)
	c.Assert(unavailable.Refused, qt.IsFalse)
	got, err = client.Get(ctx, o.Key)
	c.Assert(err, qt.IsNil)
	c.Assert(string(got.Value), qt.Equals, "2")

	changes, next, err := client.Watch(ctx, "config/", o.Version)
	c.Assert(err, qt.IsNil)
	c.Assert(changes, qt.DeepEquals, []adapter.Change{{Object: got}})
	c.Assert(client.Delete(ctx, o.Key, got.Version), qt.IsNil)
	changes, next, err = client.Watch(ctx, "config/", next)
	c.Assert(err, qt.IsNil)
	c.Assert(changes[0].Deleted, qt.IsTrue)
	changes, _, err = client.Watch(ctx, "config/", next)
	c.Assert(err, qt.IsNil)
	c.Assert(changes, qt.HasLen, 0)
	for _, key := range []string{"c", "b", "d", "e", "f"} {
		_, err = client.Create(ctx, key, []byte(key))
		c.Assert(err, qt.IsNil)
	}
	var gap *adapter.GapError
	_, next, err = client.Watch(ctx, "", 1)
	c.Assert(errors.As(err, &gap), qt.IsTrue)
	c.Assert(next, qt.Equals, api.Stats().Version)
	listed, err := client.List(ctx, "")
	c.Assert(err, qt.IsNil)
	c.Assert(listed, qt.HasLen, 5)
	c.Assert(listed[0].Key, qt.Equals, "b")

	answer, err := http.Post(server.URL+"/faults", "application/json", strings.NewReader(`{"down":true}`))
	c.Assert(err, qt.IsNil)
	answer.Body.Close()
	_, err = client.Get(ctx, "b")
	c.Assert(errors.As(err, &unavailable), qt.IsTrue)
	server.Close()
	_, err = client.Create(ctx, "g", nil)
	c.Assert(errors.As(err, &unavailable), qt.IsTrue)
	c.Assert(unavailable.Refused, qt.IsTrue)
}

// Guards against a list without lag, which would hide daemons that rely on it
// being current.
func TestVMListLag(t *testing.T) {
	c := qt.New(t)
	list := &VMList{}
	server := httptest.NewServer(list)
	defer server.Close()
	start := time.Now()
	vms := []adapter.ListedVM{{VM: "central-a-1", Leaving: true}}
	list.Set(start, vms)
	got, err := (&adapter.HTTPVMList{BaseURL: server.URL}).List(t.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.DeepEquals, vms)
	list.SetLag(time.Minute)
	list.Set(start.Add(time.Hour), nil)
	c.Assert(list.At(start.Add(time.Hour)), qt.HasLen, 1)
	c.Assert(list.At(start.Add(time.Hour+time.Minute)), qt.HasLen, 0)
}
