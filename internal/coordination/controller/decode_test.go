package controller

import (
	"context"
	"testing"
	"time"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// oneObject is an object API with one value under all keys.
type oneObject struct {
	adapter.ObjectAPI
	value []byte
}

func (o oneObject) Get(_ context.Context, key string) (adapter.Object, error) {
	return adapter.Object{Key: key, Value: o.value, Version: 1}, nil
}

// Guards against a stored status that makes the controller panic or that keeps
// it from writing the next one.
func FuzzDecodeRolloutStatus(f *testing.F) {
	f.Add([]byte(`{"rollout":"r","fleet":"f","version":"v","digest":"d","phase":"done","started-unix-ms":1}`))
	f.Add([]byte(`{"replicas":-1}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, value []byte) {
		w := &statusWriter{}
		if err := w.load(context.Background(), oneObject{value: value}, "r"); err != nil {
			t.Fatal(err)
		}
		in := input{fleet: &parser.Fleet{}, target: &parser.ModelVersion{Digest: "d"}, rollout: &parser.Rollout{}}
		_ = nextStatus(in, w.last, time.Unix(0, 0))
	})
}
