// Package explainer prints the help text of command-line flags and converts errors of the flag
// parser to messages that say how to correct the command.
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

// EnvPrefix is the prefix of the environment variables that set flags.
const EnvPrefix = "LENTIL"

// Patterns of the error messages of packages flag and ff.
var (
	undefinedPattern = regexp.MustCompile(`^flag provided but not defined: -(.*)$`)
	missingPattern   = regexp.MustCompile(`^flag needs an argument: -(.*)$`)
	invalidPattern   = regexp.MustCompile(`^invalid (?:boolean )?value "(.*)" for (?:flag )?-([^:]*): `)
	envPattern       = regexp.MustCompile(`^error setting flag "(.*)" from environment variable "(.*)": `)
)

// FlagError reports an unknown flag or a wrong value, for example
//
//	flag --seed does not exist; write --seeds
type FlagError struct {
	Flag       string
	Message    string
	Suggestion string
}

func (e *FlagError) Error() string { return e.Message + "; " + e.Suggestion }

// WriteFlags writes one line per flag, in alphabetical order:
//
//	--seeds addresses  gRPC addresses of other entry daemons (default …)
//
// It omits default values that mean "none", and the defaults of the flags named in
// hiddenDefaults.
func WriteFlags(w io.Writer, fs *flag.FlagSet, hiddenDefaults ...string) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fs.VisitAll(func(f *flag.Flag) {
		placeholder, usage := flag.UnquoteUsage(f)
		if hasDefault(f, hiddenDefaults) {
			usage += " (default " + f.DefValue + ")"
		}
		fmt.Fprintf(table, "  %s\t%s\n", strings.TrimRight(withDashes(f.Name)+" "+placeholder, " "), usage)
	})
	_ = table.Flush()
}

// hasDefault reports whether the help shows the default value of the flag.
func hasDefault(f *flag.Flag, hiddenDefaults []string) bool {
	for _, name := range hiddenDefaults {
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

// withDashes returns a flag name with its dashes: -o, --seeds.
func withDashes(name string) string {
	if len(name) == 1 {
		return "-" + name
	}
	return "--" + name
}

// EnvName returns the name of the environment variable of a flag, for example
// LENTIL_RPC_ADDRESS for rpc-address.
func EnvName(name string) string {
	return EnvPrefix + "_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

// Explain converts an error of ff.Parse to a *FlagError. The command is the command line
// before the flags, for example "lentil apply".
func Explain(command string, fs *flag.FlagSet, err error) error {
	message := strings.TrimPrefix(err.Error(), "error parsing commandline arguments: ")
	message = strings.TrimPrefix(message, "error parsing environment variables: ")
	help := "type " + command + " --help"
	if m := undefinedPattern.FindStringSubmatch(message); m != nil {
		return undefinedFlagError(fs, m[1], help)
	}
	if m := missingPattern.FindStringSubmatch(message); m != nil {
		return &FlagError{m[1], "flag " + withDashes(m[1]) + " has no value", "write " + withDashes(m[1]) + " and " + exampleValue(fs.Lookup(m[1]))}
	}
	if m := invalidPattern.FindStringSubmatch(message); m != nil {
		return &FlagError{m[2], fmt.Sprintf("%s %q is not %s", withDashes(m[2]), m[1], typeName(fs.Lookup(m[2]))), "write " + exampleValue(fs.Lookup(m[2]))}
	}
	if m := envPattern.FindStringSubmatch(message); m != nil {
		return &FlagError{m[1], fmt.Sprintf("%s is not %s", m[2], typeName(fs.Lookup(m[1]))), "set it to " + exampleValue(fs.Lookup(m[1])) + " or unset it"}
	}
	return &FlagError{"", message, help}
}

// undefinedFlagError suggests the flag with the most similar name, or help if there is none.
func undefinedFlagError(fs *flag.FlagSet, name, help string) error {
	var names []string
	fs.VisitAll(func(f *flag.Flag) { names = append(names, f.Name) })
	suggestion := help
	if nearest := parser.Nearest(name, names); nearest != "" {
		suggestion = "write " + withDashes(nearest)
	}
	return &FlagError{name, "flag " + withDashes(name) + " does not exist", suggestion}
}

// typeName describes the type of the flag's value for messages.
func typeName(f *flag.Flag) string {
	switch flagValue(f).(type) {
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

// exampleValue describes a value that the flag accepts.
func exampleValue(f *flag.Flag) string {
	switch flagValue(f).(type) {
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

// flagValue returns the value of the flag, or nil if it is unknown.
func flagValue(f *flag.Flag) any {
	if f == nil {
		return nil
	}
	if getter, ok := f.Value.(flag.Getter); ok {
		return getter.Get()
	}
	return nil
}
