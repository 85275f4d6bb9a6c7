package publisher

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/shared/waiter"
	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

const (
	// revisionsPerEra is the range of revision numbers of an era. Numbers that
	// the store lost in a restore stay in use by daemons, so the numbers of the
	// next era are above all of them.
	revisionsPerEra = 1_000_000_000
	// maxCarryOverPolls and carryOverPollInterval limit how long a publish waits
	// for a daemon to carry the configuration over into the present era.
	maxCarryOverPolls     = 40
	carryOverPollInterval = 500 * time.Millisecond
)

// restoredError reports that the store was restored during a publish.
type restoredError struct{ era uint64 }

func (e *restoredError) Error() string {
	return fmt.Sprintf("the object API was restored, its era is %d now", e.era)
}

// nextRevision returns the revision after the current one in an era.
func nextRevision(current, era uint64) uint64 {
	return max(current, era*revisionsPerEra) + 1
}

// isFromEarlierEra reports whether the store was restored since the head was
// written, so that the head may be older than what daemons have in force.
func (h Head) isFromEarlierEra() bool {
	return h.Revision > 0 && IsFromEarlierEra(h.Revision, h.Era)
}

// IsFromEarlierEra reports whether a revision of a store with the given era may be older
// than what daemons have in force.
func IsFromEarlierEra(revision, era uint64) bool { return revision/revisionsPerEra < era }

// CarriedOverWithout returns the revision with which a daemon went on after a
// restore of the store that lost the given, later revision, or 0 if it was not
// lost.
func (h Head) CarriedOverWithout(revision uint64) uint64 {
	for _, entry := range h.History {
		if entry.CarriedOver > 0 && entry.CarriedOver < revision && revision < entry.Revision {
			return entry.CarriedOver
		}
	}
	return 0
}

// loadCarriedOver is loadWithHead that waits until the head is from the present
// era. It returns an *EarlierEraError if no daemon carries the configuration
// over.
func (p *Publisher) loadCarriedOver(ctx context.Context) (*parser.Revision, Head, uint64, error) {
	var head Head
	for range maxCarryOverPolls {
		var err error
		if head, _, err = p.ReadHead(ctx); err != nil {
			return nil, Head{}, 0, err
		}
		if !head.isFromEarlierEra() {
			revision, head, version, err := p.loadWithHead(ctx)
			if err != nil || !head.isFromEarlierEra() {
				return revision, head, version, err
			}
		}
		if !waiter.Wait(ctx, carryOverPollInterval) {
			return nil, Head{}, 0, ctx.Err()
		}
	}
	return nil, Head{}, 0, &EarlierEraError{Revision: head.Revision, Era: head.Era}
}

// CarryOver publishes the configuration of a daemon again, as the first revision
// of the present era, if the head is from an earlier one. It does nothing if
// another daemon has done so. The configuration has to be the newest one that is
// known. It returns a *BehindError if the store has a newer one.
func (p *Publisher) CarryOver(ctx context.Context, now time.Time, current *parser.Revision) error {
	head, version, err := p.ReadHead(ctx)
	if err != nil {
		return err
	}
	lost := version == 0 && head.Era > 0
	if current.Number == 0 || (!lost && !head.isFromEarlierEra()) {
		return nil
	}
	if current.Number < head.Revision {
		_, err := p.LoadRevision(ctx, head)
		var missing *adapter.NotFoundError
		if err == nil {
			return &BehindError{Revision: current.Number, Newest: head.Revision}
		}
		// A newer head without its parts is the remainder of a publish that the
		// restore interrupted.
		if !errors.As(err, &missing) {
			return err
		}
	}
	digests, err := p.writeParts(ctx, now, current.Set, Head{})
	if err != nil {
		return err
	}
	entry := HistoryEntry{
		Revision: nextRevision(max(head.Revision, current.Number), head.Era), Writer: p.newWriterID(), Author: p.Author,
		TimeMillis: now.UnixMilli(), All: !slices.Equal(digests, head.Parts), CarriedOver: current.Number,
	}
	_, err = p.updateHead(ctx, Head{
		Revision: entry.Revision, Parts: digests, Writer: entry.Writer, History: appendHistory(head.History, entry), Era: head.Era,
	}, version)
	return err
}

// BehindError reports a daemon whose revision is lower than the one in the store.
type BehindError struct {
	Revision, Newest uint64
}

func (e *BehindError) Error() string {
	return fmt.Sprintf("revision %d is lower than revision %d in the object API", e.Revision, e.Newest)
}
