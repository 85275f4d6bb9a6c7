// Package explainer writes the help of a program's flags and turns errors of
// the flag parser into messages that say what to type instead.
package explainer

import (
	"flag"
	"fmt"
	"io"
	"regexp"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// EnvPrefix is the prefix of the environment variables of flags.
const EnvPrefix = "LENTIL"

var (
	undefinedPattern = regexp.MustCompile(`^flag provided but not defined: -(.*)$`)
	missingPattern   = regexp.MustCompile(`^flag needs an argument: -(.*)$`)
	invalidPattern   = regexp.MustCompile(`^invalid (?:boolean )?value "(.*)" for (?:flag )?-([^:]*): `)
	envPattern       = regexp.MustCompile(`^error setting flag "(.*)" from environment variable "(.*)": `)
)

// FlagError reports a flag that cannot be used, for example
//
//	flag --seed does not exist; write --seeds
type FlagError struct {
	Flag       string
	Message    string
	Suggestion string
}

func (e *FlagError) Error() string { return e.Message + "; " + e.Suggestion }

// WriteFlags writes one line for each flag, in the order of their names:
//
//	--seeds addresses  gRPC addresses of other entry daemons (default …)
//
// Defaults that stand for "nothing" are left out, and those of the flags named
// in hidden.
func WriteFlags(w io.Writer, fs *flag.FlagSet, hidden ...string) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fs.VisitAll(func(f *flag.Flag) {
		placeholder, usage := flag.UnquoteUsage(f)
		if hasDefault(f, hidden) {
			usage += " (default " + f.DefValue + ")"
		}
		fmt.Fprintf(table, "  %s\t%s\n", strings.TrimRight(Dashes(f.Name)+" "+placeholder, " "), usage)
	})
	_ = table.Flush()
}

func hasDefault(f *flag.Flag, hidden []string) bool {
	for _, name := range hidden {
		if f.Name == name {
			return false
		}
	}
	switch f.DefValue {
	case "", "false", "0", "-1":
		return false
	}
	return true
}

// Dashes returns the flag as it is typed: -o, --seeds.
func Dashes(name string) string {
	if len(name) == 1 {
		return "-" + name
	}
	return "--" + name
}

// EnvName returns the environment variable of a flag: LENTIL_RPC_ADDRESS for
// rpc-address.
func EnvName(name string) string {
	return EnvPrefix + "_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

// Explain turns an error of ff.Parse into a *FlagError. The command is what
// precedes the flags, for example "lentil apply".
func Explain(command string, fs *flag.FlagSet, err error) error {
	message := strings.TrimPrefix(err.Error(), "error parsing commandline arguments: ")
	message = strings.TrimPrefix(message, "error parsing environment variables: ")
	help := "type " + command + " --help"
	if m := undefinedPattern.FindStringSubmatch(message); m != nil {
		return undefined(fs, m[1], help)
	}
	if m := missingPattern.FindStringSubmatch(message); m != nil {
		return &FlagError{m[1], "flag " + Dashes(m[1]) + " has no value", "write " + Dashes(m[1]) + " and " + example(fs.Lookup(m[1]))}
	}
	if m := invalidPattern.FindStringSubmatch(message); m != nil {
		return &FlagError{m[2], fmt.Sprintf("%s %q is not %s", Dashes(m[2]), m[1], kind(fs.Lookup(m[2]))), "write " + example(fs.Lookup(m[2]))}
	}
	if m := envPattern.FindStringSubmatch(message); m != nil {
		return &FlagError{m[1], fmt.Sprintf("%s is not %s", m[2], kind(fs.Lookup(m[1]))), "set it to " + example(fs.Lookup(m[1])) + " or unset it"}
	}
	return &FlagError{"", message, help}
}

func undefined(fs *flag.FlagSet, name, help string) error {
	var names []string
	fs.VisitAll(func(f *flag.Flag) { names = append(names, f.Name) })
	suggestion := help
	if near := parser.Nearest(name, names); near != "" {
		suggestion = "write " + Dashes(near)
	}
	return &FlagError{name, "flag " + Dashes(name) + " does not exist", suggestion}
}

// kind names the type of a flag's value.
func kind(f *flag.Flag) string {
	switch value(f).(type) {
	case time.Duration:
		return "a duration"
	case bool:
		return "true or false"
	case int, int64, uint, uint64:
		return "a whole number"
	case float64:
		return "a number"
	}
	return "a value"
}

// example is a value that the flag accepts.
func example(f *flag.Flag) string {
	switch value(f).(type) {
	case time.Duration:
		return "a duration such as 500ms, 30s or 10m"
	case bool:
		return "true or false"
	case int, int64, uint, uint64:
		return "a whole number such as 64"
	case float64:
		return "a number such as 0.5"
	}
	return "a value"
}

func value(f *flag.Flag) any {
	if f == nil {
		return nil
	}
	if getter, ok := f.Value.(flag.Getter); ok {
		return getter.Get()
	}
	return nil
}
