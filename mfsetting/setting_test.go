package mfsetting

import (
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfyaml"
)

const validSettings = `daemon: entry-1
data_centre: dc1
listen:
  callers: 127.0.0.1:7300
  peers: 127.0.0.1:7301
  operators: 127.0.0.1:7302
platform:
  url: http://127.0.0.1:7400
peers:
  - {daemon: entry-2, data_centre: dc1, address: '127.0.0.2:7301'}
  - {daemon: entry-3, data_centre: dc2, address: '127.0.0.3:7301'}
`

func TestParse(t *testing.T) {
	s, err := Parse("good.yaml", []byte(validSettings))
	assert.NilError(t, err)
	assert.Equal(t, s.Timing.Notice, 3*time.Second)
	assert.DeepEqual(t, s.EntryHosts(), []mothferry.DaemonID{"entry-1", "entry-2"})
}

// TestRolesAreSeparate: symptom, a daemon whose entry is switched off holds no
// shard either. Cause: both defaults were the same variable.
func TestRolesAreSeparate(t *testing.T) {
	s, err := Parse("good.yaml", []byte(validSettings+"roles: {entry: false}\n"))
	assert.NilError(t, err)
	assert.Assert(t, !s.Roles.Entry && s.Roles.Control)
}

// TestParseRejects shows that each unknown or impossible field is refused
// with its file, line and field, and what would be right.
func TestParseRejects(t *testing.T) {
	for _, k := range []struct {
		name, from, to string
		line           int
		field, want    string
	}{
		{"unknown field", "daemon: entry-1", "deamon: entry-1", 1, "deamon", "known are daemon,"},
		{"repeated field", "data_centre: dc1\n", "data_centre: dc1\ndata_centre: dc2\n", 3, "data_centre", "once only"},
		{"missing id", "daemon: entry-1", "daemon: ''", 1, "daemon", "must name this daemon"},
		{"host name", "callers: 127.0.0.1:7300", "callers: localhost:7300", 4, "listen.callers", "IP number"},
		{"no port", "peers: 127.0.0.1:7301", "peers: 127.0.0.1", 5, "listen.peers", "IP number and port"},
		{"platform by name", "http://127.0.0.1:7400", "http://platform:7400", 8, "platform.url", "IP number"},
		{"not a URL", "http://127.0.0.1:7400", "7400", 8, "platform.url", "URL"},
		{"two peers alike", "entry-3", "entry-2", 11, "peers.1.daemon", "no other entry has"},
		{"peer without centre", "data_centre: dc2, ", "", 11, "peers.1.data_centre", "must name"},
		{"not a duration", "http://127.0.0.1:7400\n", "http://127.0.0.1:7400\n  timeout: soon\n", 9, "platform.timeout", "a duration such as"},
		{"lease too short", "peers:\n", "timing: {lease: 100ms}\npeers:\n", 9, "timing.lease", "three times timing.control"},
		{"share above one", "peers:\n", "limits: {eject_share: 1.5}\npeers:\n", 9, "limits.eject_share", "from 0 to 1"},
		{"no weight", "peers:\n", "weights: {buffer: 0, moves: 0}\npeers:\n", 9, "weights", "above 0"},
		{"wrong level", "peers:\n", "log: {parts: {entry: loud}}\npeers:\n", 9, "log.parts.entry", "debug, info"},
		{"list for mapping", "platform:\n  url: http://127.0.0.1:7400", "platform: [a]", 7, "platform", "mapping"},
		{"mapping for value", "daemon: entry-1", "daemon: {a: b}", 1, "daemon", "single value"},
	} {
		t.Run(k.name, func(t *testing.T) {
			text := strings.Replace(validSettings, k.from, k.to, 1)
			assert.Assert(t, text != validSettings)
			_, err := Parse("bad.yaml", []byte(text))
			var invalid *mfyaml.ErrInvalid
			assert.Assert(t, errors.As(err, &invalid), "%v", err)
			p := invalid.Problems[0]
			assert.Equal(t, p.File, "bad.yaml")
			assert.Equal(t, p.Line, k.line, "%s", p)
			assert.Equal(t, p.Field, k.field)
			assert.Assert(t, strings.Contains(p.Want, k.want), "%s", p)
		})
	}
}

// FuzzParse shows that no text makes the parser panic.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("a: &x [*x]"))
	f.Add([]byte("---\n---\n"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = Parse("fuzz.yaml", data)
	})
}
