package publisher

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

const (
	// maxPartBytes leaves room below the object API's limit of 1 MB.
	maxPartBytes = 900_000
	// touchAge is the age from which a publish renews the time of a part that
	// it uses again. It is far below collectAge, so that clean-up by a daemon
	// with another clock does not delete a part in use by a publish.
	touchAge = 10 * time.Minute
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

// writePart makes sure that the part exists and is not about to be deleted.
// A lost answer is resolved by the repetition: the content is the same.
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
	if err != nil || isUsable(existing, now, referenced) {
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

// isUsable tells whether the existing part is intact and is either referenced
// by the head on which the publish is conditional or too young to be deleted.
func isUsable(existing adapter.Object, now time.Time, referenced bool) bool {
	body, err := decodePart(existing)
	if err != nil {
		return false
	}
	return referenced || now.Sub(time.UnixMilli(body.WrittenMillis)) < touchAge
}

// CollectParts deletes parts that the head does not reference and that were
// written more than an hour before now. It returns their number. A part that
// a publish takes into use meanwhile has another version and stays.
func (p *Publisher) CollectParts(ctx context.Context, now time.Time) (int, error) {
	listed, err := p.Objects.List(ctx, PartPrefix)
	if err != nil {
		return 0, err
	}
	head, _, err := p.ReadHead(ctx)
	if err != nil {
		return 0, err
	}
	referenced := map[string]bool{}
	for _, digest := range head.Parts {
		referenced[PartPrefix+digest] = true
	}
	deleted := 0
	for _, o := range listed {
		if referenced[o.Key] || !isExpired(o, now) {
			continue
		}
		err := p.Objects.Delete(ctx, o.Key, o.Version)
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

// isExpired also holds for a part that cannot be decoded: no head can use it.
func isExpired(o adapter.Object, now time.Time) bool {
	body, err := decodePart(o)
	return err != nil || now.Sub(time.UnixMilli(body.WrittenMillis)) > collectAge
}
