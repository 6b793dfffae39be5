// Package mfjournal lays the progress of jobs out in rows. What callers read has a row
// for each job, written when it begins and when it is over; what only a successor needs,
// each start and end between the two, goes into a log.
//
// The load it answers: a job with a dozen tasks changes some fourteen times. With a row
// for each change the store's bound of 100 entries a transaction holds an owner to 2,700
// changes a second, as commits follow one another: with 300 jobs a second seven thousand
// tasks waited beside machines that were half empty. With the log a commit has a row or
// two for all changes in it.
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

// Bounds of the journal.
const (
	// MaxRows is the most rows that Write returns: a transaction takes 100 entries, of
	// which the owner needs some itself.
	MaxRows = 90
	// MaxOwnRows is how many jobs with rows of their own one call of Write takes.
	MaxOwnRows = 60
	// maxSegmentBytes bounds the value of a log's row with several jobs, in bytes; the store takes 65,536.
	maxSegmentBytes = 48 << 10
	// maxSegments is how many rows the log may have before what is in the oldest ones is
	// written to the jobs' own rows. A successor reads them all; with 35 commits a
	// second that is two seconds, as long as most jobs take.
	maxSegments = 64
	// maxMovedRows is how many jobs' rows one commit rewrites for that.
	maxMovedRows = 12
)

// logFormat is the version of the log's stored form.
const logFormat = 1

// ErrNewerFormat reports a row of the log that a newer program wrote.
type ErrNewerFormat struct{ Format int }

// Error implements error.
func (e *ErrNewerFormat) Error() string {
	return fmt.Sprintf("a row of the log has format %d, this program reads up to %d", e.Format, logFormat)
}

// Journal knows where the newest progress of each job is stored. The zero value is that
// of a shard without jobs. It counts on each of its writes being stored before the next.
type Journal struct {
	// MaxLog bounds the log in bytes; zero for no bound but that of segments. An owner whose
	// link is narrow has few commits with many changes each, and a successor on such a link
	// takes seconds to read them.
	MaxLog mothferry.Bytes

	// lastSegment is the number of the newest segment; zero for none.
	lastSegment uint64
	// jobs holds where the newest progress is of each job that is not over.
	jobs map[mothferry.JobID]*entry
	// live holds for each segment that is still stored the jobs whose newest progress is in it.
	live map[uint64]map[mothferry.JobID]*entry
	// sizes holds the bytes of each segment that is still stored.
	sizes     map[uint64]mothferry.Bytes
	readStats ReadStats
}

// ReadStats tells which rows a journal was read from, for the log.
type ReadStats struct {
	// Oldest and Newest are the numbers of the segments; zero for an empty log.
	Oldest, Newest uint64
	// After is the newest segment that a job's own row says it is newer than.
	After uint64
	// Superseded counts the entries of the log that are older than their job's own row.
	Superseded int
}

// ReadStats returns what the journal was read from; zero if it was not read.
func (j *Journal) ReadStats() ReadStats { return j.readStats }

// entry is the newest progress of one job.
type entry struct {
	// segment holds it; zero for the job's own row.
	segment  uint64
	progress mfjob.Progress
}

// NeedsOwnRow reports whether the progress of a job needs a row of its own: callers are told by
// it that the job has begun, or how it ended.
func (j *Journal) NeedsOwnRow(id mothferry.JobID, p mfjob.Progress) bool {
	_, known := j.jobs[id]
	return !known || p.State.Final()
}

