package router

import (
	"time"

	"github.com/lentilbridge/lentilbridge/internal/coordination/controller"
	"github.com/lentilbridge/lentilbridge/internal/coordination/reporter"
	"github.com/lentilbridge/lentilbridge/internal/request/isolator"
	"github.com/lentilbridge/lentilbridge/pkg/claimer"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// cleanUpShard is the shard whose lease holder deletes unreferenced
// configuration parts.
const cleanUpShard = "clean-up"

// leaseShards returns the shards whose leases an entry daemon of a region tries
// to acquire.
func leaseShards(region string) []string {
	shards := []string{cleanUpShard, reporter.ShardPrefix + region}
	for n := range claimer.ShardCount {
		shards = append(shards, claimer.ShardName(n))
	}
	for n := range controller.ShardCount {
		shards = append(shards, controller.ShardName(n))
	}
	for n := range isolator.ShardCount {
		shards = append(shards, isolator.ShardName(n))
	}
	return shards
}

// ownerClient returns a client of the entry daemon that holds the lease of a
// shard, or nil when this daemon holds it or no live holder is known.
func (d *daemon) ownerClient(shard string) messenger.EntryClient {
	now := time.Now()
	if d.holdsLease(shard, now) {
		return nil
	}
	holder, _ := d.leases.Holder(shard)
	if holder == "" || holder == d.cfg.VM {
		return nil
	}
	for _, e := range d.membership.Entries(now) {
		if e.GetVm() != holder {
			continue
		}
		client, err := d.connections.Entry(e.GetRpcAddress())
		if err != nil {
			return nil
		}
		return client
	}
	return nil
}

// holdsLease reports whether this daemon holds the lease of a shard.
func (d *daemon) holdsLease(shard string, now time.Time) bool {
	_, held := d.leases.Held(shard, now)
	return held
}
