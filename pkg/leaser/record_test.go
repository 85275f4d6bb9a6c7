package leaser

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
)

// Guards against lease objects that make a daemon panic, that are accepted for
// another shard, or that prevent a takeover indefinitely.
func FuzzDecodeRecord(f *testing.F) {
	f.Add([]byte(`{"shard":"claims-1","holder":"vm","epoch":7,"duration-ms":5000,"writer":"w","renewal":1}`))
	f.Add([]byte(`{"shard":"claims-2","duration-ms":9223372036854775807}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		r, err := decodeRecord(adapter.Object{Key: Prefix + "claims-1", Value: value})
		if err != nil {
			return
		}
		l := &Leaser{Duration: time.Second}
		delay := l.takeoverDelay(&leaseState{exists: true, last: r}, 0, 1)
		if r.Shard != "claims-1" || r.Epoch+1 == 0 || delay < 0 || delay > 2*maxDuration {
			t.Fatalf("%q gave %+v", value, r)
		}
	})
}

// TestInvalidRecords covers the invalid records that FuzzDecodeRecord found.
func TestInvalidRecords(t *testing.T) {
	for _, value := range []string{
		`{}`,
		`{"shard":"claims-2"}`,
		`{"shard":"claims-1","epoch":18446744073709551615}`,
		`{"shard":"claims-1","duration-ms":-1}`,
		`{"shard":"claims-1","duration-ms":9000000000000}`,
	} {
		_, err := decodeRecord(adapter.Object{Key: Prefix + "claims-1", Value: []byte(value)})
		var invalid *RecordError
		qt.Check(t, errors.As(err, &invalid), qt.IsTrue, qt.Commentf("%s", value))
	}
}
