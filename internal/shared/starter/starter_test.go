package starter_test

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/shared/starter"
)

func init() {
	starter.Main(map[string]func(args []string) int{
		"echo": func(args []string) int {
			_, _ = os.Stdout.WriteString(os.Getenv("LENTIL_EXAMPLE") + " " + args[0])
			return 0
		},
	})
}

// TestStart guards against a program that runs the tests instead, and against lost arguments or output.
func TestStart(t *testing.T) {
	dir := t.TempDir()
	p := starter.Start(t, dir, "example", "echo", []string{"LENTIL_EXAMPLE=env"}, "argument")
	<-p.Exited()
	text, err := os.ReadFile(filepath.Join(dir, "example.log"))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(text), qt.Equals, "env argument")
}

// TestReserveNetwork guards against two deployments that share a network, and against networks that are not
// released at the end of a test.
func TestReserveNetwork(t *testing.T) {
	for range 300 {
		t.Run("", func(t *testing.T) {
			first, second := starter.ReserveNetwork(t), starter.ReserveNetwork(t)
			qt.Check(t, first, qt.Not(qt.Equals), second)
		})
	}
}
