package mfcommand

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const sampleLogs = `  1.0 host-a {"fields":{"daemon":"host-a","job":"j-1","outcome":"done"},"level":"info","timestamp":"2026-01-01T00:00:01Z","message":"job is handed in"}
  3.0 host-b {"fields":{"daemon":"host-b","worker":"w-1"},"level":"info","timestamp":"2026-01-01T00:00:03Z","message":"worker does not answer"}
  2.0 host-b {"fields":{"daemon":"host-b","job":"j-1","workers":["w-1"]},"level":"info","timestamp":"2026-01-01T00:00:02Z","message":"tasks are placed"}
  3.0 host-b {"fields":{"daemon":"host-b","worker":"w-2"},"level":"info","timestamp":"2026-01-01T00:00:03Z","message":"worker does not answer"}
not a line of a daemon
  4.0 host-b {"fields":{"daemon":"host-b","job":"j-1","state":"completed"},"level":"info","timestamp":"2026-01-01T00:00:04Z","message":"job is over"}
  9.0 host-b {"fields":{"daemon":"host-b","worker":"w-1"},"level":"info","timestamp":"2026-01-01T00:00:09Z","message":"worker answers"}
`

func TestExplainPrintsJobLines(t *testing.T) {
	file := filepath.Join(t.TempDir(), "log")
	assert.NilError(t, os.WriteFile(file, []byte(sampleLogs), 0o600))
	var out, errors bytes.Buffer
	e := &Environment{Out: &out, Err: &errors, Getenv: func(string) string { return "" }}
	assert.Equal(t, Run(context.Background(), e, []string{"explain", "j-1", file}), exitOK, errors.String())
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Equal(t, len(lines), 4)
	for i, want := range []string{"handed in", "placed", "does not answer", "over"} {
		assert.Assert(t, strings.Contains(lines[i], want), lines[i])
	}
	assert.Equal(t, Run(context.Background(), e, []string{"explain", "j-2", file}), exitFailed)
}

func TestPlayPrintsResults(t *testing.T) {
	var out, errors bytes.Buffer
	e := &Environment{Out: &out, Err: &errors, Getenv: func(string) string { return "" }}
	code := Run(context.Background(), e, []string{"play", "--output", "json", "../mfexample/loads/turns.yaml"})
	assert.Equal(t, code, exitOK, errors.String())
	assert.Assert(t, strings.Contains(out.String(), `"in_time":`))
	assert.Equal(t, Run(context.Background(), e, []string{"play"}), exitUsage)
	assert.Equal(t, Run(context.Background(), e, []string{"play", "nowhere.yaml"}), exitFailed)
}
