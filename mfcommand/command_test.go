package mfcommand

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"mothferry/mfclock"
)

func run(t *testing.T, arguments ...string) (code int, out, errs string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	e := &Environment{Out: &stdout, Err: &stderr, Clock: mfclock.System{}, Random: mfclock.SystemRandom{}, Getenv: func(string) string { return "" }, Version: "test"}
	code = Run(t.Context(), e, arguments)
	return code, stdout.String(), stderr.String()
}

// TestReference keeps docs/COMMANDS.md equal to the program; -update writes it.
func TestReference(t *testing.T) {
	e := &Environment{Getenv: func(string) string { return "" }, Err: &bytes.Buffer{}}
	golden.Assert(t, Reference(e), filepath.Join("..", "..", "docs", "COMMANDS.md"))
}

func TestCheck(t *testing.T) {
	code, out, _ := run(t, "check", "../mfexample/documents/kelani.quoting.yaml")
	assert.Equal(t, code, exitOK)
	assert.Assert(t, strings.Contains(out, "service quoting is well formed"))
	bad := filepath.Join(t.TempDir(), "bad.yaml")
	assert.NilError(t, os.WriteFile(bad, []byte("service: quoting\nrunnners: 3\n"), 0o600))
	code, _, errs := run(t, "check", bad)
	assert.Equal(t, code, exitInvalid)
	assert.Assert(t, strings.Contains(errs, bad+":2: runnners: is not known here"), errs)
}

func TestUsage(t *testing.T) {
	for _, k := range []struct {
		arguments string
		code      int
		says      string
	}{
		{"", exitUsage, "Commands:"},
		{"nonsense", exitUsage, "no command"},
		{"help nonsense", exitUsage, "no command"},
		{"serve", exitUsage, "--settings"},
		{"serve --settings /nonexistent", exitFailed, "nonexistent"},
		{"get", exitUsage, "name one service"},
		{"apply x", exitUsage, "--author"},
		{"status --output xml", exitUsage, "text or json"},
		{"status --operator http://127.0.0.1:1", exitNoReply, "MOTHFERRY_OPERATOR"},
	} {
		code, _, errs := run(t, strings.Fields(k.arguments)...)
		assert.Equal(t, code, k.code, k.arguments)
		assert.Assert(t, strings.Contains(errs, k.says), "%s: %s", k.arguments, errs)
	}
	code, out, _ := run(t, "help", "apply")
	assert.Equal(t, code, exitOK)
	assert.Assert(t, strings.Contains(out, "-wait"))
}
