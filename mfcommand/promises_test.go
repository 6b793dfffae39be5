package mfcommand

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestPromisesNameTests checks that each test named in docs/PROMISES.md exists.
func TestPromisesNameTests(t *testing.T) {
	page, err := os.ReadFile("../docs/PROMISES.md")
	assert.NilError(t, err)
	exist := map[string]bool{}
	declared := regexp.MustCompile(`(?m)^func (Test\w+)\(`)
	assert.NilError(t, filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		for _, m := range declared.FindAllSubmatch(source, -1) {
			exist[string(m[1])] = true
		}
		return err
	}))
	for _, name := range regexp.MustCompile("`(Test\\w+)`").FindAllSubmatch(page, -1) {
		assert.Check(t, exist[string(name[1])], "%s is named and does not exist", name[1])
	}
}
