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

// callTimeout bounds a call to the object API. Callers wait for the evidence of
// a crash to be stored.
const callTimeout = time.Second

// blocksKey is the object that operators list and edit.
func blocksKey(n int) string {
	return fmt.Sprintf("blocks/%d", n)
}

// load reads the blocks of a shard when this daemon decides about it for the
// first time. Suspects come from the facts that the former owner spread.
func (i *Isolator) load(ctx context.Context, n int) {
	i.mu.Lock()
	loaded := i.shards[n].loaded
	i.mu.Unlock()
	if loaded {
		return
	}
	blocks, version, err := i.readBlocks(ctx, n)
	if err != nil {
		i.Log.Warn("blocks not read", zap.Int("shard", n), zap.Error(err))
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	s := &i.shards[n]
	if s.suspects == nil {
		s.suspects = map[string]*suspect{}
	}
	now := i.Now()
	for _, b := range blocks {
		s.suspects[b.Fingerprint] = blockedSuspect(b, now)
	}
	s.loaded = err == nil
	s.version = version
}

func blockedSuspect(b parser.Block, now time.Time) *suspect {
	return &suspect{vms: b.VMs, soleCrashes: 1, seenAt: now, blockedUntil: time.UnixMilli(b.UntilMillis), isStored: true}
}

// adopt makes a suspect of what the former owner, or a daemon that could not
// reach this one, has spread about a fingerprint. Blocks are taken from the
// object that operators edit.
func (i *Isolator) adopt(n int, fingerprint string, now time.Time) {
	s := &i.shards[n]
	f, known := i.facts[fingerprint]
	if !known || s.suspects[fingerprint] != nil || f.blocked || now.After(f.until) {
		return
	}
	s.suspects[fingerprint] = &suspect{vms: []string{f.vm}, seenAt: now, sequence: f.sequence}
}

// store writes the blocks of a shard when they differ from those stored.
func (i *Isolator) store(ctx context.Context, n int) {
	i.mu.Lock()
	version := i.shards[n].version
	blocks := i.shards[n].blocks(i.Now())
	i.mu.Unlock()
	if version == 0 && len(blocks) == 0 {
		return
	}
	value, err := json.Marshal(parser.BlockList{Blocks: blocks})
	if err != nil {
		return
	}
	stored, err := i.writeBlocks(ctx, n, value, version)
	if err != nil {
		// Other daemons have the facts already; the next refresh reconciles.
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

// refresh follows the lists of blocks that operators and daemons which could
// not reach this one have changed, writes blocks that could not be written
// before, and forgets shards of other owners.
func (i *Isolator) refresh(ctx context.Context, now time.Time) {
	for n := range i.shards {
		if !i.Held(ShardName(n), now) {
			i.mu.Lock()
			i.shards[n] = shard{}
			i.mu.Unlock()
			continue
		}
		i.load(ctx, n)
		i.applyLifted(ctx, n, now)
	}
}

func (i *Isolator) applyLifted(ctx context.Context, n int, now time.Time) {
	stored, version, err := i.readBlocks(ctx, n)
	if err != nil {
		return
	}
	i.mu.Lock()
	s := &i.shards[n]
	if version > 0 && version < s.version {
		// The list was written after it was read here.
		i.mu.Unlock()
		return
	}
	var lifted []*messenger.Suspicion
	if version != s.version {
		lifted = s.follow(stored, now)
	}
	s.version = version
	missing := s.differs(stored, now)
	i.observeLocked(lifted, now)
	i.mu.Unlock()
	for _, fact := range lifted {
		i.Log.Info("block lifted by an operator", zap.String("fingerprint", fact.GetFingerprint()))
	}
	if i.Spread != nil && len(lifted) > 0 {
		i.Spread(lifted)
	}
	if missing {
		i.store(ctx, n)
	}
}

// follow takes over a changed list of blocks and returns the facts about those
// that were lifted. A block that was never in the list is not lifted.
func (s *shard) follow(stored []parser.Block, now time.Time) []*messenger.Suspicion {
	var lifted []*messenger.Suspicion
	for fingerprint, known := range s.suspects {
		if known.isBlocked(now) && known.isStored && !containsBlock(stored, fingerprint) {
			delete(s.suspects, fingerprint)
			lifted = append(lifted, s.suspicion(fingerprint, known.sequence, now))
		}
	}
	for _, b := range stored {
		known, found := s.suspects[b.Fingerprint], blockedSuspect(b, now)
		switch {
		case known != nil && known.isBlocked(now):
			known.isStored = true
		case found.isBlocked(now):
			s.suspects[b.Fingerprint] = found
		}
	}
	return lifted
}

// differs reports whether the list of blocks has to be written.
func (s *shard) differs(stored []parser.Block, now time.Time) bool {
	blocks := s.blocks(now)
	for _, b := range blocks {
		if !containsBlock(stored, b.Fingerprint) {
			return true
		}
	}
	return len(blocks) != len(stored)
}

func (i *Isolator) readBlocks(ctx context.Context, n int) ([]parser.Block, uint64, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, err := i.API.Get(callCtx, blocksKey(n))
	var notFound *adapter.NotFoundError
	if errors.As(err, &notFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	var list parser.BlockList
	if err := json.Unmarshal(o.Value, &list); err != nil {
		return nil, 0, fmt.Errorf("decode %s: %w", o.Key, err)
	}
	return list.Blocks, o.Version, nil
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

// teamOf returns the team that a fingerprint begins with.
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
