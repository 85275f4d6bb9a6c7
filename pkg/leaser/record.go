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

// maxDuration bounds what a lease object says about its duration. A longer one
// would hold off a takeover without end.
const maxDuration = time.Hour

// record is the value of a lease object. Holder is empty after a release.
type record struct {
	Shard      string `json:"shard"`
	Holder     string `json:"holder"`
	Epoch      uint64 `json:"epoch"`
	DurationMS int64  `json:"duration-ms"`
	// Writer identifies the process, so that a restarted daemon on the same VM
	// does not take its predecessor's lease for its own.
	Writer string `json:"writer"`
	// Renewal identifies the write, to recognise one whose answer was lost.
	Renewal uint64 `json:"renewal"`
}

// RecordError reports a lease object that cannot be read.
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
	if err := r.check(o.Key); err != nil {
		return record{}, &RecordError{Key: o.Key, Cause: err}
	}
	return r, nil
}

// check refuses a record that would count for another shard, after which no
// epoch is left, or that would hold off a takeover without end.
func (r record) check(key string) error {
	switch {
	case Prefix+r.Shard != key:
		return fmt.Errorf("belongs to the shard %q", r.Shard)
	case r.Epoch == math.MaxUint64:
		return fmt.Errorf("the epoch %d has no next one", r.Epoch)
	case r.DurationMS < 0 || r.DurationMS > maxDuration.Milliseconds():
		return fmt.Errorf("the duration of %d ms is not between 0 and %s", r.DurationMS, maxDuration)
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
