package loader

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/lentilbridge/lentilbridge/internal/shared/timekeeper"
	"github.com/lentilbridge/lentilbridge/pkg/storer"
	"github.com/lentilbridge/lentilbridge/pkg/verifier"
)

const (
	// maxStageRounds limits how often staged chunks are read back and invalid ones
	// are replaced.
	maxStageRounds = 4
	// MaxStageCalls is the number of concurrent calls that stage chunks and read them
	// back.
	MaxStageCalls = 4
	// verifiedFor is how long a staged chunk counts as valid after it was read back. The
	// engine must have accepted the order to load it by then.
	verifiedFor = 3 * time.Second
	// orderReserve is the part of verifiedFor that is left for an engine that pauses
	// before it accepts the order.
	orderReserve = 1500 * time.Millisecond
)

// stage stores the chunks of a version at the engine and reads them back until
// every chunk matches its digest. The engine itself does not verify staged chunks.
// It returns a moment at which all of them were valid or not read yet.
func (l *Loader) stage(ctx context.Context, model string, m *verifier.Manifest) (verified timekeeper.Moment, err error) {
	for round := range maxStageRounds {
		began := l.present()
		invalid, err := l.stageInvalid(ctx, model, m)
		if err != nil {
			return timekeeper.Moment{}, err
		}
		if invalid == 0 {
			return began, nil
		}
		l.Log.Info("chunks staged", zap.String("digest", m.Digest()), zap.Int("round", round), zap.Int("chunks", invalid))
	}
	return timekeeper.Moment{}, &transferError{Model: model, Cause: &stagingError{Rounds: maxStageRounds}}
}

// stageInvalid reads the staged chunks back, replaces the invalid ones and returns their
// number.
func (l *Loader) stageInvalid(ctx context.Context, model string, m *verifier.Manifest) (int, error) {
	calls, ctx := errgroup.WithContext(ctx)
	calls.SetLimit(MaxStageCalls)
	r := &readBack{loader: l, model: model, manifest: m, digest: m.Digest()}
	for i := range m.Chunks {
		calls.Go((&chunkCheck{readBack: r, ctx: ctx, chunk: i}).run)
	}
	err := calls.Wait()
	return int(r.invalid.Load()), err
}

// readBack is one round of reading staged chunks back.
type readBack struct {
	loader   *Loader
	model    string
	manifest *verifier.Manifest
	digest   string
	// invalid counts the chunks that were replaced.
	invalid atomic.Int64
}

// chunkCheck reads one staged chunk back.
type chunkCheck struct {
	*readBack
	ctx   context.Context
	chunk int
}

// run replaces the chunk if it is invalid or missing.
func (c *chunkCheck) run() error {
	l, m := c.loader, c.manifest
	data, ok, err := l.Engine.Staged(c.ctx, c.model, c.chunk, m.ChunkSizeBytes)
	if err != nil {
		return err
	}
	if ok {
		if _, err := verifier.VerifyChunk(m, c.chunk, data); err == nil {
			return nil
		}
	}
	c.invalid.Add(1)
	held, ok := l.Store.Chunk(c.digest, c.chunk)
	if !ok {
		return &transferError{Model: c.model, Cause: &storer.IncompleteError{Digest: c.digest, Total: len(m.Chunks)}}
	}
	return l.Engine.Stage(c.ctx, c.model, c.chunk, held)
}

// checkVerification returns a *staleVerificationError if staged chunks that were read back
// this long ago may not be loaded.
func checkVerification(age time.Duration) error {
	if age > verifiedFor-orderReserve {
		return &staleVerificationError{Age: age}
	}
	return nil
}

// staleVerificationError reports a load that was given up because the staged chunks had
// been read back too long before.
type staleVerificationError struct {
	Age time.Duration
	// GivenUp is the number of loads given up one after the other, and Delay the pause
	// before the next one.
	GivenUp int
	Delay   time.Duration
}

func (e *staleVerificationError) Error() string {
	return fmt.Sprintf("staged chunks were verified %s ago, at most %s is allowed; load %d given up, next one in %s",
		e.Age, verifiedFor-orderReserve, e.GivenUp, e.Delay)
}

// stagingError reports staged chunks that were invalid each time they were read
// back.
type stagingError struct {
	Rounds int
}

func (e *stagingError) Error() string {
	return fmt.Sprintf("staged chunks failed verification in each of %d rounds", e.Rounds)
}
