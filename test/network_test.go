package test

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
)

// networks numbers the loopback networks of the systems of one test binary.
var networks atomic.Int64

// reserveNetwork returns a loopback network that no system uses, also none of
// another run of the tests on the same machine: its port 6999 is the lock.
func reserveNetwork(t *testing.T) string {
	const networksPerPrefix = 250
	for range networksPerPrefix {
		network := fmt.Sprintf("127.%d.%d", 100+os.Getpid()%100, networks.Add(1)%networksPerPrefix)
		lock, err := net.Listen("tcp", network+".1:6999")
		if err == nil {
			t.Cleanup(func() { _ = lock.Close() })
			return network
		}
	}
	t.Fatal("every loopback network of the tests is in use")
	return ""
}

// dumpLogs shows the last lines of each process.
func (s *system) dumpLogs() {
	const tail = 1500
	files, _ := filepath.Glob(filepath.Join(s.dir, "*.log"))
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			continue
		}
		text = text[max(0, len(text)-tail):]
		s.t.Logf("%s:\n%s", filepath.Base(file), bytes.TrimSpace(text))
	}
}
