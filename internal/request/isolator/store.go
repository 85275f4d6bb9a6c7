package isolator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// callTimeout limits a call to the object API. It is short because callers wait while
// the blocks after a crash are stored.
const callTimeout = time.Second

// maxReadAttempts limits the reads of a list while the era changes.
const maxReadAttempts = 3

// blocksKey returns the key of the block list of a shard, which operators can read and
// edit.
func blocksKey(n int) string {
	return fmt.Sprintf("blocks/%d", n)
}

// loadShard reads the stored blocks of a shard unless they have been read already.
// Suspects are not stored; they are imported from the suspicions of the former owner.
func (i *Isolator) loadShard(ctx context.Context, n int) {
	i.mu.Lock()
	loaded := i.shards[n].loaded
	i.mu.Unlock()
	if loaded {
		return
	}
	list, version, era, err := i.readBlocks(ctx, n)
	if err != nil {
		i.Log.Warn("failed to read blocks", zap.Int("shard", n), zap.Error(err))
	}
	i.mu.Lock()
	s := &i.shards[n]
	if s.suspects == nil {
		s.suspects = map[string]*suspect{}
	}
	now := i.Now()
	var changed []*messenger.Suspicion
	if err == nil {
		i.addLifts(list.Lifted, now)
		s.loaded = true
		s.version, s.era = version, era
		changed = i.mergeStored(n, list.Blocks, now)
		i.applySuspicions(changed, now)
		changed = append(changed, i.adoptBlocks(n, era, now)...)
	}
	i.mu.Unlock()
	i.spread(changed)
}

func (i *Isolator) addLifts(lifted []parser.Lift, now time.Time) {
	if i.lifted == nil {
		i.lifted = lifts{}
	}
	i.lifted.add(lifted, now)
}

func blockedSuspect(b parser.Block, now time.Time) *suspect {
	return &suspect{vms: b.VMs, soleCrashes: 1, updatedAt: now, blockedUntil: time.UnixMilli(b.UntilMillis), isStored: true}
}

// importSuspicion adds a suspect according to the suspicion that another daemon has
// sent: the former owner, or one that could not reach this daemon. Blocks are only
// read from the stored block list, which operators edit.
func (i *Isolator) importSuspicion(n int, fingerprint string, now time.Time) {
	s := &i.shards[n]
	f, known := i.suspicions[fingerprint]
	if !known || s.suspects[fingerprint] != nil || f.blocked || now.After(f.until) || len(s.suspects) >= maxSuspects {
		return
	}
	s.suspects[fingerprint] = &suspect{vms: []string{f.vm}, updatedAt: now, sequence: f.sequence}
}

