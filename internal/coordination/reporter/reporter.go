// Package reporter writes the status of all daemons of a region to the object API, at
// most once per second. Each write contains the latest status of each daemon, so a
// slow object API makes writes less frequent but does not queue old statuses.
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
	// Prefix is the key prefix of status objects.
	Prefix = "status/"
	// ShardPrefix followed by the region is the name of the lease of its status.
	ShardPrefix = "status-"
	// DefaultInterval is the default minimum time between two writes of a region.
	DefaultInterval = time.Second
)

const (
	// maxPartBytes keeps each object below the size limit of the object API.
	maxPartBytes = 900_000
	// targetPartBytes is the mean size of parts. Daemons are assigned to parts by
	// hash, so a part can be larger than the mean.
	targetPartBytes = 600_000
	// daemonExpiry is how long a silent daemon stays in the status.
	daemonExpiry = time.Minute
	// maxSendInterval is the maximum time between two statuses of this daemon.
	// maxRewriteInterval is the maximum time between two writes of an unchanged part.
	maxSendInterval    = 10 * time.Second
	maxRewriteInterval = 10 * time.Second
	callTimeout        = 3 * time.Second
	maxRetryDelay      = 10 * time.Second
	maxDaemons         = 20_000
)

// Reporter collects statuses and writes those of the regions whose status lease this
// daemon holds. Its exported fields are set before Run.
type Reporter struct {
	API     adapter.ObjectAPI
	Regions []string
	// Held returns the lease of a shard if this daemon holds it.
	Held func(shard string, now time.Time) (leaser.Lease, bool)
	// Self returns the status of this daemon, and Send sends it to the holder of
	// the lease. Both are optional.
	Self func(now time.Time) *messenger.DaemonStatus
	Send func(status *messenger.DaemonStatus)
	// SelfChanged returns a channel that is closed when the result of Self changes. It
	// is optional.
	SelfChanged func() <-chan struct{}
	Log         *logger.Logger
	Interval    time.Duration
	// Jitter returns a number in [0, 1). It defaults to rand.Float64.
	Jitter func() float64

	once    sync.Once
	queue   coalescer.Queue[string, *messenger.DaemonStatus]
	regions map[string]*region
}

// Put queues the status of a daemon for the next write. It replaces a queued status of
// the same daemon.
func (r *Reporter) Put(status *messenger.DaemonStatus) {
	r.init()
	r.queue.Put(status.GetVm(), status)
}

// Run sends and writes statuses until ctx is canceled.
func (r *Reporter) Run(ctx context.Context) error {
	r.init()
	var workers sync.WaitGroup
	workers.Add(1)
	go sender{r}.run(ctx, &workers)
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval = r.Interval
	retryBackoff.MaxInterval = maxRetryDelay
	for ctx.Err() == nil {
		wait := r.Interval
		if err := r.writeAll(ctx, time.Now()); err != nil {
			r.Log.Warn("status not written", zap.Error(err))
			// The jitter of the backoff adds up to a half.
			wait = max(wait, min(retryBackoff.NextBackOff(), maxRetryDelay))
		} else {
			retryBackoff.Reset()
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
		r.regions[name] = &region{name: name, daemons: map[string]*daemonEntry{}}
	}
}

// sender sends the status of this daemon when it changes, and otherwise within about
// maxSendInterval.
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
		r.pause(ctx, time.Duration((0.5+r.Jitter()/2)*float64(maxSendInterval)), changed)
	}
}

// pause waits for a time, a change, or the end of the context.
func (r *Reporter) pause(ctx context.Context, d time.Duration, changed <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-changed:
	}
}

// writeAll applies the queued statuses and makes at most one write per region.
func (r *Reporter) writeAll(ctx context.Context, now time.Time) error {
	for _, status := range r.queue.Take(nil, maxDaemons) {
		if region := r.regions[status.GetRegion()]; region != nil {
			region.update(status, now)
		}
	}
	for _, region := range r.regions {
		if err := r.write(ctx, region, now); err != nil {
			return err
		}
	}
	return nil
}

// write writes the next due part of a region if this daemon holds its lease.
func (r *Reporter) write(ctx context.Context, region *region, now time.Time) error {
	lease, held := r.Held(ShardPrefix+region.name, now)
	if !held {
		// Another holder may write the objects, so they are read again before the
		// next write.
		region.epoch = 0
		region.removeExpired(now)
		return nil
	}
	if region.epoch != lease.Epoch {
		if err := r.readBack(ctx, region, now); err != nil {
			return err
		}
		region.epoch = lease.Epoch
	}
	part := region.nextDue(now)
	if part == nil {
		return nil
	}
	// The lease may have expired during readBack.
	if current, held := r.Held(ShardPrefix+region.name, time.Now()); !held || current.Epoch != lease.Epoch {
		return nil
	}
	return r.writePart(ctx, region, part, now)
}

func (r *Reporter) writePart(ctx context.Context, region *region, part *part, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := region.key(part.number)
	if part.removed {
		// Epoch 0 makes the next round read the objects again, which resolves a
		// conflict or a lost answer.
		if err := r.API.Delete(ctx, key, part.version); err != nil {
			region.epoch = 0
			return err
		}
		region.parts = region.parts[:part.number]
		return nil
	}
	value, err := json.Marshal(document{
		Region: region.name, TimeUnixMS: now.UnixMilli(),
		Part: part.number, Parts: region.partCount, Daemons: part.content,
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
	part.version, part.writtenAt, part.writtenDigest = object.Version, now, part.nextDigest
	return nil
}

// readBack reads the objects of a region: their versions for conditional writes, and
// the daemons that the previous holder wrote.
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
			r.Log.Warn("status object not decoded", zap.String("key", object.Key), zap.Error(err))
		}
		region.restore(doc, now)
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
