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
	// maxPartBytes is the default size limit of a part. The object API's limit
	// is 1 MB; the rest is for the JSON around the objects.
	maxPartBytes = 900_000
	// unreferencedPartAge is the age beyond which an unreferenced part is
	// deleted.
	unreferencedPartAge = time.Hour
	// maxPartWriteTries limits the tries to write a part that another publish or
	// the garbage collection modifies at the same time.
	maxPartWriteTries = 4
)

// encodedPart is a JSON list of objects and its digest. The digest does not cover
// the time of writing, so equal parts of different revisions share a key.
type encodedPart struct {
	digest  string
	objects []byte
}

// storedPart is the stored form of a part, for example:
//
//	{"written-unix-ms":1780000000000,"objects":[{"kind":"model",…}]}
type storedPart struct {
	WrittenMillis int64           `json:"written-unix-ms"`
	Objects       json.RawMessage `json:"objects"`
}

// splitSet encodes the objects of the set into parts of at most maxBytes. An
// object above maxBytes gets a part of its own.
func splitSet(s *parser.Set, maxBytes int) ([]encodedPart, error) {
	var parts []encodedPart
	var b bytes.Buffer
	for _, o := range s.All() {
		encoded, err := parser.EncodeObject(o)
		if err != nil {
			return nil, err
		}
		if b.Len() > 0 && b.Len()+len(encoded)+2 > maxBytes {
			parts = append(parts, completePart(&b))
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
	parts = append(parts, completePart(&b))
	if len(parts) > maxParts {
		return nil, &SetTooLargeError{Parts: len(parts)}
	}
	return parts, nil
}

// completePart closes the JSON list in the buffer, returns it as a part and
// resets the buffer.
func completePart(b *bytes.Buffer) encodedPart {
	b.WriteByte(']')
	objects := bytes.Clone(b.Bytes())
	b.Reset()
	return encodedPart{digest: digestOf(objects), objects: objects}
}

// digestOf returns the SHA-256 digest in hexadecimal.
func digestOf(objects []byte) string {
	sum := sha256.Sum256(objects)
	return hex.EncodeToString(sum[:])
}

// encodePart returns the stored form of the part. It copies the objects
// verbatim: json.Marshal would change escape sequences and so the digest.
func encodePart(p encodedPart, now time.Time) []byte {
	var b bytes.Buffer
	b.WriteString(`{"written-unix-ms":`)
	b.WriteString(strconv.FormatInt(now.UnixMilli(), 10))
	b.WriteString(`,"objects":`)
	b.Write(p.objects)
	b.WriteByte('}')
	return b.Bytes()
}

// decodePart decodes a stored part and verifies its objects against the digest
// in its key.
func decodePart(o adapter.Object) (storedPart, error) {
	var body storedPart
	if err := json.Unmarshal(o.Value, &body); err != nil {
		return storedPart{}, &CorruptError{Key: o.Key, Message: "cannot be decoded", Cause: err}
	}
	if PartPrefix+digestOf(body.Objects) != o.Key {
		return storedPart{}, &CorruptError{Key: o.Key, Message: "content does not match its digest"}
	}
	return body, nil
}

// writePart ensures that the part exists and is not about to be deleted. A part
// that the head does not reference is written even if it exists, so that a
// concurrent garbage collection fails to delete it because of the new version.
// Calls without a response are repeated, which is safe because the content is
// the same.
func (p *Publisher) writePart(ctx context.Context, now time.Time, part encodedPart, referenced bool) error {
	return p.retry(ctx, func() error {
		var err error
		for range maxPartWriteTries {
			err = p.writePartOnce(ctx, now, part, referenced)
			// On a conflict, another publish or the garbage collection has
			// modified the part since it was read.
			if !isWriteConflict(err) {
				return err
			}
		}
		return err
	})
}

// writePartOnce creates or updates the part. It leaves an intact part alone if
// the head references it.
func (p *Publisher) writePartOnce(ctx context.Context, now time.Time, part encodedPart, referenced bool) error {
	key := PartPrefix + part.digest
	value := encodePart(part, now)
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

// isWriteConflict reports whether a conditional write failed because the object
// has changed or was deleted since it was read.
func isWriteConflict(err error) bool {
	var conflict *adapter.ConflictError
	var notFound *adapter.NotFoundError
	return errors.As(err, &conflict) || errors.As(err, &notFound)
}

// isIntact reports whether the part can be decoded and matches its digest.
func isIntact(existing adapter.Object) bool {
	_, err := decodePart(existing)
	return err == nil
}

// DeleteUnreferencedParts is the garbage collection of parts. It deletes the
// parts that the head does not reference and that were written more than an hour
// before now, so that no reader is expected to need them, and returns their
// number.
//
// Before it deletes anything, it writes the head unchanged to give it a new
// version. A publish that is paused between writing its parts and updating the
// head then gets a conflict and writes its parts again, however long the pause.
func (p *Publisher) DeleteUnreferencedParts(ctx context.Context, now time.Time) (int, error) {
	deleted := 0
	for _, prefix := range partPrefixes() {
		expired, err := p.listExpired(ctx, now, prefix)
		if err != nil {
			return deleted, err
		}
		if len(expired) == 0 {
			continue
		}
		n, err := p.deleteExpired(ctx, expired)
		deleted += n
		if err != nil {
			return deleted, err
		}
	}
	return deleted, nil
}

// partPrefixes returns the 256 key prefixes of parts with the first two digits
// of the digest. Listing all parts at once would not fit into a daemon's memory:
// at 12,000 changes a day the parts of one hour take about 450 MB.
func partPrefixes() []string {
	prefixes := make([]string, 256)
	for i := range prefixes {
		prefixes[i] = fmt.Sprintf("%s%02x", PartPrefix, i)
	}
	return prefixes
}

// listExpired returns the expired parts with the prefix, without their values.
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

// deleteExpired deletes those of the expired parts that the head does not
// reference, and returns their number.
func (p *Publisher) deleteExpired(ctx context.Context, expired []adapter.Object) (int, error) {
	head, err := p.bumpHeadVersion(ctx, expired)
	if err != nil {
		return 0, err
	}
	deleted := 0
	for _, o := range expired {
		if head.references(o) {
			continue
		}
		err := p.Objects.Delete(ctx, o.Key, o.Version)
		// On a conflict, a publish has written the part since it was listed and
		// is about to reference it.
		if isWriteConflict(err) {
			continue
		}
		if err != nil {
			return deleted, err
		}
		deleted++
	}
	return deleted, nil
}

// bumpHeadVersion writes the head unchanged, which gives it a new version, and
// returns it. It writes nothing if all expired parts are referenced. An update
// without a response is an error, after which nothing is deleted, because the
// update may not have been applied yet.
func (p *Publisher) bumpHeadVersion(ctx context.Context, expired []adapter.Object) (Head, error) {
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

// isExpired reports whether the part is older than unreferencedPartAge. A part
// that cannot be decoded counts as expired, because no revision can use it.
func isExpired(o adapter.Object, now time.Time) bool {
	body, err := decodePart(o)
	return err != nil || now.Sub(time.UnixMilli(body.WrittenMillis)) > unreferencedPartAge
}
