package claimer

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/blake3"
	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
)

// snapshotHead is the value of the object claim-snapshots/<shard>/head. The
// parts contain the records of all segments up to and including Through.
type snapshotHead struct {
	Through uint64   `json:"through"`
	Parts   []string `json:"parts"`
}

// partDuration is the range of claim times that a group of parts covers. Parts
// are named by a hash of their content, so that a snapshot writes only parts
// that changed.
const partDuration = time.Hour

func headKey(shard int) string {
	return fmt.Sprintf("claim-snapshots/%d/head", shard)
}

func partKey(shard int, name string) string {
	return fmt.Sprintf("claim-snapshots/%d/parts/%s", shard, name)
}

func (s *shard) readHead(ctx context.Context) (snapshotHead, uint64, error) {
	o, err := s.get(ctx, headKey(s.number))
	var notFound *adapter.NotFoundError
	if errors.As(err, &notFound) {
		return snapshotHead{}, 0, nil
	}
	if err != nil {
		return snapshotHead{}, 0, err
	}
	var head snapshotHead
	if err := json.Unmarshal(o.Value, &head); err != nil {
		return snapshotHead{}, 0, fmt.Errorf("decode %s: %w", o.Key, err)
	}
	return head, o.Version, nil
}

func (s *shard) loadSnapshot(ctx context.Context, head snapshotHead, x *index) error {
	var records []record
	for _, name := range head.Parts {
		o, err := s.get(ctx, partKey(s.number, name))
		if err != nil {
			return err
		}
		var part []record
		if err := json.Unmarshal(o.Value, &part); err != nil {
			return fmt.Errorf("decode %s: %w", o.Key, err)
		}
		records = append(records, part...)
	}
	slices.SortStableFunc(records, compareClaimTime)
	for _, r := range records {
		x.apply(r)
	}
	return nil
}

// compactIfDue writes a snapshot of the index when enough segments have been
// written, and deletes the segments that it covers. Segments are deleted only
// after the snapshot head has been updated, which fails if another daemon has
// changed it.
func (s *shard) compactIfDue(ctx context.Context, now time.Time) {
	if s.segmentsSinceSnapshot < s.claimer.CompactionThreshold || !s.claimer.Held(ShardName(s.number), now) {
		return
	}
	if err := s.compact(ctx); err != nil {
		s.claimer.Log.Warn("claim snapshot not written", zap.String("shard", ShardName(s.number)), zap.Error(err))
		// Retry after half as many segments as between two snapshots.
		s.segmentsSinceSnapshot /= 2
	}
}

func (s *shard) compact(ctx context.Context) error {
	through := s.nextSequence - 1
	head := snapshotHead{Through: through}
	for _, part := range s.snapshotParts() {
		name, err := s.storePart(ctx, part)
		if err != nil {
			return err
		}
		head.Parts = append(head.Parts, name)
	}
	value, err := json.Marshal(head)
	if err != nil {
		return err
	}
	if err := s.updateHead(ctx, value); err != nil {
		return err
	}
	old := s.head
	s.head = head
	s.segmentsSinceSnapshot = 0
	s.deleteUnused(ctx, old, head)
	return nil
}

func (s *shard) updateHead(ctx context.Context, value []byte) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var o adapter.Object
	var err error
	if s.headVersion == 0 {
		o, err = s.claimer.API.Create(callCtx, headKey(s.number), value)
	} else {
		o, err = s.claimer.API.Update(callCtx, headKey(s.number), value, s.headVersion)
	}
	if err != nil {
		// The update may have taken effect. The next operation reads the head
		// again.
		s.index = nil
		return err
	}
	s.headVersion = o.Version
	return nil
}

// snapshotParts groups the records of the index by the hour of their claim and
// splits large groups.
func (s *shard) snapshotParts() [][]record {
	groups := map[int64][]record{}
	for _, r := range s.index.keys {
		hour := r.ClaimedMS / partDuration.Milliseconds()
		groups[hour] = append(groups[hour], *r)
	}
	hours := make([]int64, 0, len(groups))
	for hour := range groups {
		hours = append(hours, hour)
	}
	slices.Sort(hours)
	var parts [][]record
	for _, hour := range hours {
		group := groups[hour]
		slices.SortFunc(group, compareKey)
		parts = append(parts, splitPart(group)...)
	}
	return parts
}

// splitPart splits a group into parts that fit into an object.
func splitPart(group []record) [][]record {
	var parts [][]record
	size, start := 0, 0
	for i, r := range group {
		size += r.estimatedBytes()
		if size > maxSegmentBytes-2*MaxAnswerBytes {
			parts = append(parts, group[start:i+1])
			size, start = 0, i+1
		}
	}
	if start < len(group) {
		parts = append(parts, group[start:])
	}
	return parts
}

func (s *shard) storePart(ctx context.Context, part []record) (string, error) {
	value, err := json.Marshal(part)
	if err != nil {
		return "", err
	}
	sum := blake3.Sum256(value)
	name := hex.EncodeToString(sum[:16])
	if slices.Contains(s.head.Parts, name) {
		return name, nil
	}
	err = s.create(ctx, partKey(s.number, name), value)
	var conflict *adapter.ConflictError
	if errors.As(err, &conflict) {
		return name, nil
	}
	return name, err
}

// deleteUnused deletes the segments that the current snapshot covers and the
// parts that only the old snapshot uses. Segments that could not be deleted are
// deleted after the next snapshot.
func (s *shard) deleteUnused(ctx context.Context, old, current snapshotHead) {
	for _, name := range old.Parts {
		if !slices.Contains(current.Parts, name) {
			s.deleteObject(ctx, partKey(s.number, name))
		}
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	objects, err := s.claimer.API.List(callCtx, segmentPrefix(s.number))
	cancel()
	if err != nil {
		return
	}
	for _, o := range objects {
		if n, ok := sequenceOf(s.number, o.Key); ok && n <= current.Through {
			s.deleteVersion(ctx, o.Key, o.Version)
		}
	}
}

func (s *shard) deleteObject(ctx context.Context, key string) {
	if o, err := s.get(ctx, key); err == nil {
		s.deleteVersion(ctx, key, o.Version)
	}
}

func (s *shard) deleteVersion(ctx context.Context, key string, version uint64) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := s.claimer.API.Delete(callCtx, key, version); err != nil {
		s.claimer.Log.Debug("claim object not deleted", zap.String("key", key), zap.Error(err))
	}
}

func compareClaimTime(a, b record) int {
	return int(a.ClaimedMS - b.ClaimedMS)
}

func compareKey(a, b record) int {
	return strings.Compare(a.Key, b.Key)
}
