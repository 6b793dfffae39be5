package mfdocument

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mothferry"
	"mothferry/mffake"
	"mothferry/mfyaml"
)

const validDocument = `service: quoting
team: kelani
runners: 10
place:
  data_centres: [dc1, dc2, dc3]
  pools: [general, spare]
resources: {cores: 0.5, memory: 512MiB}
unavailability: {runners: 1, time: 40m, window: 336h}
requests:
  deadline: 2s
  repeatable:
    - {methods: [GET], path: /quotes}
`

func TestParse(t *testing.T) {
	d, err := Parse("good.yaml", []byte(validDocument))
	assert.NilError(t, err)
	assert.Equal(t, d.Resources.Demand().Cores, mothferry.Millicores(500))
	assert.Equal(t, d.Resources.Demand().Memory, 512*mothferry.Mebibyte)
	again, err := Parse("again.yaml", []byte(d.YAML()))
	assert.NilError(t, err)
	assert.DeepEqual(t, d, again)
	data, err := Record{Document: d, Revision: 1}.Encode()
	assert.NilError(t, err)
	record, err := DecodeRecord(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, record.Document, d)
}

// TestParseRejects shows that an impossible document is refused whole, with
// the line and field of each problem.
func TestParseRejects(t *testing.T) {
	for _, k := range []struct {
		from, to, field string
		line            int
	}{
		{"quoting", "Quoting", "service", 1},
		{"team: kelani", "team: ''", "team", 2},
		{"runners: 10", "runners: -1", "runners", 3},
		{"runners: 10", "runners: ten", "runners", 3},
		{"[dc1, dc2, dc3]", "[]", "place.data_centres", 5},
		{"[dc1, dc2, dc3]", "[dc1, dc1]", "place.data_centres.1", 5},
		{"512MiB", "512", "resources.memory", 7},
		{"cores: 0.5", "cores: half", "resources.cores", 7},
		{"runners: 1, time", "runners: 11, time", "unavailability.runners", 8},
		{"time: 40m", "time: 400h", "unavailability.time", 8},
		{"window: 336h", "window: 0s", "unavailability.window", 8},
		{"deadline: 2s", "deadline: 0s", "requests.deadline", 10},
		{"[GET]", "[get]", "requests.repeatable.0.methods", 12},
		{"path: /quotes", "path: quotes", "requests.repeatable.0.path", 12},
	} {
		t.Run(k.to, func(t *testing.T) {
			_, err := Parse("bad.yaml", []byte(strings.Replace(validDocument, k.from, k.to, 1)))
			var invalid *mfyaml.ErrInvalid
			assert.Assert(t, errors.As(err, &invalid), "%v", err)
			assert.Equal(t, invalid.Problems[0].Field, k.field)
			assert.Equal(t, invalid.Problems[0].Line, k.line)
		})
	}
}

// TestMayRepeat shows that a path cannot be dressed up to fall under a prefix
// that it does not belong to.
func TestMayRepeat(t *testing.T) {
	d, err := Parse("good.yaml", []byte(validDocument))
	assert.NilError(t, err)
	for _, k := range []struct {
		method, path string
		want         bool
	}{
		{"GET", "/quotes", true},
		{"GET", "/quotes/7", true},
		{"GET", "/quotesandmore", false},
		{"GET", "/quotes/../orders", false},
		{"GET", "//quotes", true},
		{"POST", "/quotes", false},
		{"GET", "/", false},
	} {
		assert.Equal(t, d.MayRepeat(k.method, k.path), k.want, "%s %s", k.method, k.path)
	}
}

// TestShareAddsUp shows that the shards' shares are even and add up to the
// document's runners, though each is worked out alone.
func TestShareAddsUp(t *testing.T) {
	mffake.Check(t, func(t *rapid.T) {
		d := Document{Runners: rapid.IntRange(0, 500).Draw(t, "runners")}
		for i := range rapid.IntRange(1, 8).Draw(t, "centres") {
			d.Place.DataCentres = append(d.Place.DataCentres, mothferry.DataCentre(fmt.Sprint("dc", i)))
		}
		for i := range rapid.IntRange(1, 5).Draw(t, "pools") {
			d.Place.Pools = append(d.Place.Pools, mothferry.PoolID(fmt.Sprint("pool", i)))
		}
		total, least, most := 0, d.Runners, 0
		for _, dc := range d.Place.DataCentres {
			for _, p := range d.Place.Pools {
				n := d.Share(mothferry.Shard{DataCentre: dc, Pool: p})
				total, least, most = total+n, min(least, n), max(most, n)
			}
		}
		assert.Equal(t, total, d.Runners)
		assert.Assert(t, most-least <= 1)
		assert.Equal(t, d.Share(mothferry.Shard{DataCentre: "elsewhere", Pool: "pool0"}), 0)
	})
}

// FuzzParse shows that no text makes the parser panic, and that what it
// accepts survives a round trip.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validDocument))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := Parse("fuzz.yaml", data)
		if err != nil {
			return
		}
		again, err := Parse("again.yaml", []byte(d.YAML()))
		assert.NilError(t, err)
		assert.Equal(t, again.YAML(), d.YAML())
	})
}
