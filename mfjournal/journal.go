// Package mfjournal lays out the progress of jobs in rows. What callers read has a row of its
// own for each job, written when the job starts and when it finishes. What only a new owner
// needs, the starts and ends of tasks in between, is appended to a log.
//
// A job with a dozen tasks changes about fourteen times. With a row for each change, the
// store's limit of 100 entries per transaction restricts an owner to 2,700 changes a second,
// as its commits are sequential: at 300 jobs a second 7,000 tasks queued up while machines
// were half idle. With the log, a commit has one or two rows for all its changes.
package mfjournal

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/gravitational/trace"

	"mothferry"
	"mothferry/mfjob"
	"mothferry/mfrecord"
)

const (
	// MaxRows is the largest number of rows that Write returns: a transaction takes 100 entries,
	// some of which the owner needs for its own rows.
	MaxRows = 90
	// MaxOwnRows is the largest number of jobs that need rows of their own in one call of Write.
	MaxOwnRows = 60
	// DefaultMaxRow is the largest value that the stores of current deployments take.
	DefaultMaxRow = 64 * mothferry.Kibibyte
	// maxSegmentBytes limits the value of a log row with several jobs.
	maxSegmentBytes = 48 << 10
	// segmentOverhead is the size of a log row with one job without the job's progress.
	segmentOverhead = 128
	// maxSegments is how many rows the log may have before the live entries of the oldest ones
	// are moved to the jobs' own rows. A new owner reads them all; with 35 commits a second
	// they hold two seconds of changes, as long as most jobs take.
	maxSegments = 64
	// maxMovedRows is the largest number of entries that one commit moves, maxMovedBytes the size
	// from which on it moves no further one.
	maxMovedRows  = 12
	maxMovedBytes = 96 << 10
)

// logFormat is the format version of the log's rows.
const logFormat = 1

// ErrNewerFormat reports a log row that a newer version of the program wrote.
type ErrNewerFormat struct{ Format int }

// Error implements error.
func (e *ErrNewerFormat) Error() string {
	return fmt.Sprintf("read log row: format %d is newer than the supported format %d", e.Format, logFormat)
}

// Journal tracks where the newest progress of each job is stored. The zero value is the
// journal of a shard without jobs. Each write must be stored before the next one.
type Journal struct {
	// MaxLog limits the size of the log; zero leaves only the limit on segments. An owner on a
	// slow link makes few commits with many changes each, and a new owner on such a link takes
	// seconds to read them.
	MaxLog mothferry.Bytes
	// MaxRow is the largest value that the store takes; zero for DefaultMaxRow.
	MaxRow mothferry.Bytes
	// Omitted counts the checkpoints that were left out of rows because they did not fit.
	Omitted int

	// lastSegment is the number of the newest segment; zero for none.
	lastSegment uint64
	// jobs holds the newest progress of each unfinished job and where it is stored.
	jobs map[mothferry.JobID]*entry
	// live holds, for each stored segment, the jobs whose newest progress is in it.
	live map[uint64]map[mothferry.JobID]*entry
	// sizes holds the size of each stored segment.
	sizes map[uint64]mothferry.Bytes
	// rejected holds the jobs whose newest progress the store rejected and that have not been
	// written since. What is stored of them may be in segments that look empty.
	rejected  map[mothferry.JobID]bool
	readStats ReadStats
}

// ReadStats describes the rows that a journal was read from, for log lines.
type ReadStats struct {
	// Oldest and Newest are the numbers of the segments; zero for an empty log.
	Oldest, Newest uint64
	// After is the newest segment that any job's own row records as older than itself.
	After uint64
	// Superseded counts the log entries that are older than their job's own row.
	Superseded int
}

// ReadStats describes the rows that the journal was read from; it is zero if it was not read.
func (j *Journal) ReadStats() ReadStats { return j.readStats }

// entry is the newest progress of one job.
type entry struct {
	// segment is the number of the segment that holds it; zero for the job's own row.
	segment  uint64
	progress mfjob.Progress
}

// NeedsOwnRow reports whether the progress of a job needs a row of its own, by which callers see
// that the job has started, or how it ended.
func (j *Journal) NeedsOwnRow(id mothferry.JobID, p mfjob.Progress) bool {
	_, started := j.jobs[id]
	return !started || p.State.Final()
}

