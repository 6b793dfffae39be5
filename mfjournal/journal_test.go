package mfjournal_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mothferry"
	"mothferry/mfjob"
	"mothferry/mfjournal"
	"mothferry/mfrecord"
)

// store holds the rows of a shard with the version of the transaction that wrote each.
type store struct {
	tables  map[mothferry.TableID]map[mothferry.Key]mothferry.Row
	version mothferry.Version
}

func newStore() *store {
	return &store{tables: map[mothferry.TableID]map[mothferry.Key]mothferry.Row{mfrecord.TableProgress: {}, mfrecord.TableLog: {}}}
}

func (s *store) apply(t assert.TestingT, rows []mothferry.Write) {
	s.version++
	for _, w := range rows {
		assert.Assert(t, len(w.Value) <= 65536, "%d", len(w.Value))
		if w.Delete {
			delete(s.tables[w.Table], w.Key)
			continue
		}
		s.tables[w.Table][w.Key] = mothferry.Row{Table: w.Table, Key: w.Key, Value: w.Value, Version: s.version}
	}
}

func (s *store) rows(table mothferry.TableID) []mothferry.Row {
	return slices.Collect(maps.Values(s.tables[table]))
}

// logRows returns how many rows the log has.
func (s *store) logRows() int { return len(s.tables[mfrecord.TableLog]) }

// read reads the shard as a new owner does.
func (s *store) read(t assert.TestingT) (map[mothferry.JobID]mfjob.Progress, *mfjournal.Journal) {
	newest, j, err := mfjournal.Read(s.rows(mfrecord.TableProgress), s.rows(mfrecord.TableLog))
	assert.NilError(t, err)
	for id, p := range newest {
		p.AfterSegment = 0
		newest[id] = p
	}
	return newest, j
}

func progress(run, tasks int) mfjob.Progress {
	p := mfjob.Progress{State: mfjob.StateRunning, Occurrences: [][]mfjob.StepProgress{{{}}}}
	for range tasks {
		p.Occurrences[0][0].Tasks = append(p.Occurrences[0][0].Tasks, mfjob.TaskProgress{Run: mothferry.RunNumber(run), Worker: "w-1"})
	}
	return p
}

// TestSuccessorReadsWhatWasWrittenLast guards against a new owner that starts a task that is
// running or done. Jobs start, change, last and finish in any order, and owners change: a new
// owner must read the last written progress of each job, a commit must not have more rows than
// a transaction takes, and the log must not grow over time.
func TestSuccessorReadsWhatWasWrittenLast(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stored, want := newStore(), map[mothferry.JobID]mfjob.Progress{}
		j := &mfjournal.Journal{}
		jobs := rapid.IntRange(1, 120).Draw(t, "jobs")
		for round := range rapid.IntRange(1, 200).Draw(t, "rounds") {
			changed := map[mothferry.JobID]mfjob.Progress{}
			own := 0
			for range rapid.IntRange(0, 40).Draw(t, "changes") {
				id := mothferry.JobID(fmt.Sprintf("j-%03d", rapid.IntRange(0, jobs-1).Draw(t, "job")))
				p := progress(round+1, rapid.IntRange(1, 40).Draw(t, "tasks"))
				if rapid.IntRange(0, 9).Draw(t, "finishes") == 0 {
					p = mfjob.Progress{State: mfjob.StateCompleted}
				}
				if want[id].State.Final() || own >= mfjournal.MaxOwnRows {
					continue
				}
				if j.NeedsOwnRow(id, p) {
					own++
				}
				changed[id] = p
			}
			rows := j.Write(changed)
			assert.Assert(t, len(rows) <= mfjournal.MaxRows, "%d", len(rows))
			stored.apply(t, rows)
			for id, p := range changed {
				want[id] = p
			}
			if rapid.IntRange(0, 9).Draw(t, "takeover") == 0 {
				var got map[mothferry.JobID]mfjob.Progress
				got, j = stored.read(t)
				assert.DeepEqual(t, got, want)
			}
			assert.Assert(t, stored.logRows() <= 100, "%d", stored.logRows())
		}
		got, _ := stored.read(t)
		assert.DeepEqual(t, got, want)
	})
}

