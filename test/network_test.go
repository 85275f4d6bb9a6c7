package test

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

// networkCounter numbers the loopback networks that this test binary has tried.
var networkCounter atomic.Int64

// reserveNetwork returns the prefix of a loopback network that no other system
// uses, including those of other test runs on the same machine. A listener on
// port 6999 of its first address reserves it.
func reserveNetwork(t *testing.T) string {
	const networksPerPrefix = 250
	for range networksPerPrefix {
		network := fmt.Sprintf("127.%d.%d", 100+os.Getpid()%100, networkCounter.Add(1)%networksPerPrefix)
		lock, err := net.Listen("tcp", network+".1:6999")
		if err == nil {
			t.Cleanup(func() { _ = lock.Close() })
			return network
		}
	}
	t.Fatal("all loopback networks of this test process are in use")
	return ""
}
