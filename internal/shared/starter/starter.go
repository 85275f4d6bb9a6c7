// Package starter runs a test binary as the programs of the project, so that end-to-end tests need no
// separate build, and reserves loopback networks for them. Only tests import it.
package starter

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/shared/launcher"
)

// programEnv is the environment variable that names the program that a test binary runs as.
const programEnv = "LENTIL_TEST_PROGRAM"

// Main runs the program that the environment names and exits. If it names none of them, Main returns. It is
// called in an init function of the tests, before the flags are parsed.
func Main(programs map[string]func(args []string) int) {
	if run := programs[os.Getenv(programEnv)]; run != nil {
		os.Exit(run(os.Args[1:]))
	}
}

// Env returns the environment variable with which the test binary runs as a program.
func Env(program string) string { return programEnv + "=" + program }

// Start starts the test binary as a program. Its output is appended to NAME.log in the directory, and env is
// added to its environment. The caller ends the process.
func Start(t testing.TB, dir, name, program string, env []string, args ...string) *launcher.Process {
	t.Helper()
	p := &launcher.Process{
		Name: name, Path: os.Args[0], Args: args, Env: append(env, Env(program)), Log: filepath.Join(dir, name+".log"),
	}
	qt.Assert(t, p.Start(), qt.IsNil)
	return p
}

// networkCounter numbers the loopback networks that this test binary has tried.
var networkCounter atomic.Int64

// ReserveNetwork returns the first three octets of a loopback network that no other test uses until the end
// of this one, including those of other test runs on the same machine. A listener on port 6999 of its first
// address reserves it.
func ReserveNetwork(t testing.TB) string {
	t.Helper()
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