// Write returns the rows that store the changed progress, at most MaxRows of them if no more
// than MaxOwnRows of the jobs need rows of their own.
func (j *Journal) Write(changed map[mothferry.JobID]mfjob.Progress) []mothferry.Write {
	if j.jobs == nil {
		j.jobs, j.live, j.sizes = map[mothferry.JobID]*entry{}, map[uint64]map[mothferry.JobID]*entry{}, map[uint64]mothferry.Bytes{}
	}
	var rows []mothferry.Write
	s := &segment{}
	for _, id := range slices.Sorted(maps.Keys(changed)) {
		p := changed[id]
		delete(j.rejected, id)
		own := j.NeedsOwnRow(id, p)
		j.unlink(id)
		if p.State.Final() {
			delete(j.jobs, id)
			rows = append(rows, j.ownRow(id, p, 0))
			continue
		}
		e := &entry{progress: p}
		j.jobs[id] = e
		if own {
			rows = append(rows, j.ownRow(id, p, j.lastSegment))
			continue
		}
		text := j.encode(p, segmentOverhead)
		if !s.fits(text) {
			rows = append(rows, j.addSegment(s))
			s = &segment{}
		}
		s.add(id, e, text)
	}
	if len(s.entries) > 0 {
		rows = append(rows, j.addSegment(s))
	}
	rows = append(rows, j.moveOldEntries(changed)...)
	return append(rows, j.deleteEmptySegments(MaxRows-len(rows))...)
}

// Rejected records that the store did not take some rows that Write returned, and returns the jobs
// whose progress they hold.
func (j *Journal) Rejected(rows []mothferry.Write) []mothferry.JobID {
	var ids []mothferry.JobID
	for _, w := range rows {
		switch {
		case w.Delete:
		case w.Table == mfrecord.TableProgress:
			// Without an own row, entries in the log do not count.
			delete(j.jobs, mothferry.JobID(w.Key))
			ids = append(ids, mothferry.JobID(w.Key))
		case w.Table == mfrecord.TableLog:
			number, err := mfrecord.LogNumber(w.Key)
			if err != nil {
				continue
			}
			for _, id := range slices.Sorted(maps.Keys(j.live[number])) {
				j.live[number][id].segment = 0
				ids = append(ids, id)
			}
			delete(j.live, number)
			delete(j.sizes, number)
		}
	}
	if j.rejected == nil {
		j.rejected = map[mothferry.JobID]bool{}
	}
	for _, id := range ids {
		j.rejected[id] = true
	}
	return ids
}

// unlink removes a job from the segment that held its newest progress.
func (j *Journal) unlink(id mothferry.JobID) {
	if e, known := j.jobs[id]; known && e.segment != 0 {
		delete(j.live[e.segment], id)
	}
}

// addSegment assigns a number to a segment and returns its row.
func (j *Journal) addSegment(s *segment) mothferry.Write {
	j.lastSegment++
	jobs := map[mothferry.JobID]*entry{}
	for id, e := range s.entries {
		e.segment = j.lastSegment
		jobs[id] = e
	}
	j.live[j.lastSegment] = jobs
	value := s.value()
	j.sizes[j.lastSegment] = mothferry.Bytes(len(value))
	return mothferry.Write{Table: mfrecord.TableLog, Part: mfrecord.PartShard, Key: mfrecord.LogKey(j.lastSegment), Value: value}
}

// storedSegments returns the numbers of the stored segments, the oldest first. An older
// version of the program may have left gaps between them.
func (j *Journal) storedSegments() []uint64 { return slices.Sorted(maps.Keys(j.live)) }

// moveOldEntries moves live entries of the oldest segments to the jobs' own rows if there are
// too many segments or they are too large together.
func (j *Journal) moveOldEntries(changed map[mothferry.JobID]mfjob.Progress) []mothferry.Write {
	var rows []mothferry.Write
	moved, size := 0, mothferry.Bytes(0)
	for _, bytes := range j.sizes {
		size += bytes
	}
	for _, n := range j.storedSegments() {
		tooLarge := j.MaxLog > 0 && size > j.MaxLog
		if n+maxSegments > j.lastSegment && !tooLarge || len(rows) >= maxMovedRows || moved >= maxMovedBytes {
			break
		}
		size -= j.sizes[n]
		for _, id := range slices.Sorted(maps.Keys(j.live[n])) {
			if len(rows) >= maxMovedRows || moved >= maxMovedBytes {
				break
			}
			if _, rewritten := changed[id]; rewritten {
				continue
			}
			e := j.live[n][id]
			delete(j.live[n], id)
			e.segment = 0
			rows = append(rows, j.ownRow(id, e.progress, j.lastSegment))
			moved += len(rows[len(rows)-1].Value)
		}
	}
	return rows
}

// deleteEmptySegments deletes the oldest segments as long as they have no live entries.
func (j *Journal) deleteEmptySegments(limit int) []mothferry.Write {
	var rows []mothferry.Write
	for _, n := range j.storedSegments() {
		if len(j.rejected) > 0 || len(j.live[n]) > 0 || len(rows) >= limit {
			break
		}
		delete(j.live, n)
		delete(j.sizes, n)
		rows = append(rows, mothferry.Write{Table: mfrecord.TableLog, Part: mfrecord.PartShard, Key: mfrecord.LogKey(n), Delete: true})
	}
	return rows
}

