package commander

import (
	"context"
	"encoding/json"
	"flag"
	"strings"

	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// tableDigestDigits is the number of digits of a digest shown in tables.
const tableDigestDigits = 12

var getSubcommand = subcommand{
	name:      "get",
	arguments: "[KIND [NAME...] | KIND/NAME... | blocks | revision]",
	summary:   "list published objects or blocked requests",
	details: `Get lists all published objects, those of one kind, or single ones. With -o json
the output can be edited and given to lentil apply. "get blocks" lists requests
that are blocked because they crashed backend servers; "get revision" prints the
number of the current revision.`,
	example:       "lentil get fleets\nlentil get -o json team presses",
	usesObjectAPI: true,
	defineFlags:   func(*flag.FlagSet) runFunc { return runGet },
}

func runGet(ctx context.Context, s *session, args []string) error {
	if len(args) > 0 && (args[0] == "blocks" || args[0] == "block") {
		return s.getBlocks(ctx, args)
	}
	if len(args) > 0 && args[0] == "revision" {
		return s.getRevision(ctx, args)
	}
	revision, err := s.load(ctx)
	if err != nil {
		return err
	}
	objects, kind, err := selectObjects(s.subcommand, revision, args)
	if err != nil {
		return err
	}
	if s.json() {
		return s.writeJSON(objects)
	}
	if len(objects) == 0 {
		s.printf("no objects in revision %d\n", revision.Number)
		return nil
	}
	if kind == "" {
		s.writeKindTable(objects)
		return nil
	}
	s.writeFieldTable(kind, objects)
	return nil
}

func (s *session) getRevision(ctx context.Context, args []string) error {
	if err := checkArgumentCount(s.subcommand, args, 1, 1); err != nil {
		return err
	}
	if err := s.requireObjectAPI(); err != nil {
		return err
	}
	head, _, err := s.publisher.ReadHead(ctx)
	if err != nil {
		return err
	}
	s.printf("%d\n", head.Revision)
	return nil
}

// selectObjects returns the objects given by the arguments. The second result is
// their kind, or empty if they are of several kinds or all objects are selected.
func selectObjects(cmd subcommand, revision *parser.Revision, args []string) ([]parser.Object, string, error) {
	all := revision.Set.All()
	if len(args) == 0 {
		return append([]parser.Object{}, all...), "", nil
	}
	if len(args) == 1 && !strings.Contains(args[0], "/") {
		kind, err := parseKind(args[0])
		if err != nil {
			return nil, "", err
		}
		selected := []parser.Object{}
		for _, o := range all {
			if o.Ref().Kind == kind {
				selected = append(selected, o)
			}
		}
		return selected, kind, nil
	}
	refs, err := parseRefs(cmd, args)
	if err != nil {
		return nil, "", err
	}
	selected := []parser.Object{}
	kind := refs[0].Kind
	for _, ref := range refs {
		o, err := findObject(revision, ref)
		if err != nil {
			return nil, "", err
		}
		selected = append(selected, o)
		if ref.Kind != kind {
			kind = ""
		}
	}
	return selected, kind, nil
}

// writeKindTable prints the kinds and names of the objects.
func (s *session) writeKindTable(objects []parser.Object) {
	rows := make([][]string, len(objects))
	for i, o := range objects {
		rows[i] = []string{o.Ref().Kind, o.Ref().Name}
	}
	writeTable(s.program.Stdout, []string{"kind", "name"}, rows)
}

// writeFieldTable prints objects of one kind, with a column for each field that
// at least one of them sets.
func (s *session) writeFieldTable(kind string, objects []parser.Object) {
	values := make([]map[string]string, len(objects))
	for i, o := range objects {
		values[i] = formatFields(o)
	}
	var headings []string
	for _, field := range parser.FieldNames(kind) {
		if field != "kind" && anySet(values, field) {
			headings = append(headings, field)
		}
	}
	rows := make([][]string, len(objects))
	for i := range objects {
		for _, field := range headings {
			value := values[i][field]
			if value == "" {
				value = "-"
			}
			rows[i] = append(rows[i], value)
		}
	}
	writeTable(s.program.Stdout, headings, rows)
}

func anySet(values []map[string]string, field string) bool {
	for _, v := range values {
		if v[field] != "" {
			return true
		}
	}
	return false
}

// formatFields returns the fields of the object as text for a table.
func formatFields(o parser.Object) map[string]string {
	shown := map[string]string{}
	for _, d := range parser.Differences(nil, o) {
		shown[d.Field] = formatValue(d.After, tableDigestDigits)
	}
	return shown
}

// formatValue formats a JSON value for a table. Strings have no quotes, lists of
// strings are joined with commas, and digests are cut to the given number of
// digits.
func formatValue(value string, digits int) string {
	var text string
	if json.Unmarshal([]byte(value), &text) == nil {
		return shortenDigest(text, digits)
	}
	var list []string
	if json.Unmarshal([]byte(value), &list) == nil {
		for i := range list {
			list[i] = shortenDigest(list[i], digits)
		}
		return strings.Join(list, ",")
	}
	return value
}

func shortenDigest(text string, digits int) string {
	const digestDigits = 64
	if len(text) != digestDigits || strings.Trim(text, "0123456789abcdef") != "" {
		return text
	}
	return text[:min(digits, digestDigits)]
}
