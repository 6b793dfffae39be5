package mfcontrol

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfclock"
	"mothferry/mfdocument"
	"mothferry/mflease"
	"mothferry/mflog"
	"mothferry/mfpeer"
	"mothferry/mfplacement"
	"mothferry/mfsnapshot"
	"mothferry/mfstandin"
)

var shard = mothferry.Shard{DataCentre: "dc1", Pool: "p"}

// fakeLeases holds one shard as long as it is told to.
type fakeLeases struct{ valid bool }

func (l *fakeLeases) holding() mflease.Holding {
	return mflease.Holding{Fence: mothferry.Fence{Shard: shard, Epoch: 1}, Check: mothferry.Check{Key: mflease.ShardKey(shard)}}
}
func (l *fakeLeases) Holdings() []mflease.Holding { return []mflease.Holding{l.holding()} }
func (l *fakeLeases) Valid(mothferry.Fence) bool  { return l.valid }
func (l *fakeLeases) Lost(mothferry.Fence)        { l.valid = false }

// noPeers is a mesh without peers.
type noPeers struct{}

func (noPeers) States() []mfpeer.State                            { return nil }
func (noPeers) PushPlacement(context.Context, mfplacement.Record) {}
func (noPeers) Status() mfpeer.Status                             { return mfpeer.Status{} }

// newController returns a controller over a stand-in with two hosts.
func newController(t *testing.T) (*Controller, *fakeLeases) {
	t.Helper()
	standin, err := mfstandin.New(mfclock.System{}, mfstandin.Fleet{
		DataCentres: []mothferry.DataCentre{"dc1"}, Pools: []mothferry.PoolID{"p"}, HostsPerPool: 2, HostsPerRack: 1,
		Capacity: mothferry.Resources{Cores: 8000, Memory: 8 * mothferry.Gibibyte},
	})
	assert.NilError(t, err)
	held := &fakeLeases{valid: true}
	return &Controller{
		DataCentre: "dc1", Clock: mfclock.System{}, Interval: time.Millisecond, Leases: held, Peers: noPeers{}, Self: noPeers{},
		Platform: mothferry.Platform{Table: standin.Table, Hosts: standin.Workers, Workers: standin.Workers, Pools: standin.Workers},
		Store:    mfsnapshot.NewStore(), Log: mflog.Discard(), shards: map[mothferry.PoolID]*shardState{},
	}, held
}

// putDocument puts a document in force that asks for runners in the shard.
func putDocument(c *Controller, runners int, revision mothferry.Revision) {
	d := mfdocument.Default()
	d.Service, d.Runners = "s", runners
	d.Place = mfdocument.Place{DataCentres: []mothferry.DataCentre{"dc1"}, Pools: []mothferry.PoolID{"p"}}
	c.Store.AdoptDelta(mfsnapshot.Delta{Revision: revision, Records: []mfdocument.Record{{Document: d, Revision: revision}}})
}

// storedPlacement returns the shard's placement as the table holds it.
func storedPlacement(t *testing.T, c *Controller) mfplacement.Record {
	t.Helper()
	rows, err := c.Platform.Table.Read(t.Context(), mothferry.Query{Keys: []mothferry.Key{mfplacement.Key(shard)}})
	assert.NilError(t, err)
	if len(rows) == 0 {
		return mfplacement.Record{}
	}
	record, err := mfplacement.Decode(rows[0].Value)
	assert.NilError(t, err)
	return record
}

// TestStaleDocumentsPlanNothing: symptom, a service loses its runners when a
// shard changes hands. Sequence: the new holder has not heard of the latest
// documents, or has none yet, and plans by what it has. Cause: a plan that does
// not know by which documents the last one was made.
func TestStaleDocumentsPlanNothing(t *testing.T) {
	c, held := newController(t)
	putDocument(c, 4, 5)
	c.round(t.Context(), held.Holdings())
	before := storedPlacement(t, c)
	assert.Equal(t, len(before.Runners), 4)
	for _, revision := range []mothferry.Revision{0, 3} {
		c.Store, c.shards = mfsnapshot.NewStore(), map[mothferry.PoolID]*shardState{}
		if revision > 0 {
			putDocument(c, 0, revision)
		}
		c.round(t.Context(), held.Holdings())
		assert.DeepEqual(t, storedPlacement(t, c), before)
	}
	c.Store, c.shards = mfsnapshot.NewStore(), map[mothferry.PoolID]*shardState{}
	putDocument(c, 1, 6)
	c.round(t.Context(), held.Holdings())
	assert.Assert(t, storedPlacement(t, c).Generation > before.Generation)
}

// TestExpiredLeaseStartsNothing: a holder whose lease lapsed publishes nothing
// and starts nothing.
func TestExpiredLeaseStartsNothing(t *testing.T) {
	c, held := newController(t)
	putDocument(c, 4, 5)
	held.valid = false
	c.round(t.Context(), held.Holdings())
	assert.Equal(t, len(storedPlacement(t, c).Runners), 0)
	reports, err := c.Platform.Workers.Reports(t.Context(), "dc1", []mothferry.HostID{"dc1-p-000", "dc1-p-001"})
	assert.NilError(t, err)
	for _, r := range reports {
		assert.Equal(t, len(r.Tasks), 0)
	}
}
