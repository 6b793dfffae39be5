package mfdemo

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"mothferry/mfclock"
)

// TestDemo checks that all checks of the demo pass.
func TestDemo(t *testing.T) {
	var out bytes.Buffer
	demo := &Demo{Clock: mfclock.System{}, Random: mfclock.SystemRandom{}, Out: &out}
	assert.NilError(t, demo.Run(t.Context()), out.String())
	assert.Equal(t, strings.Count(out.String(), "\nheld"), 8, out.String())
}
