package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/lentilbridge/lentilbridge/internal/operator/publisher"
	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

const (
	outputTable = "table"
	outputJSON  = "json"
)

// session holds the common flags, the output and the publisher of one run of a
// subcommand.
type session struct {
	program    *Program
	subcommand subcommand
	objectAPI  string
	author     string
	output     string
	publisher  *publisher.Publisher
}

// configure validates the common flags and creates the publisher.
func (s *session) configure() error {
	if s.output != outputTable && s.output != outputJSON {
		return &UsageError{Message: fmt.Sprintf("output format %q does not exist", s.output), Suggestion: "write -o table or -o json"}
	}
	if s.subcommand.usesObjectAPI && s.objectAPI != "" {
		if _, err := adapter.ParseBaseURL(s.objectAPI); err != nil {
			return err
		}
	}
	author := s.author
	if author == "" {
		author = "unknown"
	}
	objects := s.program.Objects
	if objects == nil {
		objects = &adapter.HTTPObjectAPI{BaseURL: s.objectAPI}
	}
	s.publisher = &publisher.Publisher{Objects: objects, Author: author}
	return nil
}

// load reads the current revision.
func (s *session) load(ctx context.Context) (*parser.Revision, error) {
	if err := s.requireObjectAPI(); err != nil {
		return nil, err
	}
	revision, _, err := s.publisher.Load(ctx)
	return revision, err
}

// requireObjectAPI returns an error if the address of the object API is not set.
func (s *session) requireObjectAPI() error {
	if s.objectAPI == "" && s.program.Objects == nil {
		return &UsageError{Message: "the address of the object API is missing", Suggestion: "write --object-api http://HOST:PORT or set LENTIL_OBJECT_API"}
	}
	return nil
}

func (s *session) json() bool { return s.output == outputJSON }

func (s *session) printf(format string, args ...any) {
	fmt.Fprintf(s.program.Stdout, format, args...)
}

// writeJSON prints the value as indented JSON, without the HTML escapes that
// json.Marshal makes of characters such as "<".
func (s *session) writeJSON(value any) error {
	encoder := json.NewEncoder(s.program.Stdout)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// writeTable prints rows in columns, with headings in upper case.
func writeTable(w io.Writer, headings []string, rows [][]string) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	all := append([][]string{toUpperAll(headings)}, rows...)
	for _, row := range all {
		fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	_ = table.Flush()
}

func toUpperAll(words []string) []string {
	upper := make([]string, len(words))
	for i, w := range words {
		upper[i] = strings.ToUpper(w)
	}
	return upper
}

// parseRefs parses arguments of the form "KIND NAME..." or "KIND/NAME...".
func parseRefs(cmd subcommand, args []string) ([]parser.Ref, error) {
	if len(args) == 0 {
		return nil, checkArgumentCount(cmd, args, 1, -1)
	}
	if !strings.Contains(args[0], "/") {
		kind, err := parseKind(args[0])
		if err != nil {
			return nil, err
		}
		if len(args) < 2 {
			return nil, &UsageError{Message: "the name is missing", Suggestion: fmt.Sprintf("type lentil %s %s NAME", cmd.name, kind)}
		}
		refs := make([]parser.Ref, len(args)-1)
		for i, name := range args[1:] {
			refs[i] = parser.Ref{Kind: kind, Name: name}
		}
		return refs, nil
	}
	refs := make([]parser.Ref, len(args))
	for i, arg := range args {
		// Only the first slash is the separator: names of routes may contain
		// slashes.
		word, name, found := strings.Cut(arg, "/")
		if !found || name == "" {
			return nil, &UsageError{Message: fmt.Sprintf("%q is not KIND/NAME", arg), Suggestion: "write for example team/presses"}
		}
		kind, err := parseKind(word)
		if err != nil {
			return nil, err
		}
		refs[i] = parser.Ref{Kind: kind, Name: name}
	}
	return refs, nil
}

// parseKind parses the name of a kind, in the singular or plural.
func parseKind(word string) (string, error) {
	for _, kind := range parser.Kinds() {
		if word == kind || word == kind+"s" {
			return kind, nil
		}
	}
	suggestion := "write one of " + strings.Join(parser.Kinds(), ", ")
	if near := parser.Nearest(word, parser.Kinds()); near != "" {
		suggestion = "write " + near
	}
	return "", &UsageError{Message: fmt.Sprintf("kind %q does not exist", word), Suggestion: suggestion}
}

// findObject returns the object, or an error that suggests a similar name.
func findObject(revision *parser.Revision, ref parser.Ref) (parser.Object, error) {
	if o := revision.Set.Find(ref); o != nil {
		return o, nil
	}
	var names []string
	for _, o := range revision.Set.All() {
		if o.Ref().Kind == ref.Kind {
			names = append(names, o.Ref().Name)
		}
	}
	suggestion := "type lentil get " + ref.Kind + "s"
	if near := parser.Nearest(ref.Name, names); near != "" {
		suggestion = fmt.Sprintf("write %s/%s", ref.Kind, near)
	}
	return nil, &FailedError{Message: fmt.Sprintf("%s does not exist in revision %d", ref, revision.Number), Suggestion: suggestion}
}
