package commander

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// maxBlockTries limits the tries to delete a block. A try fails if the owner of
// the isolation shard updates the block list at the same time.
const maxBlockTries = 5

// getBlocks prints the blocked requests of all isolation shards.
func (s *session) getBlocks(ctx context.Context, args []string) error {
	if err := checkArgumentCount(s.subcommand, args, 1, 1); err != nil {
		return err
	}
	if err := s.requireObjectAPI(); err != nil {
		return err
	}
	listed, err := s.publisher.Objects.List(ctx, parser.BlockPrefix)
	if err != nil {
		return err
	}
	blocks := []parser.Block{}
	for _, o := range listed {
		list, err := decodeStatus[parser.BlockList](o)
		if err != nil {
			return err
		}
		blocks = append(blocks, list.Blocks...)
	}
	if s.json() {
		return s.writeJSON(blocks)
	}
	if len(blocks) == 0 {
		s.printf("no requests are blocked\n")
		return nil
	}
	rows := make([][]string, len(blocks))
	for i, b := range blocks {
		rows[i] = []string{b.Fingerprint, b.Team, strings.Join(b.VMs, ","), formatMillis(b.UntilMillis)}
	}
	writeTable(s.program.Stdout, []string{"fingerprint", "team", "vms", "until"}, rows)
	return nil
}

// deleteBlock deletes the block of a fingerprint, so that requests with this
// fingerprint run again, and prints the result.
func (s *session) deleteBlock(ctx context.Context, fingerprint string) error {
	if err := s.requireObjectAPI(); err != nil {
		return err
	}
	if err := s.deleteBlockWithRetry(ctx, fingerprint); err != nil {
		return err
	}
	if s.json() {
		return s.writeJSON(parser.Block{Fingerprint: fingerprint, VMs: []string{}})
	}
	s.printf("delete block %s\n", fingerprint)
	return nil
}

// deleteBlockWithRetry deletes the block, with further tries after conflicts and
// lost responses. A block that is missing after a lost response counts as
// deleted.
func (s *session) deleteBlockWithRetry(ctx context.Context, fingerprint string) error {
	mayHaveApplied := false
	var err error
	for range maxBlockTries {
		err = s.deleteBlockOnce(ctx, fingerprint)
		var conflict *adapter.ConflictError
		var unavailable *adapter.UnavailableError
		var failed *FailedError
		switch {
		case errors.As(err, &conflict):
		case errors.As(err, &unavailable) && mayHaveChanged(unavailable):
			mayHaveApplied = true
		case errors.As(err, &failed) && mayHaveApplied:
			return nil
		default:
			return err
		}
	}
	return err
}

// deleteBlockOnce removes the block from the list that contains it.
func (s *session) deleteBlockOnce(ctx context.Context, fingerprint string) error {
	listed, err := s.publisher.Objects.List(ctx, parser.BlockPrefix)
	if err != nil {
		return err
	}
	for _, o := range listed {
		list, err := decodeStatus[parser.BlockList](o)
		if err != nil {
			return err
		}
		kept := []parser.Block{}
		for _, b := range list.Blocks {
			if b.Fingerprint != fingerprint {
				kept = append(kept, b)
				continue
			}
			list.Lifted = append(list.Lifted, parser.Lift{Fingerprint: fingerprint, UntilMillis: b.UntilMillis})
		}
		if len(kept) == len(list.Blocks) {
			continue
		}
		value, err := json.Marshal(parser.BlockList{Blocks: kept, Lifted: list.Lifted})
		if err != nil {
			return err
		}
		_, err = s.publisher.Objects.Update(ctx, o.Key, value, o.Version)
		return err
	}
	return &FailedError{Message: fmt.Sprintf("block %q does not exist", fingerprint), Suggestion: "type lentil get blocks"}
}

// decodeStatus decodes a status object. The error contains its key.
func decodeStatus[T parser.RegionStatus | parser.RolloutStatus | parser.BlockList](o adapter.Object) (T, error) {
	status, err := parser.DecodeStatus[T](o.Value)
	if err != nil {
		return status, &FailedError{
			Message:    fmt.Sprintf("object %q cannot be read: %v", o.Key, err),
			Suggestion: "use a lentil of the same version as the daemons",
		}
	}
	return status, nil
}

// formatMillis formats a Unix time in milliseconds; 0 is "-".
func formatMillis(millis int64) string {
	if millis == 0 {
		return "-"
	}
	return time.UnixMilli(millis).UTC().Format(time.RFC3339)
}
