// Package test runs the programs: it compares recorded sessions with the
// expected output, and tests deployments of separate processes under faults.
package test

import (
	"context"
	"errors"
	"net/http/httptest"
	"os"
	"os/exec"
	"strconv"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/lentilbridge/lentilbridge/internal/daemon/agent"
	"github.com/lentilbridge/lentilbridge/internal/daemon/router"
	"github.com/lentilbridge/lentilbridge/internal/operator/commander"
	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/emulator"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"lentil":         func() { os.Exit(commander.Main(os.Args[1:])) },
		"lentil-entry":   func() { os.Exit(router.Main(os.Args[1:])) },
		"lentil-agent":   func() { os.Exit(agent.Main(os.Args[1:])) },
		"lentil-standin": func() { os.Exit(emulator.Main(os.Args[1:])) },
		"request":        func() { os.Exit(sendRequest(os.Args[1:])) },
	})
}

// Compares the output, the errors and the exit codes of lentil with those
// recorded in cases/operator.
func TestOperator(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "cases/operator",
		Setup:               setUpOperator,
		RequireExplicitExec: true,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"exits":      runExits,
			"object-api": runObjectAPI,
			"object":     runObject,
		},
		UpdateScripts: os.Getenv("UPDATE_GOLDEN") != "",
	})
}

// Guards against daemons that start with invalid settings, and against error
// messages and help that do not say what to type instead.
func TestSettings(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "cases/settings",
		RequireExplicitExec: true,
		Cmds:                map[string]func(*testscript.TestScript, bool, []string){"exits": runExits},
		UpdateScripts:       os.Getenv("UPDATE_GOLDEN") != "",
	})
}

type objectAPIKey struct{}

// setUpOperator starts an object API for a session and sets the environment of
// lentil.
func setUpOperator(env *testscript.Env) error {
	api := &emulator.ObjectAPI{}
	server := httptest.NewServer(api)
	env.Defer(server.Close)
	env.Values[objectAPIKey{}] = api
	env.Setenv("LENTIL_OBJECT_API", server.URL)
	env.Setenv("LENTIL_AUTHOR", "mali")
	directory, err := os.Getwd()
	if err != nil {
		return err
	}
	env.Setenv("EXAMPLES", directory+"/../examples")
	return nil
}

// runExits runs a program that has to end with the given exit code:
//
//	exits 3 lentil check bad.yaml
func runExits(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: exits CODE PROGRAM ARGUMENT...")
	}
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	got := 0
	err = ts.Exec(args[1], args[2:]...)
	var exit *exec.ExitError
	switch {
	case errors.As(err, &exit):
		got = exit.ExitCode()
	case err != nil:
		ts.Fatalf("%v", err)
	}
	if got != want {
		ts.Fatalf("exit code %d, want %d", got, want)
	}
}

// runObjectAPI sets a fault of the object API:
//
//	object-api down|up|lose-answers N
func runObjectAPI(ts *testscript.TestScript, neg bool, args []string) {
	api := ts.Value(objectAPIKey{}).(*emulator.ObjectAPI)
	switch {
	case neg || len(args) == 0:
		ts.Fatalf("usage: object-api down|up|lose-answers N")
	case args[0] == "down":
		api.SetDown(true)
	case args[0] == "up":
		api.SetDown(false)
	case args[0] == "lose-answers" && len(args) == 2:
		n, err := strconv.Atoi(args[1])
		ts.Check(err)
		api.LoseAnswers(n)
	default:
		ts.Fatalf("unknown fault %q", args)
	}
}

// runObject writes a status object as a daemon would:
//
//	object status/central status.json
func runObject(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: object KEY FILE")
	}
	api := ts.Value(objectAPIKey{}).(*emulator.ObjectAPI)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	value := []byte(ts.ReadFile(args[1]))
	current, err := api.Get(ctx, args[0])
	var notFound *adapter.NotFoundError
	if errors.As(err, &notFound) {
		_, err = api.Create(ctx, args[0], value)
	} else if err == nil {
		_, err = api.Update(ctx, args[0], value, current.Version)
	}
	ts.Check(err)
}
