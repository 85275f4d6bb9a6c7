package controller

import (
	"context"
	"testing"
	"time"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// constantObjects is an object API that returns the same value for every key.
type constantObjects struct {
	adapter.ObjectAPI
	value []byte
}

func (o constantObjects) Get(_ context.Context, key string) (adapter.Object, error) {
	return adapter.Object{Key: key, Value: o.value, Version: 1}, nil
}

// Guards against a stored status that makes the controller panic or prevents it
// from writing the next one.
func FuzzDecodeRolloutStatus(f *testing.F) {
	f.Add([]byte(`{"rollout":"r","fleet":"f","version":"v","digest":"d","phase":"done","started-unix-ms":1}`))
	f.Add([]byte(`{"replicas":-1}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, value []byte) {
		w := &statusWriter{}
		if err := w.load(context.Background(), constantObjects{value: value}, "r"); err != nil {
			t.Fatal(err)
		}
		in := planInput{fleet: &parser.Fleet{}, target: &parser.ModelVersion{Digest: "d"}, rollout: &parser.Rollout{}}
		_ = computeStatus(in, w.last, time.Unix(0, 0))
	})
}
