package mfjournal_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfjob"
	"mothferry/mfjournal"
	"mothferry/mfrecord"
)

// TestRenumberedLogFillsNoCommits checks that a log that an older version of the program
// numbered from one again, far below After in the jobs' own rows, does not fill commits with
// deletions of rows that do not exist.
func TestRenumberedLogFillsNoCommits(t *testing.T) {
	const highest, commits = 100_000, 20
	lasts := progress(1, 2)
	lasts.AfterSegment = highest
	stored := newStore()
	stored.apply(t, []mothferry.Write{{Table: mfrecord.TableProgress, Key: "lasts", Value: mfjob.EncodeProgress(lasts)}})
	j := &mfjournal.Journal{}
	stored.apply(t, j.Write(map[mothferry.JobID]mfjob.Progress{"other": progress(1, 1)}))
	stored.apply(t, j.Write(map[mothferry.JobID]mfjob.Progress{"other": progress(2, 1)}))
	_, j = stored.read(t)
	rows := 0
	for run := range commits {
		written := j.Write(map[mothferry.JobID]mfjob.Progress{"lasts": progress(run+2, 2)})
		rows += len(written)
		stored.apply(t, written)
	}
	got, _ := stored.read(t)
	assert.DeepEqual(t, got["lasts"], progress(commits+1, 2))
	assert.Assert(t, rows < 5*commits, "%d rows in %d commits", rows, commits)
}