// Write returns the rows that store what has changed, at most MaxRows of them if no more
// than MaxOwn of the jobs need rows of their own.
func (j *Journal) Write(changed map[mothferry.JobID]mfjob.Progress) []mothferry.Write {
	if j.jobs == nil {
		j.jobs, j.live, j.sizes = map[mothferry.JobID]*entry{}, map[uint64]map[mothferry.JobID]*entry{}, map[uint64]mothferry.Bytes{}
	}
	var rows []mothferry.Write
	s := &segment{}
	for _, id := range slices.Sorted(maps.Keys(changed)) {
		p := changed[id]
		own := j.NeedsOwnRow(id, p)
		j.unlink(id)
		if p.State.Final() {
			delete(j.jobs, id)
			rows = append(rows, ownRow(id, p, 0))
			continue
		}
		e := &entry{progress: p}
		j.jobs[id] = e
		if own {
			rows = append(rows, ownRow(id, p, j.lastSegment))
			continue
		}
		text := mfjob.EncodeProgress(p)
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

// unlink takes a job out of the segment that its newest progress was in.
func (j *Journal) unlink(id mothferry.JobID) {
	if e, known := j.jobs[id]; known && e.segment != 0 {
		delete(j.live[e.segment], id)
	}
}

// addSegment gives a segment its number and returns its row.
func (j *Journal) addSegment(s *segment) mothferry.Write {
	j.lastSegment++
	at := map[mothferry.JobID]*entry{}
	for id, e := range s.entries {
		e.segment = j.lastSegment
		at[id] = e
	}
	j.live[j.lastSegment] = at
	value := s.value()
	j.sizes[j.lastSegment] = mothferry.Bytes(len(value))
	return mothferry.Write{Table: mfrecord.TableLog, Part: mfrecord.PartShard, Key: mfrecord.LogKey(j.lastSegment), Value: value}
}

// storedSegments returns the numbers of the segments that are still stored, the oldest first. An
// earlier program may have left gaps between them.
func (j *Journal) storedSegments() []uint64 { return slices.Sorted(maps.Keys(j.live)) }

// moveOldEntries writes jobs of the oldest segments to their own rows if there are too many
// segments, or too many bytes in them.
func (j *Journal) moveOldEntries(changed map[mothferry.JobID]mfjob.Progress) []mothferry.Write {
	var rows []mothferry.Write
	size := mothferry.Bytes(0)
	for _, bytes := range j.sizes {
		size += bytes
	}
	for _, n := range j.storedSegments() {
		tooLarge := j.MaxLog > 0 && size > j.MaxLog
		if n+maxSegments > j.lastSegment && !tooLarge || len(rows) >= maxMovedRows {
			break
		}
		size -= j.sizes[n]
		for _, id := range slices.Sorted(maps.Keys(j.live[n])) {
			if len(rows) >= maxMovedRows {
				break
			}
			if _, newer := changed[id]; newer {
				continue
			}
			e := j.live[n][id]
			delete(j.live[n], id)
			e.segment = 0
			rows = append(rows, ownRow(id, e.progress, j.lastSegment))
		}
	}
	return rows
}

// deleteEmptySegments deletes the oldest segments while nothing in them is the newest of its job.
func (j *Journal) deleteEmptySegments(most int) []mothferry.Write {
	var rows []mothferry.Write
	for _, n := range j.storedSegments() {
		if len(j.live[n]) > 0 || len(rows) >= most {
			break
		}
		delete(j.live, n)
		delete(j.sizes, n)
		rows = append(rows, mothferry.Write{Table: mfrecord.TableLog, Part: mfrecord.PartShard, Key: mfrecord.LogKey(n), Delete: true})
	}
	return rows
}

// ownRow is the row of one job; after is the newest segment when it was written.
func ownRow(id mothferry.JobID, p mfjob.Progress, after uint64) mothferry.Write {
	p.After = after
	return mothferry.Write{Table: mfrecord.TableProgress, Part: mfrecord.PartShard, Key: mothferry.Key(id), Value: mfjob.EncodeProgress(p)}
}

// segment is one row of the log.
type segment struct {
	entries map[mothferry.JobID]*entry
	text    []byte
}

// fits reports whether one more entry fits; the first one always does.
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

// Read takes in what is stored of a shard: the rows of its jobs and of its log. It
// returns the newest progress of each job and the journal to go on with.
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
		// An older program goes by After: numbers of the log must not begin again below it.
		j.lastSegment = max(j.lastSegment, p.After)
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

// readSegment takes in one row of the log; they come in order. Written holds the versions of the
// jobs' own rows: the store's versions alone tell which of two rows was written last.
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
		// A job whose row is newer, is over, or was forgotten needs nothing of the log.
		e, open := j.jobs[id]
		if !open {
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
