package reporter

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
)

// storedParts is an object API that returns the same value for two parts of a region.
type storedParts struct {
	adapter.ObjectAPI
	value []byte
}

func (s storedParts) List(_ context.Context, prefix string) ([]adapter.Object, error) {
	return []adapter.Object{{Key: prefix, Value: s.value, Version: 1}, {Key: prefix + "/1", Value: s.value, Version: 1}}, nil
}

// Guards against a stored status that makes the next holder panic or exceeds the size
// limit of an object when it is written again.
func FuzzDecodeStatus(f *testing.F) {
	f.Add([]byte(`{"region":"r","part":0,"parts":1,"daemons":[{"vm":"a","state":"ready"},{"vm":"a"},null,{"vm":""}]}`))
	f.Add([]byte(`{"daemons":null}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		g := &region{name: "r", daemons: map[string]*daemonEntry{}}
		r := &Reporter{API: storedParts{value: value}, Log: zap.NewNop()}
		if err := r.readBack(context.Background(), g, time.Unix(0, 0)); err != nil {
			t.Fatal(err)
		}
		if p := g.nextDue(time.Unix(1, 0)); p != nil && tooLarge([][]json.RawMessage{p.content}) {
			t.Fatal("a part is too large")
		}
	})
}