// storeBlocks writes the block list of a shard. It writes nothing if there are neither
// blocks nor a stored list.
func (i *Isolator) storeBlocks(ctx context.Context, n int) {
	i.mu.Lock()
	version := i.shards[n].version
	blocks, lifted := i.shards[n].blocks(i.Now()), i.lifted.ofShard(n, i.Now())
	i.mu.Unlock()
	if version == 0 && len(blocks) == 0 {
		return
	}
	value, err := json.Marshal(parser.BlockList{Blocks: blocks, Lifted: lifted})
	if err != nil {
		return
	}
	stored, err := i.writeBlocks(ctx, n, value, version)
	if err != nil {
		// The other daemons have received the suspicions. The next refresh writes
		// the blocks again.
		i.Log.Warn("blocks not written", zap.Int("shard", n), zap.Error(err))
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.shards[n].version = stored
	for _, b := range blocks {
		if known := i.shards[n].suspects[b.Fingerprint]; known != nil {
			known.isStored = true
		}
	}
}

// refresh applies changes that operators, or daemons that could not reach this one,
// have made to the stored block lists. It writes blocks that could not be written
// before, and resets the shards that this daemon does not own.
func (i *Isolator) refresh(ctx context.Context, now time.Time) {
	for n := range i.shards {
		if !i.Held(ShardName(n), now) {
			i.mu.Lock()
			i.shards[n] = shard{}
			i.mu.Unlock()
			continue
		}
		i.loadShard(ctx, n)
		i.syncBlocks(ctx, n, now)
	}
}

// syncBlocks reads the stored block list of a shard, applies changes made by others,
// and writes the list if blocks are missing in it or have ended.
func (i *Isolator) syncBlocks(ctx context.Context, n int, now time.Time) {
	list, version, era, err := i.readBlocks(ctx, n)
	if err != nil {
		return
	}
	i.mu.Lock()
	s := &i.shards[n]
	isRestored := era != s.era
	if isRestored {
		s.forgetStored(era)
	}
	if version > 0 && version < s.version {
		// This daemon has written the list since it was read above.
		i.mu.Unlock()
		return
	}
	i.addLifts(list.Lifted, now)
	var changed []*messenger.Suspicion
	if version != s.version || isRestored {
		changed = i.mergeStored(n, list.Blocks, now)
		i.applySuspicions(changed, now)
	}
	if isRestored {
		changed = append(changed, i.adoptBlocks(n, era, now)...)
	}
	s.version = version
	missing := s.needsWrite(list.Blocks, now)
	i.mu.Unlock()
	i.spread(changed)
	if missing {
		i.storeBlocks(ctx, n)
	}
}

// forgetStored prepares for the block list of a restored store, which may lack
// blocks that nobody has lifted.
func (s *shard) forgetStored(era uint64) {
	s.era, s.version = era, 0
	for _, known := range s.suspects {
		known.isStored = false
	}
}

// mergeStored applies a changed block list and returns the suspicions that announce
// the lifted blocks. A block is lifted if the list says so, or if it was in the stored
// list and no longer is.
func (i *Isolator) mergeStored(n int, stored []parser.Block, now time.Time) []*messenger.Suspicion {
	s := &i.shards[n]
	var lifted []*messenger.Suspicion
	for fingerprint, known := range s.suspects {
		if !known.isBlocked(now) {
			continue
		}
		if i.lifted.covers(fingerprint, known.blockedUntil) || (known.isStored && !containsBlock(stored, fingerprint)) {
			i.lifted.add([]parser.Lift{{Fingerprint: fingerprint, UntilMillis: known.blockedUntil.UnixMilli()}}, now)
			delete(s.suspects, fingerprint)
			lifted = append(lifted, s.suspicion(fingerprint, known.sequence, s.era, now))
			i.Log.Info("block lifted by an operator", zap.String("fingerprint", fingerprint))
		}
	}
	for _, b := range stored {
		known, found := s.suspects[b.Fingerprint], blockedSuspect(b, now)
		switch {
		case known != nil && known.isBlocked(now):
			known.isStored = true
		case found.isBlocked(now) && !i.lifted.covers(b.Fingerprint, found.blockedUntil):
			s.suspects[b.Fingerprint] = found
		}
	}
	return lifted
}

// needsWrite reports whether the block list differs from the stored one and must be
// written.
func (s *shard) needsWrite(stored []parser.Block, now time.Time) bool {
	blocks := s.blocks(now)
	for _, b := range blocks {
		if !containsBlock(stored, b.Fingerprint) {
			return true
		}
	}
	return len(blocks) != len(stored)
}

// readBlocks returns the block list of a shard, its version, or 0 if there is none, and
// the era of the store that has it.
func (i *Isolator) readBlocks(ctx context.Context, n int) (list parser.BlockList, version, era uint64, err error) {
	for range maxReadAttempts {
		era = adapter.EraOf(i.API)
		list, version, err = i.readBlocksOnce(ctx, n)
		if err != nil || adapter.EraOf(i.API) == era {
			return list, version, era, err
		}
	}
	return parser.BlockList{}, 0, 0, &eraChangedError{era: era}
}

func (i *Isolator) readBlocksOnce(ctx context.Context, n int) (parser.BlockList, uint64, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, err := i.API.Get(callCtx, blocksKey(n))
	var notFound *adapter.NotFoundError
	if errors.As(err, &notFound) {
		return parser.BlockList{}, 0, nil
	}
	if err != nil {
		return parser.BlockList{}, 0, err
	}
	var list parser.BlockList
	if err := json.Unmarshal(o.Value, &list); err != nil {
		return parser.BlockList{}, 0, fmt.Errorf("decode %s: %w", o.Key, err)
	}
	return list, o.Version, nil
}

// eraChangedError reports that the era of the store changed during each read.
type eraChangedError struct {
	era uint64
}

func (e *eraChangedError) Error() string {
	return fmt.Sprintf("the object API was restored again after era %d", e.era)
}

func (i *Isolator) writeBlocks(ctx context.Context, n int, value []byte, version uint64) (uint64, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if version == 0 {
		o, err := i.API.Create(callCtx, blocksKey(n), value)
		return o.Version, err
	}
	o, err := i.API.Update(callCtx, blocksKey(n), value, version)
	return o.Version, err
}

func (s *shard) blocks(now time.Time) []parser.Block {
	var blocks []parser.Block
	for fingerprint, known := range s.suspects {
		if !known.isBlocked(now) {
			continue
		}
		blocks = append(blocks, parser.Block{
			Fingerprint: fingerprint,
			Team:        teamOf(fingerprint),
			VMs:         known.vms,
			UntilMillis: known.blockedUntil.UnixMilli(),
		})
	}
	slices.SortFunc(blocks, compareFingerprint)
	return blocks
}

// teamOf returns the team of a fingerprint, which is its part before the first slash.
func teamOf(fingerprint string) string {
	team, _, _ := strings.Cut(fingerprint, "/")
	return team
}

func compareFingerprint(a, b parser.Block) int {
	return strings.Compare(a.Fingerprint, b.Fingerprint)
}

func containsBlock(blocks []parser.Block, fingerprint string) bool {
	for _, b := range blocks {
		if b.Fingerprint == fingerprint {
			return true
		}
	}
	return false
}
