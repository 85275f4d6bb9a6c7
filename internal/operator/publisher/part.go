package publisher

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

const (
	// maxPartBytes leaves room below the object API's limit of 1 MB.
	maxPartBytes = 900_000
	// collectAge is the age from which an unreferenced part is deleted.
	collectAge = time.Hour
	// maxPartTries bounds the tries of a part that others write, too.
	maxPartTries = 4
)

// part is the encoded objects of a piece of a revision. The digest covers
// objects only, not the time of writing:
//
//	{"written-unix-ms":1780000000000,"objects":[{"kind":"model",…}]}
type part struct {
	digest  string
	objects []byte
}

type partBody struct {
	WrittenMillis int64           `json:"written-unix-ms"`
	Objects       json.RawMessage `json:"objects"`
}

// splitSet encodes the set into parts.
func splitSet(s *parser.Set, limit int) ([]part, error) {
	var parts []part
	var b bytes.Buffer
	for _, o := range s.All() {
		encoded, err := parser.EncodeObject(o)
		if err != nil {
			return nil, err
		}
		if b.Len() > 0 && b.Len()+len(encoded)+2 > limit {
			parts = append(parts, finishPart(&b))
		}
		if b.Len() == 0 {
			b.WriteByte('[')
		} else {
			b.WriteByte(',')
		}
		b.Write(encoded)
	}
	if b.Len() == 0 {
		b.WriteByte('[')
	}
	parts = append(parts, finishPart(&b))
	if len(parts) > maxParts {
		return nil, &SetTooLargeError{Parts: len(parts)}
	}
	return parts, nil
}

func finishPart(b *bytes.Buffer) part {
	b.WriteByte(']')
	objects := bytes.Clone(b.Bytes())
	b.Reset()
	return part{digest: digestOf(objects), objects: objects}
}

func digestOf(objects []byte) string {
	sum := sha256.Sum256(objects)
	return hex.EncodeToString(sum[:])
}

// encodePart writes the objects verbatim; json.Marshal would change escapes
// and thereby the digest.
func encodePart(p part, now time.Time) []byte {
	var b bytes.Buffer
	b.WriteString(`{"written-unix-ms":`)
	b.WriteString(strconv.FormatInt(now.UnixMilli(), 10))
	b.WriteString(`,"objects":`)
	b.Write(p.objects)
	b.WriteByte('}')
	return b.Bytes()
}

// decodePart checks that the objects match the digest in the key.
func decodePart(o adapter.Object) (partBody, error) {
	var body partBody
	if err := json.Unmarshal(o.Value, &body); err != nil {
		return partBody{}, &CorruptError{Key: o.Key, Message: "cannot be decoded", Cause: err}
	}
	if PartPrefix+digestOf(body.Objects) != o.Key {
		return partBody{}, &CorruptError{Key: o.Key, Message: "content does not match its digest"}
	}
	return body, nil
}

// writePart makes sure that the part exists and is not about to be deleted: a
// part that the head does not reference is written again, so that clean-up
// finds another version than it read. A lost answer is resolved by repeating
// the call, because the content is the same.
func (p *Publisher) writePart(ctx context.Context, now time.Time, piece part, referenced bool) error {
	return p.retry(ctx, func() error {
		var err error
		for range maxPartTries {
			err = p.writePartOnce(ctx, now, piece, referenced)
			// Another publish or the clean-up wrote the part in between.
			if !isRaced(err) {
				return err
			}
		}
		return err
	})
}

func (p *Publisher) writePartOnce(ctx context.Context, now time.Time, piece part, referenced bool) error {
	key := PartPrefix + piece.digest
	value := encodePart(piece, now)
	existing, err := p.Objects.Get(ctx, key)
	var notFound *adapter.NotFoundError
	if errors.As(err, &notFound) {
		_, err = p.Objects.Create(ctx, key, value)
		return err
	}
	if err != nil || (referenced && isIntact(existing)) {
		return err
	}
	_, err = p.Objects.Update(ctx, key, value, existing.Version)
	return err
}

// isRaced tells whether a conditional write found another state than was read.
func isRaced(err error) bool {
	var conflict *adapter.ConflictError
	var notFound *adapter.NotFoundError
	return errors.As(err, &conflict) || errors.As(err, &notFound)
}

// isIntact tells whether the part can be used as it is.
func isIntact(existing adapter.Object) bool {
	_, err := decodePart(existing)
	return err == nil
}

// CollectParts deletes parts that the head does not reference and that were
// written more than an hour before now, so that nobody still reads them. It
// returns their number.
//
// Before it deletes it writes the head again, unchanged. A publish that is
// paused between its parts and the head then finds another version, starts
// again and writes its parts again, however long the pause was.
func (p *Publisher) CollectParts(ctx context.Context, now time.Time) (int, error) {
	deleted := 0
	for _, prefix := range partPrefixes() {
		expired, err := p.listExpired(ctx, now, prefix)
		if err != nil {
			return deleted, err
		}
		if len(expired) == 0 {
			continue
		}
		n, err := p.deleteParts(ctx, expired)
		deleted += n
		if err != nil {
			return deleted, err
		}
	}
	return deleted, nil
}

// partPrefixes splits the parts by the first two digits of their digests: all
// parts of an hour in one answer, about 450 MB at 12,000 changes a day, would
// not fit into a daemon's memory.
func partPrefixes() []string {
	prefixes := make([]string, 256)
	for i := range prefixes {
		prefixes[i] = fmt.Sprintf("%s%02x", PartPrefix, i)
	}
	return prefixes
}

// listExpired returns the objects without their values.
func (p *Publisher) listExpired(ctx context.Context, now time.Time, prefix string) ([]adapter.Object, error) {
	listed, err := p.Objects.List(ctx, prefix)
	if err != nil {
		return nil, err
	}
	var expired []adapter.Object
	for _, o := range listed {
		if isExpired(o, now) {
			expired = append(expired, adapter.Object{Key: o.Key, Version: o.Version})
		}
	}
	return expired, nil
}

func (p *Publisher) deleteParts(ctx context.Context, expired []adapter.Object) (int, error) {
	head, err := p.rewriteHead(ctx, expired)
	if err != nil {
		return 0, err
	}
	deleted := 0
	for _, o := range expired {
		if head.references(o) {
			continue
		}
		err := p.Objects.Delete(ctx, o.Key, o.Version)
		// A publish has taken the part into use, and so written it, since.
		if isRaced(err) {
			continue
		}
		if err != nil {
			return deleted, err
		}
		deleted++
	}
	return deleted, nil
}

// rewriteHead gives the head another version. It leaves the head alone when
// all the parts are referenced. An update without an answer is an error: it
// may take effect later, but then nothing is deleted.
func (p *Publisher) rewriteHead(ctx context.Context, expired []adapter.Object) (Head, error) {
	o, err := p.Objects.Get(ctx, HeadKey)
	if err != nil {
		return Head{}, err
	}
	head, err := DecodeHead(o.Value)
	if err != nil || !slices.ContainsFunc(expired, func(o adapter.Object) bool { return !head.references(o) }) {
		return head, err
	}
	_, err = p.Objects.Update(ctx, HeadKey, o.Value, o.Version)
	return head, err
}

// isExpired also holds for a part that cannot be decoded: no head can use it.
func isExpired(o adapter.Object, now time.Time) bool {
	body, err := decodePart(o)
	return err != nil || now.Sub(time.UnixMilli(body.WrittenMillis)) > collectAge
}