// TestManyChangesTakeOneCommit checks that 400 jobs that change between two commits fit into one
// commit. With a row for each job they would take five.
func TestManyChangesTakeOneCommit(t *testing.T) {
	j := &mfjournal.Journal{}
	stored := newStore()
	all := map[mothferry.JobID]mfjob.Progress{}
	for i := range 400 {
		id := mothferry.JobID(fmt.Sprintf("j-%03d", i))
		stored.apply(t, j.Write(map[mothferry.JobID]mfjob.Progress{id: progress(1, 8)}))
		all[id] = progress(2, 8)
	}
	rows := j.Write(all)
	assert.Assert(t, len(rows) <= 8, "%d", len(rows))
	stored.apply(t, rows)
	got, _ := stored.read(t)
	assert.DeepEqual(t, got, all)
}

// TestOldEntriesAreMoved checks that the progress of a job that rarely changes is moved to its
// own row after some time, so that old segments can be deleted.
func TestOldEntriesAreMoved(t *testing.T) {
	j := &mfjournal.Journal{}
	stored := newStore()
	write := func(id mothferry.JobID, run int) {
		stored.apply(t, j.Write(map[mothferry.JobID]mfjob.Progress{id: progress(run, 2)}))
	}
	write("lasts", 1)
	write("lasts", 2)
	write("changes", 1)
	for run := range 300 {
		write("changes", run+2)
	}
	assert.Assert(t, stored.logRows() < 70, "%d", stored.logRows())
	assert.Assert(t, strings.Contains(string(stored.tables[mfrecord.TableProgress]["lasts"].Value), `"after"`))
	got, _ := stored.read(t)
	assert.DeepEqual(t, got["lasts"], progress(2, 2))
}

// TestNewerLogIsRefused checks that a log row of a newer format is an error.
func TestNewerLogIsRefused(t *testing.T) {
	_, _, err := mfjournal.Read(nil, []mothferry.Row{{Key: mfrecord.LogKey(1), Value: []byte(`{"format":2}`)}})
	assert.ErrorType(t, err, &mfjournal.ErrNewerFormat{})
}

// TestLogIsBoundedInBytes guards against a new owner on a link of 2 Mbit/s that never gets to
// run its shard: an owner on a slow link makes few commits with many changes each, so that 62
// segments of up to 48 kB took twelve seconds to read. The log is limited in bytes as well as
// in segments.
func TestLogIsBoundedInBytes(t *testing.T) {
	j := &mfjournal.Journal{MaxLog: 256 * mothferry.Kibibyte}
	stored := newStore()
	for round := range 300 {
		// Each round starts a lasting job whose progress keeps its segment from being deleted.
		lasts := mothferry.JobID(fmt.Sprintf("lasts-%03d", round))
		stored.apply(t, j.Write(map[mothferry.JobID]mfjob.Progress{lasts: progress(1, 2)}))
		changed := map[mothferry.JobID]mfjob.Progress{lasts: progress(2, 2)}
		for i := range 60 {
			changed[mothferry.JobID(fmt.Sprintf("j-%03d", (round*60+i)%200))] = progress(round+1, 24)
		}
		stored.apply(t, j.Write(changed))
	}
	size := 0
	for _, row := range stored.tables[mfrecord.TableLog] {
		size += len(row.Value)
	}
	assert.Assert(t, size < 400_000, "%d bytes", size)
	got, _ := stored.read(t)
	assert.Equal(t, len(got), 500)
}

// TestProgressAfterAnEmptiedLogIsRead checks that progress written after the log was empty
// does not count as older than what was stored before.
func TestProgressAfterAnEmptiedLogIsRead(t *testing.T) {
	j := &mfjournal.Journal{}
	stored := newStore()
	write := func(id mothferry.JobID, p mfjob.Progress) {
		stored.apply(t, j.Write(map[mothferry.JobID]mfjob.Progress{id: p}))
	}
	write("short", progress(1, 1))
	write("short", progress(2, 1))
	write("lasts", progress(1, 2))
	write("short", mfjob.Progress{State: mfjob.StateCompleted})
	assert.Equal(t, stored.logRows(), 0)
	_, j = stored.read(t)
	write("lasts", progress(2, 2))
	got, _ := stored.read(t)
	assert.DeepEqual(t, got["lasts"], progress(2, 2))
}

