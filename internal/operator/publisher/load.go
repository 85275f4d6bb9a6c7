package publisher

import (
	"context"
	"errors"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// maxLoadTries limits how often loading a revision is tried. A try fails if the
// revision is replaced and its parts are deleted while they are read.
const maxLoadTries = 5

// Load returns the current revision and the version of the head object. If the
// head does not exist, it returns revision 0 with an empty set, and version 0.
func (p *Publisher) Load(ctx context.Context) (*parser.Revision, uint64, error) {
	revision, _, version, err := p.loadWithHead(ctx)
	return revision, version, err
}

// ReadHead returns the head and the version of the head object. If the head
// does not exist, it returns a Head with the era alone and version 0.
func (p *Publisher) ReadHead(ctx context.Context) (Head, uint64, error) {
	o, err := p.Objects.Get(ctx, HeadKey)
	var notFound *adapter.NotFoundError
	if errors.As(err, &notFound) {
		return Head{Era: adapter.EraOf(p.Objects)}, 0, nil
	}
	if err != nil {
		return Head{}, 0, err
	}
	head, err := DecodeHead(o.Value)
	if err != nil {
		return Head{}, 0, err
	}
	head.Era = o.Era
	return head, o.Version, nil
}

// LoadRevision reads the parts listed in the head, for callers that got the head
// from a watch. A part that no longer exists is an *adapter.NotFoundError.
func (p *Publisher) LoadRevision(ctx context.Context, head Head) (*parser.Revision, error) {
	set := parser.NewSet()
	for _, digest := range head.Parts {
		o, err := p.Objects.Get(ctx, PartPrefix+digest)
		if err != nil {
			return nil, err
		}
		body, err := decodePart(o)
		if err != nil {
			return nil, err
		}
		if err := parser.DecodeInto(set, body.Objects); err != nil {
			return nil, &CorruptError{Key: o.Key, Message: "cannot be decoded", Cause: err}
		}
	}
	return &parser.Revision{Number: head.Revision, Set: set}, nil
}

// loadWithHead is Load that also returns the head.
func (p *Publisher) loadWithHead(ctx context.Context) (*parser.Revision, Head, uint64, error) {
	var missing *adapter.NotFoundError
	for range maxLoadTries {
		head, version, err := p.ReadHead(ctx)
		if err != nil {
			return nil, Head{}, 0, err
		}
		if version == 0 {
			return &parser.Revision{Set: parser.NewSet()}, head, 0, nil
		}
		revision, err := p.LoadRevision(ctx, head)
		if err == nil {
			return revision, head, version, nil
		}
		if !errors.As(err, &missing) {
			return nil, Head{}, 0, err
		}
	}
	return nil, Head{}, 0, &CorruptError{Key: HeadKey, Message: "lists a part that does not exist", Cause: missing}
}
