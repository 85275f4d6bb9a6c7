package parser

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"sort"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

const (
	// maxFileBytes is the limit for one file, maxTotalBytes for all files of one
	// call to ReadPaths.
	maxFileBytes  = 8 << 20
	maxTotalBytes = 64 << 20
	maxFiles      = 10_000
	// MaxObjects is the maximum number of objects in a set.
	MaxObjects = 100_000
)

// Declared is an object with its position in the source file.
type Declared struct {
	Object Object
	File   string
	Line   int
	// FieldLines maps each field that the file sets to its line. The keys of
	// list items have the form of ItemField, for example "adapters[0]".
	FieldLines map[string]int
	// Invalid holds the fields for which a problem is already reported.
	Invalid map[string]bool
}

// LineOf returns the line of the field, or of the object if the file does not
// set the field.
func (d *Declared) LineOf(field string) int {
	if line, set := d.FieldLines[field]; set {
		return line
	}
	return d.Line
}

// Declaration is a set of objects with their positions in the source files.
type Declaration struct {
	Set     *Set
	Objects []*Declared
	// Problems holds the problems that were found while parsing the files.
	Problems []Problem

	index map[Ref]*Declared
}

// NewDeclaration returns an empty declaration.
func NewDeclaration() *Declaration {
	return &Declaration{Set: NewSet(), index: map[Ref]*Declared{}}
}

// Add adds the object, or a problem if the declaration already contains an
// object of the same kind and name.
func (d *Declaration) Add(o *Declared) {
	ref := o.Object.Ref()
	if d.Set.Add(o.Object) {
		d.Objects = append(d.Objects, o)
		d.index[ref] = o
		return
	}
	message := "the name is used twice"
	if first := d.Find(ref); first != nil {
		message = fmt.Sprintf("the name is also declared at %s:%d", first.File, first.Line)
	}
	d.Problems = append(d.Problems, Problem{
		File: o.File, Line: o.LineOf("name"), Object: ref, Field: "name",
		Message: message, Suggestion: "write another name or delete one of the two",
	})
}

// Find returns the declared object, or nil if the declaration does not contain
// it.
func (d *Declaration) Find(ref Ref) *Declared {
	return d.index[ref]
}

// PathError reports a path that cannot be read or exceeds a limit.
type PathError struct {
	Path       string
	Suggestion string
	Cause      error
}

func (e *PathError) Error() string {
	message := "cannot read " + e.Path
	if e.Cause != nil {
		var path *fs.PathError
		cause := e.Cause
		if errors.As(cause, &path) {
			cause = path.Err
		}
		message += ": " + cause.Error()
	}
	return message + "; " + e.Suggestion
}

func (e *PathError) Unwrap() error { return e.Cause }

// ReadPaths parses files and directories. In a directory it parses the .yaml,
// .yml and .json files, recursively. Problems in the content of files are
// returned in the declaration; the error reports paths that cannot be read.
func ReadPaths(paths []string) (*Declaration, error) {
	files, err := expandPaths(paths)
	if err != nil {
		return nil, err
	}
	d := NewDeclaration()
	total := 0
	for _, file := range files {
		data, err := readFile(file)
		if err != nil {
			return nil, err
		}
		total += len(data)
		if total > maxTotalBytes {
			return nil, &PathError{Path: file, Suggestion: fmt.Sprintf("give files of at most %d bytes in all", maxTotalBytes)}
		}
		d.ReadFile(file, data)
	}
	SortProblems(d.Problems)
	return d, nil
}

// ReadFile parses the content of one file and adds its objects and problems.
func (d *Declaration) ReadFile(file string, data []byte) {
	if len(data) > maxFileBytes {
		d.Problems = append(d.Problems, Problem{
			File: file, Message: fmt.Sprintf("the file has %d bytes", len(data)),
			Suggestion: fmt.Sprintf("split it into files of at most %d bytes", maxFileBytes),
		})
		return
	}
	if strings.HasSuffix(file, ".json") {
		data = replaceTabs(data)
	}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	for {
		var document yaml.Node
		err := decoder.Decode(&document)
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			d.Problems = append(d.Problems, syntaxProblem(file, err))
			return
		}
		d.readDocument(file, &document)
	}
}

func (d *Declaration) readDocument(file string, document *yaml.Node) {
	if len(document.Content) == 0 {
		return
	}
	root := document.Content[0]
	if root.Kind == yaml.ScalarNode && root.ShortTag() == "!!null" {
		return
	}
	objects := []*yaml.Node{root}
	if root.Kind == yaml.SequenceNode {
		objects = root.Content
	}
	for _, node := range objects {
		if len(d.Objects) >= MaxObjects {
			d.Problems = append(d.Problems, Problem{
				File: file, Line: node.Line, Message: "there are too many objects",
				Suggestion: fmt.Sprintf("declare at most %d", MaxObjects),
			})
			return
		}
		o, problems := decodeObject(file, node)
		d.Problems = append(d.Problems, problems...)
		if o != nil {
			d.Add(o)
		}
	}
}

func expandPaths(paths []string) ([]string, error) {
	var files []string
	seen := map[string]bool{}
	for _, path := range paths {
		err := filepath.WalkDir(path, func(name string, entry fs.DirEntry, err error) error {
			if err != nil {
				return &PathError{Path: name, Suggestion: "give a file or a directory that exists", Cause: err}
			}
			if entry.IsDir() || seen[name] || (name != path && !isObjectFile(name)) {
				return nil
			}
			seen[name] = true
			files = append(files, name)
			if len(files) > maxFiles {
				return &PathError{Path: path, Suggestion: fmt.Sprintf("give at most %d files", maxFiles)}
			}
			return nil
		})
		if err != nil {
			return nil, err
		}
	}
	if len(files) == 0 {
		return nil, &PathError{Path: strings.Join(paths, " "), Suggestion: "give a directory with .yaml, .yml or .json files"}
	}
	sort.Strings(files)
	return files, nil
}

func isObjectFile(name string) bool {
	switch filepath.Ext(name) {
	case ".yaml", ".yml", ".json":
		return true
	}
	return false
}

// readFile reads at most one byte more than maxFileBytes, so that ReadFile can
// detect a file above the limit.
func readFile(name string) ([]byte, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, &PathError{Path: name, Suggestion: "give a file that can be read", Cause: err}
	}
	defer func() { _ = f.Close() }()
	data, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return nil, &PathError{Path: name, Suggestion: "give a file that can be read", Cause: err}
	}
	return data, nil
}

// replaceTabs replaces tabs outside of strings with spaces, because JSON allows
// tabs in places where YAML does not.
func replaceTabs(data []byte) []byte {
	replaced := bytes.Clone(data)
	inString := false
	for i := 0; i < len(replaced); i++ {
		switch {
		case replaced[i] == '"':
			inString = !inString
		case replaced[i] == '\\' && inString:
			i++
		case replaced[i] == '\t' && !inString:
			replaced[i] = ' '
		}
	}
	return replaced
}

// yamlErrorPattern extracts the line and message from a YAML syntax error.
var yamlErrorPattern = regexp.MustCompile(`^yaml: (?:line (\d+): )?(.*)$`)

// syntaxProblem converts a syntax error of the YAML library into a Problem.
func syntaxProblem(file string, err error) Problem {
	p := Problem{File: file, Message: err.Error(), Suggestion: "correct the YAML or JSON syntax"}
	first, _, _ := strings.Cut(err.Error(), "\n")
	if m := yamlErrorPattern.FindStringSubmatch(first); m != nil {
		p.Line, _ = strconv.Atoi(m[1])
		p.Message = m[2]
	}
	return p
}
