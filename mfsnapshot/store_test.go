package mfsnapshot

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mothferry"
	"mothferry/mfdocument"
	"mothferry/mffake"
	"mothferry/mfplacement"
)

// history is a sequence of accepted changes: change i has revision i+1.
type history []mothferry.ServiceID

// delta cuts out the changes after base up to revision, as a peer or the
// table would send them: the last change of each document only.
func (h history) delta(base, revision mothferry.Revision) Delta {
	last := map[mothferry.ServiceID]mothferry.Revision{}
	for i := base; i < revision; i++ {
		last[h[i]] = i + 1
	}
	d := Delta{Base: base, Revision: revision}
	for service, r := range last {
		d.Records = append(d.Records, mfdocument.Record{Revision: r, Document: mfdocument.Document{Service: service}})
	}
	return d
}

// TestRevisionNeverDecreases delivers changes in any order, with losses and
// repetitions. At each step the revision must not fall, and the documents in
// force must be exactly those of that revision, none skipped or mixed.
func TestRevisionNeverDecreases(t *testing.T) {
	mffake.Check(t, func(t *rapid.T) {
		names := []mothferry.ServiceID{"a", "b", "c"}
		h := history(rapid.SliceOfN(rapid.SampledFrom(names), 1, 12).Draw(t, "history"))
		store := NewStore()
		for range rapid.IntRange(1, 30).Draw(t, "messages") {
			base := rapid.IntRange(0, len(h)).Draw(t, "base")
			revision := rapid.IntRange(base, len(h)).Draw(t, "revision")
			before := store.Current().Revision
			store.AdoptDelta(h.delta(mothferry.Revision(base), mothferry.Revision(revision)))
			now := store.Current()
			assert.Assert(t, now.Revision >= before)
			want := h.delta(0, now.Revision)
			assert.Equal(t, len(now.Documents), len(want.Records))
			for _, r := range want.Records {
				assert.Equal(t, now.Documents[r.Document.Service].Revision, r.Revision)
			}
		}
	})
}

// TestPlacementGenerationNeverDecreases does the same for placements of several pools.
func TestPlacementGenerationNeverDecreases(t *testing.T) {
	mffake.Check(t, func(t *rapid.T) {
		store := NewStore()
		highest := map[mothferry.PoolID]mothferry.Generation{}
		for range rapid.IntRange(1, 30).Draw(t, "messages") {
			pool := rapid.SampledFrom([]mothferry.PoolID{"p", "q"}).Draw(t, "pool")
			generation := mothferry.Generation(rapid.IntRange(1, 9).Draw(t, "generation"))
			task := mothferry.TaskID(string(pool))
			store.AdoptPlacement(mfplacement.Record{Pool: pool, Generation: generation, Runners: []mfplacement.Runner{{Task: task, Service: "s"}}})
			highest[pool] = max(highest[pool], generation)
			current := store.Current()
			for p, g := range highest {
				assert.Equal(t, current.Placements[p].Generation, g)
			}
			assert.Equal(t, len(current.Runners["s"]), len(highest))
		}
	})
}
