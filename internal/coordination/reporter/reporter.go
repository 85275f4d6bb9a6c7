// Package reporter writes the status of all daemons of a region into one
// object, at most once a second. It keeps the latest status of each daemon: a
// slow object API makes writes rarer, but never makes what they say older.
package reporter

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/coalescer"
	"github.com/lentilbridge/lentilbridge/pkg/leaser"
	"github.com/lentilbridge/lentilbridge/pkg/logger"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

const (
	// Prefix is the prefix of the keys of status objects.
	Prefix = "status/"
	// ShardPrefix and a region name the lease of a region's status.
	ShardPrefix = "status-"
	// DefaultInterval is the least time between two writes of a region.
	DefaultInterval = time.Second
)

const (
	// maxPartBytes keeps an object under the limit of the object API.
	maxPartBytes = 900_000
	// targetPartBytes is the mean size of parts. Daemons are spread over them
	// by hash, so a part can be larger than the mean.
	targetPartBytes = 600_000
	// forgetAfter is how long a daemon that is silent stays in the status.
	forgetAfter = time.Minute
	// sendEvery is the longest time between two statuses of this daemon, and
	// rewriteEvery between two writes of a status that has not changed.
	sendEvery    = 10 * time.Second
	rewriteEvery = 10 * time.Second
	callTimeout  = 3 * time.Second
	maxRetry     = 10 * time.Second
	maxDaemons   = 20_000
)

// Reporter collects statuses and writes those of the regions whose status
// shard this daemon holds. Its exported fields are set before Run.
type Reporter struct {
	API     adapter.ObjectAPI
	Regions []string
	// Held is leaser.Leaser.Held.
	Held func(shard string, now time.Time) (leaser.Lease, bool)
	// Self returns the status of this daemon; Send sends it to the holder of
	// the shard. Both are optional.
	Self func(now time.Time) *messenger.DaemonStatus
	Send func(status *messenger.DaemonStatus)
	// SelfChanged returns a channel that is closed when Self changes.
	SelfChanged func() <-chan struct{}
	Log         *logger.Logger
	Interval    time.Duration
	// Jitter returns a number in [0, 1); rand.Float64 when nil.
	Jitter func() float64

	once    sync.Once
	queue   coalescer.Queue[string, *messenger.DaemonStatus]
	regions map[string]*region
}

// Put takes the status of a daemon. A newer one replaces it until the next
// write.
func (r *Reporter) Put(status *messenger.DaemonStatus) {
	r.init()
	r.queue.Put(status.GetVm(), status)
}

// Run writes until ctx ends.
func (r *Reporter) Run(ctx context.Context) error {
	r.init()
	var workers sync.WaitGroup
	workers.Add(1)
	go sender{r}.run(ctx, &workers)
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = r.Interval
	retry.MaxInterval = maxRetry
	for ctx.Err() == nil {
		wait := r.Interval
		if err := r.round(ctx, time.Now()); err != nil {
			r.Log.Warn("status not written", zap.Error(err))
			wait = max(wait, retry.NextBackOff())
		} else {
			retry.Reset()
		}
		r.pause(ctx, wait, nil)
	}
	workers.Wait()
	return ctx.Err()
}

func (r *Reporter) init() { r.once.Do(r.setDefaults) }

func (r *Reporter) setDefaults() {
	if r.Interval == 0 {
		r.Interval = DefaultInterval
	}
	if r.Log == nil {
		r.Log = zap.NewNop()
	}
	if r.Jitter == nil {
		r.Jitter = rand.Float64
	}
	r.queue.Limit = maxDaemons
	r.regions = map[string]*region{}
	for _, name := range r.Regions {
		r.regions[name] = &region{name: name, daemons: map[string]*known{}}
	}
}

// sender sends this daemon's own status when it changes, and now and then.
type sender struct {
	*Reporter
}

func (r sender) run(ctx context.Context, workers *sync.WaitGroup) {
	defer workers.Done()
	if r.Self == nil || r.Send == nil {
		return
	}
	for ctx.Err() == nil {
		var changed <-chan struct{}
		if r.SelfChanged != nil {
			changed = r.SelfChanged()
		}
		r.Send(r.Self(time.Now()))
		r.pause(ctx, r.Interval, nil)
		r.pause(ctx, time.Duration((0.5+r.Jitter()/2)*float64(sendEvery)), changed)
	}
}

func (r *Reporter) pause(ctx context.Context, d time.Duration, changed <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-changed:
	}
}

// round takes the statuses that have come in and makes at most one write for
// each region.
func (r *Reporter) round(ctx context.Context, now time.Time) error {
	for _, status := range r.queue.Take(nil, maxDaemons) {
		if region := r.regions[status.GetRegion()]; region != nil {
			region.take(status, now)
		}
	}
	for _, region := range r.regions {
		if err := r.write(ctx, region, now); err != nil {
			return err
		}
	}
	return nil
}

func (r *Reporter) write(ctx context.Context, region *region, now time.Time) error {
	lease, held := r.Held(ShardPrefix+region.name, now)
	if !held {
		// What another holder wrote since then must be read before a write.
		region.epoch = 0
		region.forget(now)
		return nil
	}
	if region.epoch != lease.Epoch {
		if err := r.readBack(ctx, region, now); err != nil {
			return err
		}
		region.epoch = lease.Epoch
	}
	part := region.next(now)
	if part == nil {
		return nil
	}
	// Reading back may have taken longer than the lease.
	if again, held := r.Held(ShardPrefix+region.name, time.Now()); !held || again.Epoch != lease.Epoch {
		return nil
	}
	return r.writePart(ctx, region, part, now)
}

func (r *Reporter) writePart(ctx context.Context, region *region, part *part, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := region.key(part.number)
	if part.removed {
		// A conflict or lost answer is resolved by reading the objects again.
		if err := r.API.Delete(ctx, key, part.version); err != nil {
			region.epoch = 0
			return err
		}
		region.parts = region.parts[:part.number]
		return nil
	}
	value, err := json.Marshal(document{
		Region: region.name, TimeUnixMS: now.UnixMilli(),
		Part: part.number, Parts: region.count, Daemons: part.content,
	})
	if err != nil {
		return err
	}
	var object adapter.Object
	if part.version == 0 {
		object, err = r.API.Create(ctx, key, value)
	} else {
		object, err = r.API.Update(ctx, key, value, part.version)
	}
	if err != nil {
		region.epoch = 0
		return err
	}
	part.version, part.written, part.digest = object.Version, now, part.next
	return nil
}

// readBack reads the region's objects: their versions for conditional writes,
// and the daemons that the last holder knew.
func (r *Reporter) readBack(ctx context.Context, region *region, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	objects, err := r.API.List(ctx, Prefix+region.name)
	if err != nil {
		return err
	}
	region.parts = nil
	for number := 0; ; number++ {
		object, found := find(objects, region.key(number))
		if !found {
			return nil
		}
		var doc document
		if err := json.Unmarshal(object.Value, &doc); err != nil {
			r.Log.Warn("unreadable status object", zap.String("key", object.Key), zap.Error(err))
		}
		region.adopt(doc, now)
		region.parts = append(region.parts, &part{number: number, version: object.Version})
	}
}

func find(objects []adapter.Object, key string) (adapter.Object, bool) {
	for _, o := range objects {
		if o.Key == key {
			return o, true
		}
	}
	return adapter.Object{}, false
}

func (g *region) key(number int) string {
	if number == 0 {
		return Prefix + g.name
	}
	return Prefix + g.name + "/" + strconv.Itoa(number)
}
