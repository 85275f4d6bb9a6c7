package leaser

import (
	"encoding/json"
	"fmt"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
)

// Prefix is the prefix of the keys of lease objects.
const Prefix = "leases/"

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
	return r, nil
}

func encodeRecord(r record) []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // A struct of strings and numbers always encodes.
	}
	return value
}
