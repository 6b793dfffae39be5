package mfsetting

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// fields lists the dotted paths of a settings type's fields.
func fields(t reflect.Type, path string) []string {
	var names []string
	for i := range t.NumField() {
		f := t.Field(i)
		name := path + f.Tag.Get("yaml")
		if f.Type.Kind() == reflect.Struct {
			names = append(names, fields(f.Type, name+".")...)
			continue
		}
		names = append(names, name)
	}
	return names
}

// TestReference checks that docs/OPERATIONS.md names every field of the
// settings, and no other.
func TestReference(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	assert.NilError(t, err)
	_, rest, _ := strings.Cut(string(page), "## Settings")
	section, _, _ := strings.Cut(rest, "\n## ")
	named := map[string]bool{}
	for _, line := range strings.Split(section, "\n") {
		cells := strings.Split(line, "|")
		if len(cells) < 4 {
			continue
		}
		for i, word := range strings.Split(cells[1], "`") {
			if i%2 == 1 {
				named[word] = true
			}
		}
	}
	for _, f := range fields(reflect.TypeFor[Settings](), "") {
		assert.Check(t, named[f], "%s is not in docs/OPERATIONS.md", f)
		delete(named, f)
	}
	assert.Equal(t, len(named), 0, "docs/OPERATIONS.md names unknown settings: %v", named)
}
