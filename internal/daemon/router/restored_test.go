package router

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc"

	"github.com/lentilbridge/lentilbridge/internal/operator/publisher"
	"github.com/lentilbridge/lentilbridge/internal/shared/waiter"
	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/broadcaster"
	"github.com/lentilbridge/lentilbridge/pkg/emulator"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// revisionClient calls Entry.Revision of a daemon in the same process.
type revisionClient struct {
	messenger.EntryClient
	peer *broadcaster.Broadcaster
}

func (r *revisionClient) Revision(ctx context.Context, req *messenger.RevisionRequest, _ ...grpc.CallOption) (*messenger.RevisionReply, error) {
	return r.peer.Revision(ctx, req)
}

// configurations are the configuration components of entry daemons with one
// store. The first one is the only relay.
type configurations struct {
	objects *emulator.MemoryObjects
	names   []string

	mu      sync.Mutex
	daemons map[string]*broadcaster.Broadcaster
	stops   map[string]context.CancelFunc
}

func startConfigurations(ctx context.Context, objects *emulator.MemoryObjects, names ...string) *configurations {
	all := &configurations{objects: objects, names: names, daemons: map[string]*broadcaster.Broadcaster{}, stops: map[string]context.CancelFunc{}}
	for _, name := range names {
		all.start(ctx, name)
	}
	go waiter.Every(ctx, time.Second, all.heartbeat)
	return all
}

// start starts a daemon, which replaces an earlier one of the same name.
func (a *configurations) start(ctx context.Context, name string) {
	d := &daemon{api: a.objects, publisher: &publisher.Publisher{Objects: a.objects, Author: name}}
	b := &broadcaster.Broadcaster{
		API: a.objects, Load: d.loadRevision, CarryOver: d.carryOver, IsFromCopy: d.isFromCopy, Encode: parser.EncodeRevision, Decode: parser.DecodeRevision,
		IsRelay: func(time.Time) bool { return name == a.names[0] },
		Peers:   func(time.Time) []string { return a.names },
		Client:  a.client,
	}
	ctx, stop := context.WithCancel(ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stops[name] != nil {
		a.stops[name]()
	}
	a.daemons[name], a.stops[name] = b, stop
	go b.Run(ctx)
}

func (a *configurations) daemon(name string) *broadcaster.Broadcaster {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.daemons[name]
}

func (a *configurations) client(name string) (messenger.EntryClient, error) {
	return &revisionClient{peer: a.daemon(name)}, nil
}

func (a *configurations) heartbeat(time.Time) {
	for _, from := range a.names {
		for _, to := range a.names {
			a.daemon(to).ObserveRevision(a.daemon(from).RevisionNumber(), from)
		}
	}
}

func publishTeam(ctx context.Context, objects *emulator.MemoryObjects, name string, weight int) (publisher.Result, error) {
	p := &publisher.Publisher{Objects: objects, Author: "mali"}
	base, _, err := p.Load(ctx)
	if err != nil {
		return publisher.Result{}, err
	}
	team := &parser.Team{Kind: parser.KindTeam, Name: name, Weight: weight}
	return p.Publish(ctx, time.Now(), publisher.Request{Edits: []publisher.Edit{{Ref: team.Ref(), After: team}}, BaseRevision: base.Number})
}

// Guards against an acknowledged change that a restore of the store reverts or
// that never comes into force because daemons have its number with other content.
func TestAcknowledgedChangesSurviveRestoredStore(t *testing.T) {
	const settled = 5 * time.Second
	tests := []struct {
		name string
		// copyAfter is the number of changes in the copy, of 3.
		copyAfter int
		outage    time.Duration
		restores  int
		// late is how long after the restore the operator publishes again.
		late time.Duration
		// restart replaces the relay after the restore.
		restart bool
	}{
		{"copy without the last change, operator at once", 2, 2 * time.Second, 1, 0, false},
		{"copy without two changes, operator later", 1, 2 * time.Second, 1, time.Minute, false},
		{"copy before the first change", 0, 2 * time.Second, 1, time.Minute, false},
		{"complete copy", 3, 2 * time.Second, 1, 0, false},
		{"restore without an outage", 2, 0, 1, 0, false},
		{"long outage", 2, time.Hour, 1, time.Minute, false},
		{"two restores", 1, 2 * time.Second, 2, 0, false},
		{"relay that starts after the restore", 1, 2 * time.Second, 1, 0, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				objects := &emulator.MemoryObjects{}
				all := startConfigurations(ctx, objects, "entry-1", "entry-2", "entry-3")
				teams := []string{"a", "b", "c"}
				earlier := objects.Copy()
				for i, name := range teams {
					_, err := publishTeam(ctx, objects, name, 1)
					c.Assert(err, qt.IsNil)
					if i+1 == test.copyAfter {
						earlier = objects.Copy()
					}
					time.Sleep(settled)
				}
				for range test.restores {
					objects.SetDown(true)
					time.Sleep(test.outage)
					objects.Restore(earlier)
					objects.SetDown(false)
				}
				if test.restart {
					all.start(ctx, "entry-1")
				}
				time.Sleep(test.late)
				result, err := publishTeam(ctx, objects, "d", 1)
				var conflict *publisher.ConflictError
				if errors.As(err, &conflict) {
					// The first edit was based on the content of the copy.
					result, err = publishTeam(ctx, objects, "d", 1)
				}
				c.Assert(err, qt.IsNil)
				time.Sleep(settled)
				for _, name := range all.names {
					b := all.daemon(name)
					c.Assert(b.RevisionNumber(), qt.Equals, result.Revision, qt.Commentf("%s", name))
					c.Assert(b.Current().Set.Teams, qt.HasLen, 4, qt.Commentf("%s", name))
				}
				head, _, err := (&publisher.Publisher{Objects: objects}).ReadHead(ctx)
				c.Assert(err, qt.IsNil)
				c.Assert(head.Revision, qt.Equals, result.Revision)
			})
		})
	}
}

