// Package commander implements lentil, the command-line program with which
// operators check, publish and read configuration objects.
package commander

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"golang.org/x/term"

	"github.com/lentilbridge/lentilbridge/internal/shared/explainer"
	"github.com/lentilbridge/lentilbridge/pkg/adapter"
)

// Program is one invocation of lentil.
type Program struct {
	Stdout io.Writer
	Stderr io.Writer
	// Terminal reports whether Stdout is a terminal, on which progress is shown
	// in one line that is overwritten.
	Terminal bool
	// Width is the number of columns of the terminal, or 0 if unknown.
	Width int
	// Author is the default value of --author.
	Author string
	// Objects is used in place of the object API at --object-api if it is set.
	Objects adapter.ObjectAPI
}

// Main runs the program and returns its exit code.
func Main(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	p := &Program{
		Stdout:   os.Stdout,
		Stderr:   os.Stderr,
		Terminal: term.IsTerminal(int(os.Stdout.Fd())),
		Author:   os.Getenv("USER"),
	}
	if width, _, err := term.GetSize(int(os.Stdout.Fd())); err == nil {
		p.Width = width
	}
	return p.Run(ctx, args)
}

// Run executes the subcommand given by the arguments and returns the exit code.
func (p *Program) Run(ctx context.Context, args []string) int {
	if len(args) == 0 {
		writeHelp(p.Stderr)
		return ExitUsage
	}
	if isHelpFlag(args[0]) || args[0] == "help" {
		return p.help(args[1:])
	}
	cmd, rest, err := findSubcommand(args)
	if err != nil {
		return p.fail("", err)
	}
	if err := p.runSubcommand(ctx, cmd, rest); err != nil {
		return p.fail(cmd.name, err)
	}
	return ExitDone
}

func (p *Program) help(args []string) int {
	if len(args) == 0 {
		writeHelp(p.Stdout)
		return ExitDone
	}
	cmd, _, err := findSubcommand(args)
	if err != nil {
		return p.fail("help", err)
	}
	fs, _, _ := p.flagSet(cmd)
	writeSubcommandHelp(p.Stdout, cmd, fs)
	return ExitDone
}

func (p *Program) runSubcommand(ctx context.Context, cmd subcommand, args []string) error {
	fs, s, run := p.flagSet(cmd)
	positional, err := parseArguments(fs, args)
	if errors.Is(err, flag.ErrHelp) {
		writeSubcommandHelp(p.Stdout, cmd, fs)
		return nil
	}
	if err != nil {
		return explainer.Explain("lentil "+cmd.name, fs, err)
	}
	if err := s.configure(); err != nil {
		return err
	}
	return run(ctx, s, positional)
}

// flagSet returns the flags of the subcommand, the session that receives the
// common flags, and the function that runs the subcommand.
func (p *Program) flagSet(cmd subcommand) (*flag.FlagSet, *session, runFunc) {
	fs := flag.NewFlagSet("lentil "+cmd.name, flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	fs.Usage = func() {}
	s := &session{program: p, subcommand: cmd}
	if cmd.usesObjectAPI {
		fs.StringVar(&s.objectAPI, "object-api", "", "`address` of the object API, for example http://127.0.0.1:7300")
	}
	if cmd.publishes {
		fs.StringVar(&s.author, "author", p.Author, "`name` that other operators see in conflicts")
	}
	fs.StringVar(&s.output, "o", outputTable, "output `format`: table or json")
	return fs, s, cmd.defineFlags(fs)
}

// parseArguments parses flags before, between and after positional arguments and
// returns the latter. Flags that are not given are taken from the environment
// variables with the prefix LENTIL_.
func parseArguments(fs *flag.FlagSet, args []string) ([]string, error) {
	var positional []string
	for {
		if err := ff.Parse(fs, args, ff.WithEnvVarPrefix(explainer.EnvPrefix)); err != nil {
			return nil, err
		}
		if fs.NArg() == 0 {
			return positional, nil
		}
		positional = append(positional, fs.Arg(0))
		args = fs.Args()[1:]
	}
}

func isHelpFlag(arg string) bool {
	return arg == "--help" || arg == "-help" || arg == "-h"
}

// fail prints the error and returns its exit code.
func (p *Program) fail(name string, err error) int {
	prefix := "lentil"
	if name != "" {
		prefix += " " + name
	}
	for line := range strings.SplitSeq(explainError(err), "\n") {
		fmt.Fprintf(p.Stderr, "%s: %s\n", prefix, line)
	}
	return exitCode(err)
}