// TestFewJobsAreReadAsWrittenLast checks that a new owner reads the last written progress also
// if the log is often empty, and that segment numbers stay above After, by which older
// versions of the program order entries.
func TestFewJobsAreReadAsWrittenLast(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stored, want := newStore(), map[mothferry.JobID]mfjob.Progress{}
		j := &mfjournal.Journal{}
		var unfinished []mothferry.JobID
		for round := range 60 {
			if len(unfinished) == 0 || len(unfinished) < 4 && rapid.IntRange(0, 3).Draw(t, "starts") == 0 {
				unfinished = append(unfinished, mothferry.JobID(fmt.Sprintf("j-%03d", round)))
			}
			at := rapid.IntRange(0, len(unfinished)-1).Draw(t, "job")
			id, p := unfinished[at], progress(round+1, 2)
			if rapid.IntRange(0, 4).Draw(t, "finishes") == 0 {
				p = mfjob.Progress{State: mfjob.StateCompleted}
				unfinished = slices.Delete(unfinished, at, at+1)
			}
			highest := uint64(0)
			for _, row := range stored.rows(mfrecord.TableProgress) {
				before, err := mfjob.DecodeProgress(row.Value)
				assert.NilError(t, err)
				highest = max(highest, before.AfterSegment)
			}
			rows := j.Write(map[mothferry.JobID]mfjob.Progress{id: p})
			for _, w := range rows {
				if w.Table == mfrecord.TableLog && !w.Delete {
					number, err := mfrecord.LogNumber(w.Key)
					assert.NilError(t, err)
					assert.Assert(t, number > highest, "%d, %d", number, highest)
				}
			}
			stored.apply(t, rows)
			want[id] = p
			if rapid.IntRange(0, 2).Draw(t, "takeover") == 0 {
				var got map[mothferry.JobID]mfjob.Progress
				got, j = stored.read(t)
				assert.DeepEqual(t, got, want)
			}
		}
	})
}

// TestLargeJobsGetRowsOfTheirOwn checks that large jobs that change in one commit do not
// produce a log row that is too large for the store.
func TestLargeJobsGetRowsOfTheirOwn(t *testing.T) {
	large := progress(2, mfjob.MaxTasks)
	tasks := large.Occurrences[0][0].Tasks
	for i := range tasks {
		tasks[i].Worker, tasks[i].Checkpoint = "i-00000000", "0123456789abcdef"
	}
	all := map[mothferry.JobID]mfjob.Progress{}
	for i := range 5 {
		all[mothferry.JobID(fmt.Sprintf("j-%03d", i))] = large
	}
	j := &mfjournal.Journal{}
	stored := newStore()
	for range 3 {
		stored.apply(t, j.Write(all))
	}
	got, _ := stored.read(t)
	assert.DeepEqual(t, got, all)
}

// TestGapInTheLogCostsNothing checks that a new owner neither iterates over missing segment
// numbers nor deletes rows that do not exist.
func TestGapInTheLogCostsNothing(t *testing.T) {
	const far = 3_000_000
	stored := newStore()
	put := func(table mothferry.TableID, key mothferry.Key, value string) {
		stored.apply(t, []mothferry.Write{{Table: table, Part: mfrecord.PartShard, Key: key, Value: []byte(value)}})
	}
	before := progress(1, 2)
	before.AfterSegment = far
	put(mfrecord.TableProgress, "lasts", string(mfjob.EncodeProgress(before)))
	for number := range 2 {
		value := fmt.Sprintf(`{"format":1,"jobs":{"lasts":%s}}`, mfjob.EncodeProgress(progress(number+2, 2)))
		put(mfrecord.TableLog, mfrecord.LogKey(uint64(number+1)), value)
	}
	got, j := stored.read(t)
	assert.DeepEqual(t, got["lasts"], progress(3, 2))
	startedAt := time.Now()
	for round := range 20 {
		rows := j.Write(map[mothferry.JobID]mfjob.Progress{"lasts": progress(round+4, 2)})
		for _, w := range rows {
			_, exists := stored.tables[w.Table][w.Key]
			assert.Assert(t, exists || !w.Delete, "%s is deleted and does not exist", w.Key)
		}
		stored.apply(t, rows)
	}
	assert.Assert(t, time.Since(startedAt) < time.Second, "%v", time.Since(startedAt))
	assert.Equal(t, stored.logRows(), 1)
	got, _ = stored.read(t)
	assert.DeepEqual(t, got["lasts"], progress(23, 2))
}

