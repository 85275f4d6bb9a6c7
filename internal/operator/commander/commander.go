// Package commander is the entry point of lentil, the program with which
// operators check, publish and read objects.
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

// Program is one call of lentil.
type Program struct {
	Stdout io.Writer
	Stderr io.Writer
	// Terminal turns the progress display on.
	Terminal bool
	// Width is the number of columns of the terminal; 0 when not known.
	Width int
	// Author is the default of --author.
	Author string
	// Objects replaces the object API that --object-api names.
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

// Run executes the subcommand that the arguments name.
func (p *Program) Run(ctx context.Context, args []string) int {
	if len(args) == 0 {
		writeHelp(p.Stderr)
		return ExitUsage
	}
	if isHelpFlag(args[0]) || args[0] == "help" {
		return p.help(args[1:])
	}
	v, rest, err := findVerb(args)
	if err != nil {
		return p.fail("", err)
	}
	if err := p.runVerb(ctx, v, rest); err != nil {
		return p.fail(v.name, err)
	}
	return ExitDone
}

func (p *Program) help(args []string) int {
	if len(args) == 0 {
		writeHelp(p.Stdout)
		return ExitDone
	}
	v, _, err := findVerb(args)
	if err != nil {
		return p.fail("help", err)
	}
	fs, _, _ := p.flagSet(v)
	writeVerbHelp(p.Stdout, v, fs)
	return ExitDone
}

func (p *Program) runVerb(ctx context.Context, v verb, args []string) error {
	fs, s, run := p.flagSet(v)
	positional, err := parseArguments(fs, args)
	if errors.Is(err, flag.ErrHelp) {
		writeVerbHelp(p.Stdout, v, fs)
		return nil
	}
	if err != nil {
		return explainer.Explain("lentil "+v.name, fs, err)
	}
	if err := s.start(); err != nil {
		return err
	}
	return run(ctx, s, positional)
}

func (p *Program) flagSet(v verb) (*flag.FlagSet, *session, runner) {
	fs := flag.NewFlagSet("lentil "+v.name, flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	fs.Usage = func() {}
	s := &session{program: p, verb: v}
	if v.objects {
		fs.StringVar(&s.objectAPI, "object-api", "", "`address` of the object API, for example http://127.0.0.1:7300")
	}
	if v.publishes {
		fs.StringVar(&s.author, "author", p.Author, "`name` that other operators see in conflicts")
	}
	fs.StringVar(&s.output, "o", outputTable, "output `format`: table or json")
	return fs, s, v.setUp(fs)
}

// parseArguments accepts flags before and after the other arguments. Flags
// that are not given are taken from LENTIL_… environment variables.
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

func (p *Program) fail(name string, err error) int {
	prefix := "lentil"
	if name != "" {
		prefix += " " + name
	}
	for line := range strings.SplitSeq(explain(err), "\n") {
		fmt.Fprintf(p.Stderr, "%s: %s\n", prefix, line)
	}
	return exitCode(err)
}
