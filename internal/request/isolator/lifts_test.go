package isolator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/operator/commander"
	"github.com/lentilbridge/lentilbridge/internal/request/isolator"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// lift deletes a block with the command lentil.
func (n *network) lift(c *qt.C, fingerprint string) {
	var errOut strings.Builder
	p := &commander.Program{Stdout: io.Discard, Stderr: &errOut, Author: "mali", Objects: n.api}
	c.Assert(p.Run(context.Background(), []string{"delete", "block", fingerprint}), qt.Equals, commander.ExitDone, qt.Commentf("%s", &errOut))
}

func (n *network) block(c *qt.C, fingerprint string) {
	for k := range 2 {
		n.sendRequest(c, k, fingerprint, fmt.Sprint("vm-", k), true)
	}
}

func (n *network) listed(c *qt.C, fingerprint string) bool {
	o, err := n.api.Get(context.Background(), fmt.Sprintf("blocks/%d", isolator.ShardOf(fingerprint)))
	if err != nil {
		return false
	}
	var list parser.BlockList
	c.Assert(json.Unmarshal(o.Value, &list), qt.IsNil)
	for _, b := range list.Blocks {
		if b.Fingerprint == fingerprint {
			return true
		}
	}
	return false
}

// wait waits until the daemons have done what is due in the duration.
func wait(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// Guards against blocks that a restore of the store lifts while nobody holds the lease,
// and against blocks that return although an operator has lifted them at that time.
func TestRestoreWithoutOwner(t *testing.T) {
	const bad = "mill/bad"
	block := func(c *qt.C, n *network) { n.block(c, bad) }
	lift := func(c *qt.C, n *network) { n.lift(c, bad) }
	liftByHand := func(c *qt.C, n *network) {
		key := fmt.Sprintf("blocks/%d", isolator.ShardOf(bad))
		o, err := n.api.Get(context.Background(), key)
		c.Assert(err, qt.IsNil)
		_, err = n.api.Update(context.Background(), key, []byte(`{"blocks":[]}`), o.Version)
		c.Assert(err, qt.IsNil)
	}
	nothing := func(*qt.C, *network) {}
	tests := []struct {
		name string
		// Nobody holds the lease from the restore to the takeover by newOwner, or from
		// before beforeCopy if noOwner is set.
		owned, beforeCopy, beforeRestore, afterRestore func(*qt.C, *network)
		noOwner                                        bool
		restores, newOwner                             int
		want                                           bool
	}{
		{"block after the copy", nothing, nothing, block, nothing, false, 1, 0, true},
		{"block after the copy, other owner", nothing, nothing, block, nothing, false, 1, 1, true},
		{"block after the copy, owner that starts later", nothing, nothing, block, nothing, false, 1, 2, true},
		{"block after the copy without an owner", nothing, nothing, block, nothing, true, 1, 2, true},
		{"block after the copy, two restores", nothing, nothing, block, nothing, false, 2, 2, true},
		{"block in the copy", block, nothing, nothing, nothing, false, 1, 2, true},
		{"lifted before the copy", block, lift, nothing, nothing, true, 1, 1, false},
		{"lifted after the restore", block, nothing, nothing, lift, true, 1, 1, false},
		{"lifted before the copy, owner that starts later", block, lift, nothing, nothing, true, 1, 2, false},
		{"lifted before the copy and blocked again after it", block, lift, block, nothing, false, 1, 1, true},
		{"lifted without a restore", block, lift, nothing, nothing, true, 0, 1, false},
		{"lifted by hand without a restore", block, liftByHand, nothing, nothing, true, 0, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				net := newNetwork(3)
				// The last daemon gets the suspicions of the others when it starts.
				later := net.isolators[2]
				net.isolators = net.isolators[:2]
				var mu sync.Mutex
				newest := map[string]*messenger.Suspicion{}
				for _, node := range net.isolators {
					node.Spread = func(suspicions []*messenger.Suspicion) {
						mu.Lock()
						defer mu.Unlock()
						for _, s := range suspicions {
							newest[s.GetFingerprint()] = s
						}
						net.spread(suspicions)
					}
					go node.Run(ctx)
				}
				synctest.Wait()
				tt.owned(c, net)
				wait(25 * time.Second)
				if tt.noOwner {
					net.owner.Store(-1)
					wait(25 * time.Second)
				}
				tt.beforeCopy(c, net)
				wait(25 * time.Second)
				earlier := net.api.Copy()
				tt.beforeRestore(c, net)
				wait(time.Second)
				net.owner.Store(-1)
				for range tt.restores {
					net.api.Restore(earlier)
				}
				wait(20 * time.Second)
				tt.afterRestore(c, net)
				wait(2 * time.Second)
				net.mu.Lock()
				net.isolators = append(net.isolators, later)
				net.mu.Unlock()
				go later.Run(ctx)
				for _, s := range newest {
					later.Observe([]*messenger.Suspicion{s})
				}
				net.owner.Store(int64(tt.newOwner))
				wait(25 * time.Second)
				c.Assert(net.listed(c, bad), qt.Equals, tt.want)
				if !tt.want && tt.restores == 0 && tt.newOwner == 0 {
					return // Only the command tells daemons of a lift that no owner has seen.
				}
				for k, node := range net.isolators {
					_, blocked, _ := node.Blocked(bad, time.Now())
					c.Assert(blocked, qt.Equals, tt.want, qt.Commentf("daemon %d", k))
				}
				if tt.want {
					net.lift(c, bad)
					wait(25 * time.Second)
					for k, node := range net.isolators {
						_, blocked, _ := node.Blocked(bad, time.Now())
						c.Assert(blocked, qt.IsFalse, qt.Commentf("daemon %d", k))
					}
				}
			})
		})
	}
}