// Guards against rows and commits that the store refuses for their size: large jobs with long
// checkpoints change together, again and again, until old entries are moved.
func TestLongCheckpointsFitRowsAndTransactions(t *testing.T) {
	const jobs, maxCommit = 40, 400 << 10
	large := progress(1, mfjob.MaxTasks)
	tasks := large.Occurrences[0][0].Tasks
	for i := range tasks {
		tasks[i].Worker, tasks[i].Checkpoint = "i-00000000", mothferry.Checkpoint(strings.Repeat("x", 256))
	}
	j := &mfjournal.Journal{MaxLog: 1 << 20}
	stored := newStore()
	for round := range 100 {
		rows := j.Write(map[mothferry.JobID]mfjob.Progress{mothferry.JobID(fmt.Sprintf("j-%03d", round%jobs)): large})
		size := 0
		for _, w := range rows {
			size += len(w.Value)
		}
		assert.Assert(t, size <= maxCommit, "round %d: %d bytes", round, size)
		stored.apply(t, rows)
	}
	assert.Assert(t, j.Omitted > 0)
	got, _ := stored.read(t)
	assert.Equal(t, len(got), jobs)
	for id, p := range got {
		for x, task := range p.Occurrences[0][0].Tasks {
			assert.Assert(t, task.Worker == tasks[x].Worker && task.Run == tasks[x].Run, "%s, task %d: %v", id, x, task)
		}
	}
}

// Guards against progress that is lost when the store rejects rows of a commit: a new owner reads what
// was stored of each job before, and what is written after.
func TestRejectedRowsLoseNothingStored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stored, want := newStore(), map[mothferry.JobID]mfjob.Progress{}
		j := &mfjournal.Journal{}
		again := map[mothferry.JobID]bool{}
		for round := range rapid.IntRange(1, 150).Draw(t, "rounds") {
			changed := map[mothferry.JobID]mfjob.Progress{}
			for _, id := range slices.Sorted(maps.Keys(again)) {
				if rapid.Bool().Draw(t, "written again") {
					changed[id] = progress(round+1, 3)
				}
			}
			for range rapid.IntRange(0, 3).Draw(t, "changes") {
				id := mothferry.JobID(fmt.Sprintf("j-%03d", rapid.IntRange(0, 5).Draw(t, "job")))
				if !want[id].State.Final() {
					changed[id] = progress(round+1, rapid.IntRange(1, 4).Draw(t, "tasks"))
				}
			}
			for id := range changed {
				delete(again, id)
			}
			rows := j.Write(changed)
			var rejected []mothferry.Write
			for i, w := range rows {
				if !w.Delete && rapid.IntRange(0, 4).Draw(t, "rejected") == 0 {
					rejected = append(rejected, rows[i])
				}
			}
			if len(rejected) > 0 {
				rows = slices.DeleteFunc(slices.Clone(rows), func(w mothferry.Write) bool {
					return w.Delete || slices.ContainsFunc(rejected, func(r mothferry.Write) bool { return r.Table == w.Table && r.Key == w.Key })
				})
				for _, id := range j.Rejected(rejected) {
					again[id] = true
				}
			}
			stored.apply(t, rows)
			for id, p := range changed {
				if !again[id] {
					want[id] = p
				}
			}
			if rapid.IntRange(0, 4).Draw(t, "takeover") == 0 {
				got, next := stored.read(t)
				assert.DeepEqual(t, got, want)
				j = next
				clear(again)
			}
		}
	})
}
