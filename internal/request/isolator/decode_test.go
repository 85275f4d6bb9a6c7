package isolator

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
)

// oneObject is an object API that returns the same value for all keys.
type oneObject struct {
	adapter.ObjectAPI
	value []byte
}

func (o oneObject) Get(_ context.Context, key string) (adapter.Object, error) {
	return adapter.Object{Key: key, Value: o.value, Version: 1}, nil
}

func (o oneObject) Update(_ context.Context, key string, value []byte, _ uint64) (adapter.Object, error) {
	return adapter.Object{Key: key, Value: value, Version: 2}, nil
}

// Guards against block lists that make the owner of a shard panic.
func FuzzDecodeBlocks(f *testing.F) {
	f.Add([]byte(`{"blocks":[{"fingerprint":"f","team":"t","vms":["a"],"until-unix-ms":99}]}`))
	f.Add([]byte(`{"blocks":[{"until-unix-ms":9223372036854775807},{"until-unix-ms":-9223372036854775808}]}`))
	f.Fuzz(func(_ *testing.T, value []byte) {
		now := time.Unix(0, 0)
		i := &Isolator{API: oneObject{value: value}, Now: func() time.Time { return now }, Log: zap.NewNop()}
		i.loadShard(context.Background(), 1)
		i.syncBlocks(context.Background(), 1, now)
	})
}
