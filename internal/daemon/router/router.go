// Package router implements the daemon of an entry VM. It admits and routes
// requests, distributes the configuration, and uses leases to divide claims,
// isolation, rollouts and status among the entry daemons.
package router

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of lentil-entry.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// Main runs the entry daemon until SIGINT or SIGTERM and returns its exit
// code.
func Main(args []string) int {
	cfg, err := parseSettings(args, os.Stdout)
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", programName, err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	d := &daemon{cfg: cfg}
	err = d.run(ctx)
	if err == nil {
		return exitOK
	}
	fmt.Fprintf(os.Stderr, "%s: %v\n", programName, err)
	var settingErr *SettingError
	if errors.As(err, &settingErr) {
		return exitUsage
	}
	return exitFailed
}