// Guards against a daemon that starts on a restored store and takes the configuration
// of the copy, although its peers have a newer one.
func TestStartingDaemonTakesNoRestoredRevision(t *testing.T) {
	tests := []struct {
		name string
		// copyAfter is the number of changes in the copy, of 2.
		copyAfter int
		// started is the daemon that starts after the restore; "entry-1" is the relay.
		started string
		late    time.Duration
	}{
		{"copy without the last change", 1, "entry-2", 0},
		{"copy without a configuration", 0, "entry-2", 0},
		{"relay", 1, "entry-1", 0},
		{"relay, copy without a configuration", 0, "entry-1", 0},
		{"start after the configuration was published again", 1, "entry-2", 10 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				objects := &emulator.MemoryObjects{}
				all := startConfigurations(ctx, objects, "entry-1", "entry-2", "entry-3")
				earlier := objects.Copy()
				var last publisher.Result
				for i, name := range []string{"a", "b"} {
					var err error
					last, err = publishTeam(ctx, objects, name, 1)
					c.Assert(err, qt.IsNil)
					if i+1 == tt.copyAfter {
						earlier = objects.Copy()
					}
					time.Sleep(5 * time.Second)
				}
				objects.Restore(earlier)
				time.Sleep(tt.late + 300*time.Millisecond)
				all.start(ctx, tt.started)
				b := all.daemon(tt.started)
				for range 1500 {
					time.Sleep(10 * time.Millisecond)
					if current := b.Current(); current != nil {
						c.Assert(current.Number >= last.Revision, qt.IsTrue, qt.Commentf("revision %d", current.Number))
						c.Assert(current.Set.Teams, qt.HasLen, 2)
					}
				}
				c.Assert(b.Current(), qt.IsNotNil)
			})
		})
	}
}

// Guards against daemons that wait without end for a configuration that nobody has.
func TestReplacedDaemonsTakeRestoredRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		objects := &emulator.MemoryObjects{}
		_, err := publishTeam(ctx, objects, "a", 1)
		c.Assert(err, qt.IsNil)
		objects.Restore(objects.Copy())
		all := startConfigurations(ctx, objects, "entry-1", "entry-2")
		time.Sleep(5 * time.Second)
		for _, name := range all.names {
			c.Assert(all.daemon(name).Current(), qt.IsNotNil)
			c.Assert(all.daemon(name).Current().Set.Teams, qt.HasLen, 1)
		}
		objects.SetDown(true)
		all.start(ctx, "entry-2")
		time.Sleep(5 * time.Second)
		c.Assert(all.daemon("entry-2").Current(), qt.IsNotNil)
	})
}

// delayedUpdate is a store whose next update of the head takes effect after a delay, in
// which the head gets the expected version again.
type delayedUpdate struct {
	*emulator.MemoryObjects
	delay func()
}

func (d *delayedUpdate) Update(ctx context.Context, key string, value []byte, version uint64) (adapter.Object, error) {
	if delay := d.delay; key == publisher.HeadKey && delay != nil {
		d.delay = nil
		delay()
		head, err := d.Get(ctx, key)
		if err != nil {
			return adapter.Object{}, err
		}
		version = head.Version
	}
	return d.MemoryObjects.Update(ctx, key, value, version)
}

// Guards against an update of the head from before a restore that replaces a later
// publish, and after which no publish takes effect.
func TestDelayedUpdateOfHeadRevertsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		objects := &emulator.MemoryObjects{}
		all := startConfigurations(ctx, objects, "entry-1", "entry-2", "entry-3")
		_, err := publishTeam(ctx, objects, "a", 1)
		c.Assert(err, qt.IsNil)
		earlier := objects.Copy()
		_, err = publishTeam(ctx, objects, "b", 1)
		c.Assert(err, qt.IsNil)
		time.Sleep(5 * time.Second)

		store := &delayedUpdate{MemoryObjects: objects, delay: func() {
			objects.Restore(earlier)
			time.Sleep(10 * time.Second)
			_, err := publishTeam(ctx, objects, "c", 1)
			c.Assert(err, qt.IsNil)
			time.Sleep(5 * time.Second)
		}}
		delayed := &publisher.Publisher{Objects: store, Author: "anan"}
		team := &parser.Team{Kind: parser.KindTeam, Name: "late", Weight: 1}
		edit := publisher.Request{Edits: []publisher.Edit{{Ref: team.Ref(), After: team}}, BaseRevision: 2}
		_, err = delayed.Publish(ctx, time.Now(), edit)
		var conflict *publisher.ConflictError
		if errors.As(err, &conflict) {
			base, _, loadErr := delayed.Load(ctx)
			c.Assert(loadErr, qt.IsNil)
			edit.BaseRevision = base.Number
			_, err = delayed.Publish(ctx, time.Now(), edit)
		}
		c.Assert(err, qt.IsNil)
		result, err := publishTeam(ctx, objects, "d", 1)
		c.Assert(err, qt.IsNil)
		time.Sleep(5 * time.Second)
		for _, name := range all.names {
			c.Assert(all.daemon(name).RevisionNumber(), qt.Equals, result.Revision, qt.Commentf("%s", name))
			c.Assert(all.daemon(name).Current().Set.Teams, qt.HasLen, 5, qt.Commentf("%s", name))
		}
	})
}
