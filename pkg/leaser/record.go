package leaser

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
)

// Prefix is the prefix of the keys of lease objects.
const Prefix = "leases/"

// maxDuration is the longest duration that is accepted in a lease object. A
// longer one could prevent takeovers indefinitely.
const maxDuration = time.Hour

// record is the value of a lease object. Holder is empty after a release.
type record struct {
	Shard      string `json:"shard"`
	Holder     string `json:"holder"`
	Epoch      uint64 `json:"epoch"`
	DurationMS int64  `json:"duration-ms"`
	// Writer identifies the process, so that a restarted daemon does not treat
	// the lease of its predecessor on the same VM as its own.
	Writer string `json:"writer"`
	// Renewal identifies the write, so that a write whose response was lost can
	// be recognized.
	Renewal uint64 `json:"renewal"`
}

// RecordError reports a lease object that is malformed or not valid.
type RecordError struct {
	Key   string
	Cause error
}

func (e *RecordError) Error() string {
	return fmt.Sprintf("lease object %q: %v", e.Key, e.Cause)
}

func (e *RecordError) Unwrap() error { return e.Cause }

func decodeRecord(o adapter.Object) (record, error) {
	var r record
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return record{}, &RecordError{Key: o.Key, Cause: err}
	}
	if err := r.validate(o.Key); err != nil {
		return record{}, &RecordError{Key: o.Key, Cause: err}
	}
	return r, nil
}

// validate rejects records of another shard, records whose epoch cannot be
// incremented, and durations that would prevent a takeover.
func (r record) validate(key string) error {
	switch {
	case Prefix+r.Shard != key:
		return fmt.Errorf("record is for shard %q", r.Shard)
	case r.Epoch == math.MaxUint64:
		return fmt.Errorf("epoch %d cannot be incremented", r.Epoch)
	case r.DurationMS < 0 || r.DurationMS > maxDuration.Milliseconds():
		return fmt.Errorf("duration of %d ms is not between 0 and %s", r.DurationMS, maxDuration)
	}
	return nil
}

func encodeRecord(r record) []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // A struct of strings and numbers always encodes.
	}
	return value
}
