// Package mfyaml reads YAML strictly: an unknown field, a repeated field or a
// value of the wrong type is reported with its file, line and field, and
// later checks of the same text can name lines too.
package mfyaml

import (
	"bytes"
	"encoding"
	"errors"
	"fmt"
	"io"
	"reflect"
	"sort"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// Problem is one thing wrong with a text, and what would be right.
type Problem struct {
	File  string
	Line  int
	Field string
	Want  string
}

// String returns the problem as "file:line: field: what would be right".
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Field, p.Want)
}

// ErrInvalid reports all problems found in one text.
type ErrInvalid struct {
	Problems []Problem
}

// Error implements error.
func (e *ErrInvalid) Error() string {
	var lines []string
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// Validator collects the problems of one text.
type Validator struct {
	File     string
	lines    map[string]int
	problems []Problem
}

// Decode reads one YAML mapping from data into out, a pointer to a struct.
// Problems are collected in the returned Text; its Err reports them.
func Decode(file string, data []byte, out any) *Validator {
	t := &Validator{File: file, lines: map[string]int{}}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	var root yaml.Node
	if err := decoder.Decode(&root); err != nil {
		want := "must be YAML: " + strings.TrimPrefix(err.Error(), "yaml: ")
		if errors.Is(err, io.EOF) {
			want = "must not be empty"
		}
		t.add(1, "(text)", want)
		return t
	}
	var second yaml.Node
	if err := decoder.Decode(&second); !errors.Is(err, io.EOF) {
		t.add(max(second.Line, 1), "(text)", "must hold one YAML document only")
		return t
	}
	t.walk(root.Content[0], reflect.TypeOf(out).Elem(), "")
	if len(t.problems) > 0 {
		return t
	}
	if err := root.Decode(out); err != nil {
		t.add(1, "(text)", err.Error())
	}
	return t
}

// Reject notes a problem with a field, given by its dotted path.
func (t *Validator) Reject(field, want string, args ...any) {
	line, ok := t.lines[field]
	for path := field; !ok && strings.Contains(path, "."); {
		path = path[:strings.LastIndex(path, ".")]
		line, ok = t.lines[path]
	}
	if !ok {
		line = 1
	}
	t.add(line, field, fmt.Sprintf(want, args...))
}

// Err returns nil or an ErrInvalid with every problem, ordered by line.
func (t *Validator) Err() error {
	if len(t.problems) == 0 {
		return nil
	}
	sort.SliceStable(t.problems, func(i, j int) bool { return t.problems[i].Line < t.problems[j].Line })
	return &ErrInvalid{Problems: t.problems}
}

func (t *Validator) add(line int, field, want string) {
	t.problems = append(t.problems, Problem{File: t.File, Line: line, Field: field, Want: want})
}

var (
	durationType        = reflect.TypeFor[time.Duration]()
	textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// walk compares a node with the type it will be decoded into.
func (t *Validator) walk(n *yaml.Node, want reflect.Type, path string) {
	if n.Kind == yaml.AliasNode {
		t.add(n.Line, path, "must not be an alias")
		return
	}
	switch {
	case want.Kind() == reflect.Pointer:
		t.walk(n, want.Elem(), path)
	case want == durationType || reflect.PointerTo(want).Implements(textUnmarshalerType):
		t.walkScalar(n, want, path)
	case want.Kind() == reflect.Struct:
		t.walkStruct(n, want, path)
	case want.Kind() == reflect.Map:
		t.walkMap(n, want, path)
	case want.Kind() == reflect.Slice:
		t.walkList(n, want, path)
	default:
		t.walkScalar(n, want, path)
	}
}

func (t *Validator) walkStruct(n *yaml.Node, want reflect.Type, path string) {
	fields := map[string]reflect.Type{}
	var names []string
	for i := range want.NumField() {
		f := want.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		fields[name] = f.Type
		names = append(names, name)
	}
	t.eachField(n, path, func(key, value *yaml.Node, field string) {
		kind, ok := fields[key.Value]
		if !ok {
			t.add(key.Line, field, "is not known here; known are "+strings.Join(names, ", "))
			return
		}
		t.walk(value, kind, field)
	})
}

func (t *Validator) walkMap(n *yaml.Node, want reflect.Type, path string) {
	t.eachField(n, path, func(_, value *yaml.Node, field string) {
		t.walk(value, want.Elem(), field)
	})
}

// eachField visits the entries of a mapping and reports repeated ones.
func (t *Validator) eachField(n *yaml.Node, path string, visit func(key, value *yaml.Node, field string)) {
	if n.Kind != yaml.MappingNode {
		t.add(n.Line, pathOrText(path), "must be a mapping of fields")
		return
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key := n.Content[i]
		field := join(path, key.Value)
		t.lines[field] = key.Line
		if seen[key.Value] {
			t.add(key.Line, field, "must be given once only")
			continue
		}
		seen[key.Value] = true
		visit(key, n.Content[i+1], field)
	}
}

func (t *Validator) walkList(n *yaml.Node, want reflect.Type, path string) {
	if n.Kind != yaml.SequenceNode {
		t.add(n.Line, path, "must be a list")
		return
	}
	for i, c := range n.Content {
		field := fmt.Sprintf("%s.%d", path, i)
		t.lines[field] = c.Line
		t.walk(c, want.Elem(), field)
	}
}

func (t *Validator) walkScalar(n *yaml.Node, want reflect.Type, path string) {
	if n.Kind != yaml.ScalarNode {
		t.add(n.Line, pathOrText(path), "must be a single value")
		return
	}
	value := reflect.New(want)
	err := n.Decode(value.Interface())
	if err == nil {
		return
	}
	t.add(n.Line, path, fmt.Sprintf("must be %s, not %q", describe(want, err), n.Value))
}

func describe(want reflect.Type, err error) string {
	switch {
	case want == durationType:
		return "a duration such as 1s or 250ms"
	case reflect.PointerTo(want).Implements(textUnmarshalerType):
		return err.Error()
	case want.Kind() == reflect.Bool:
		return "true or false"
	case want.Kind() == reflect.Float64:
		return "a number"
	case want.Kind() == reflect.String:
		return "a text"
	default:
		return "a whole number"
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func pathOrText(path string) string {
	if path == "" {
		return "(text)"
	}
	return path
}
