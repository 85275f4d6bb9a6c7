package isolator

import (
	"slices"
	"strings"
	"time"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// lifts holds the ends of lifted blocks in ms since 1970 by fingerprint. A block
// that ends later is a new one.
type lifts map[string]int64

func (l lifts) add(lifted []parser.Lift, now time.Time) {
	for fingerprint, until := range l {
		if until < now.UnixMilli() {
			delete(l, fingerprint)
		}
	}
	for _, lift := range lifted {
		l[lift.Fingerprint] = max(l[lift.Fingerprint], lift.UntilMillis)
	}
}

func (l lifts) covers(fingerprint string, until time.Time) bool {
	end, ok := l[fingerprint]
	return ok && until.UnixMilli() <= end
}

// ofShard returns the lifts of a shard, to store with its blocks.
func (l lifts) ofShard(n int, now time.Time) []parser.Lift {
	var lifted []parser.Lift
	for fingerprint, until := range l {
		if ShardOf(fingerprint) == n && until >= now.UnixMilli() {
			lifted = append(lifted, parser.Lift{Fingerprint: fingerprint, UntilMillis: until})
		}
	}
	slices.SortFunc(lifted, func(a, b parser.Lift) int { return strings.Compare(a.Fingerprint, b.Fingerprint) })
	return lifted
}

// adoptBlocks completes the blocks of a shard, whose list was read, by those that the
// daemons know from an earlier era of the store. It returns the suspicions that tell
// the other daemons of these and of blocks and lifts that they may have missed.
func (i *Isolator) adoptBlocks(n int, era uint64, now time.Time) []*messenger.Suspicion {
	s := &i.shards[n]
	var changed []*messenger.Suspicion
	for fingerprint, f := range i.suspicions {
		if ShardOf(fingerprint) != n || !f.blocked || !now.Before(f.until) {
			continue
		}
		known := s.suspects[fingerprint]
		switch {
		case known != nil && known.isBlocked(now):
		case i.lifted.covers(fingerprint, f.until):
			delete(s.suspects, fingerprint)
			changed = append(changed, s.suspicion(fingerprint, f.sequence, era, now))
		case f.era < era:
			s.suspects[fingerprint] = &suspect{
				vms: []string{f.vm}, soleCrashes: 1, updatedAt: now, blockedUntil: f.until, sequence: nextSequence(f.sequence, now),
			}
			changed = append(changed, s.suspicion(fingerprint, f.sequence, era, now))
		}
	}
	for fingerprint, known := range s.suspects {
		f := i.suspicions[fingerprint]
		if !known.isBlocked(now) || f.blocked && f.era >= era {
			continue
		}
		known.sequence = nextSequence(max(known.sequence, f.sequence), now)
		changed = append(changed, s.suspicion(fingerprint, f.sequence, era, now))
	}
	i.applySuspicions(changed, now)
	return changed
}