// ownRow returns a job's own row; after is the newest segment at the time of the write.
func (j *Journal) ownRow(id mothferry.JobID, p mfjob.Progress, after uint64) mothferry.Write {
	p.AfterSegment = after
	return mothferry.Write{Table: mfrecord.TableProgress, Part: mfrecord.PartShard, Key: mothferry.Key(id), Value: j.encode(p, 0)}
}

// RowLimit returns the largest value that the store takes.
func (j *Journal) RowLimit() mothferry.Bytes {
	if j.MaxRow == 0 {
		return DefaultMaxRow
	}
	return j.MaxRow
}

// encode returns the stored form of a job's progress, which fits into a row with some overhead.
func (j *Journal) encode(p mfjob.Progress, overhead int) []byte {
	text, omitted := mfjob.EncodeProgressWithin(p, int(j.RowLimit())-overhead)
	j.Omitted += omitted
	return text
}

// segment is one row of the log.
type segment struct {
	entries map[mothferry.JobID]*entry
	text    []byte
}

// fits reports whether another entry fits into the segment; the first one always does.
func (s *segment) fits(text []byte) bool {
	return len(s.entries) == 0 || len(s.text)+len(text) <= maxSegmentBytes
}

func (s *segment) add(id mothferry.JobID, e *entry, text []byte) {
	if s.entries == nil {
		s.entries = map[mothferry.JobID]*entry{}
		s.text = append([]byte(`{"format":`), strconv.Itoa(logFormat)...)
		s.text = append(s.text, `,"jobs":{`...)
	} else {
		s.text = append(s.text, ',')
	}
	s.entries[id] = e
	s.text = mfjob.AppendText(s.text, string(id))
	s.text = append(s.text, ':')
	s.text = append(s.text, text...)
}

func (s *segment) value() []byte { return append(s.text, `}}`...) }

// Read restores a shard's journal from the jobs' own rows and the rows of the log. It returns
// the newest progress of each job and the journal to continue with.
func Read(own, log []mothferry.Row) (map[mothferry.JobID]mfjob.Progress, *Journal, error) {
	j := &Journal{jobs: map[mothferry.JobID]*entry{}, live: map[uint64]map[mothferry.JobID]*entry{}, sizes: map[uint64]mothferry.Bytes{}}
	newest := map[mothferry.JobID]mfjob.Progress{}
	written := map[mothferry.JobID]mothferry.Version{}
	for _, r := range own {
		p, err := mfjob.DecodeProgress(r.Value)
		if err != nil {
			return nil, nil, err
		}
		id := mothferry.JobID(r.Key)
		newest[id], written[id] = p, r.Version
		// Older versions of the program order entries by After: the numbers of new segments
		// must be above it.
		j.lastSegment = max(j.lastSegment, p.AfterSegment)
		if !p.State.Final() {
			j.jobs[id] = &entry{progress: p}
		}
	}
	j.readStats.After = j.lastSegment
	log = slices.Clone(log)
	slices.SortFunc(log, func(a, b mothferry.Row) int { return cmp.Compare(a.Key, b.Key) })
	for _, r := range log {
		if err := j.readSegment(r, newest, written); err != nil {
			return nil, nil, err
		}
	}
	return newest, j, nil
}

// readSegment applies one row of the log; rows are applied in order. Written holds the
// versions of the jobs' own rows: only the store's versions show which of two rows was written
// last.
func (j *Journal) readSegment(r mothferry.Row, newest map[mothferry.JobID]mfjob.Progress, written map[mothferry.JobID]mothferry.Version) error {
	number, err := mfrecord.LogNumber(r.Key)
	if err != nil {
		return err
	}
	var stored struct {
		Format int                                 `json:"format"`
		Jobs   map[mothferry.JobID]json.RawMessage `json:"jobs"`
	}
	if err := json.Unmarshal(r.Value, &stored); err != nil {
		return trace.Wrap(err)
	}
	if stored.Format > logFormat {
		return &ErrNewerFormat{stored.Format}
	}
	j.lastSegment = max(j.lastSegment, number)
	if j.readStats.Oldest == 0 {
		j.readStats.Oldest = number
	}
	j.readStats.Newest = number
	j.live[number] = map[mothferry.JobID]*entry{}
	j.sizes[number] = mothferry.Bytes(len(r.Value))
	for id, data := range stored.Jobs {
		// Entries of finished or deleted jobs, and of jobs whose own row is newer, are skipped.
		e, unfinished := j.jobs[id]
		if !unfinished {
			continue
		}
		if r.Version < written[id] {
			j.readStats.Superseded++
			continue
		}
		p, err := mfjob.DecodeProgress(data)
		if err != nil {
			return err
		}
		j.unlink(id)
		e.segment, e.progress = number, p
		j.live[number][id] = e
		newest[id] = p
	}
	return nil
}
