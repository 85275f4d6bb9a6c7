package commander

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"strings"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/operator/publisher"
	"github.com/lentilbridge/lentilbridge/internal/shared/waiter"
	"github.com/lentilbridge/lentilbridge/pkg/adapter"
)

// watchRetryDelay is the delay before the next try when the object API is not
// available.
const watchRetryDelay = 2 * time.Second

var watchSubcommand = subcommand{
	name:    "watch",
	summary: "print each new revision",
	details: `Watch prints the current revision and then a line for each new one, with its
author and the objects that it changed, until it is interrupted.`,
	example:       "lentil watch -o json",
	usesObjectAPI: true,
	defineFlags: func(fs *flag.FlagSet) runFunc {
		c := &watchCommand{}
		fs.Int64Var(&c.after, "after", -1, "begin with the edits after this `revision`, as far as they are known")
		fs.IntVar(&c.count, "count", 0, "end after this `number` of revisions")
		return c.run
	},
}

type watchCommand struct {
	after int64
	count int
	// shown is the number of revisions printed so far.
	shown int
	// last is the last printed revision, at first the one before those to print.
	last uint64
}

func (c *watchCommand) run(ctx context.Context, s *session, args []string) error {
	if err := checkArgumentCount(s.subcommand, args, 0, 0); err != nil {
		return err
	}
	if err := s.requireObjectAPI(); err != nil {
		return err
	}
	head, after, err := s.publisher.ReadHead(ctx)
	if err != nil {
		return err
	}
	c.last = max(head.Revision, 1) - 1
	if c.after >= 0 {
		c.last = uint64(c.after)
	}
	for {
		if err := c.show(s, head); err != nil {
			return err
		}
		if c.count > 0 && c.shown >= c.count {
			return nil
		}
		head, after, err = c.next(ctx, s, after)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// next waits for a change of the head and returns the head and the version after
// which to watch next. While the object API is not available, it prints the error
// and tries again.
func (c *watchCommand) next(ctx context.Context, s *session, after uint64) (publisher.Head, uint64, error) {
	for {
		_, next, err := s.publisher.Objects.Watch(ctx, publisher.HeadKey, after)
		var gap *adapter.GapError
		if err == nil || errors.As(err, &gap) {
			head, _, readErr := s.publisher.ReadHead(ctx)
			if readErr == nil {
				return head, next, nil
			}
			err = readErr
		}
		var unavailable *adapter.UnavailableError
		if ctx.Err() != nil || !errors.As(err, &unavailable) {
			return publisher.Head{}, after, err
		}
		fmt.Fprintf(s.program.Stderr, "lentil watch: %v; trying again\n", err)
		waiter.Wait(ctx, watchRetryDelay)
	}
}

// show prints the revisions after the last printed one, as far as the head's
// history contains them.
func (c *watchCommand) show(s *session, head publisher.Head) error {
	for _, entry := range head.History {
		if entry.Revision <= c.last {
			continue
		}
		if c.count > 0 && c.shown >= c.count {
			return nil
		}
		c.last = entry.Revision
		c.shown++
		if s.json() {
			if err := s.writeJSON(entry); err != nil {
				return err
			}
			continue
		}
		s.printf("revision %d by %s at %s: %s\n", entry.Revision, entry.Author, formatMillis(entry.TimeMillis), listChanges(entry))
	}
	return nil
}

// listChanges returns the changed objects as text, at most maxListed of them.
func listChanges(entry publisher.HistoryEntry) string {
	if entry.All {
		return "many objects"
	}
	const maxListed = 8
	var words []string
	for i, c := range entry.Changes {
		if i == maxListed {
			words = append(words, fmt.Sprintf("and %d more", len(entry.Changes)-maxListed))
			break
		}
		word := c.Kind + "/" + c.Name
		if c.Deleted {
			word += " deleted"
		}
		words = append(words, word)
	}
	return strings.Join(words, ", ")
}
