package mfsched

import (
	"time"

	"mothferry"
	"mothferry/mfjob"
	"mothferry/mfjournal"
)

// maxRow returns the largest value that the store takes.
func (s *State) maxRow() int {
	if s.Limits.MaxRow == 0 {
		return int(mfjournal.DefaultMaxRow)
	}
	return int(s.Limits.MaxRow)
}

// storedSize returns an upper bound for the size of a job's stored progress.
func (s *State) storedSize(j *job) int {
	size, checkpoints := s.storedSizeWithoutCheckpoints(j), 0
	if j.state.Final() {
		return size
	}
	for t := range j.tasks() {
		if t.phase != phaseDone && t.checkpoint != "" {
			checkpoints += mfjob.TextSize(string(t.checkpoint))
		}
	}
	// Checkpoints that don't fit are left out.
	return max(size, min(size+checkpoints, s.maxRow()))
}

func (s *State) storedSizeWithoutCheckpoints(j *job) int {
	size := storedSizeWithoutTasks(j)
	if j.state.Final() {
		return size
	}
	for _, o := range j.occurrences {
		for _, p := range o.steps {
			if p.remaining == 0 {
				continue
			}
			for _, t := range p.tasks {
				size += t.progress().MaxSize()
			}
		}
	}
	return size
}

// storedSizeWithoutTasks returns an upper bound for the size of a job's stored progress without its
// tasks.
func storedSizeWithoutTasks(j *job) int {
	size := mfjob.JobSize + mfjob.TextSize(string(j.submission.Account))
	if j.state.Final() {
		return size
	}
	occurrences := len(j.occurrences)
	if !j.submission.LongSchedule() {
		occurrences = j.begun
	}
	return size + occurrences*(mfjob.OccurrenceSize+mfjob.StepSize*len(j.submission.Steps))
}

// LongestWorkerID returns the length of the longest id of a worker that may have tasks, as stored.
func (s *State) LongestWorkerID() int { return s.longestWorkerID }

// recordWorkerID records the id of a worker that may have tasks: one that has answered, or that a
// previous owner stored. An entry that no worker wrote would limit how many tasks jobs may have.
func (s *State) recordWorkerID(id mothferry.WorkerID) {
	if size := mfjob.TextSize(string(id)); size > s.longestWorkerID {
		s.longestWorkerID, s.maxTaskSize = size, mfjob.MaxTaskSize(size)
	}
}

// rowRoom is how much further a job's stored progress may grow, so that its row keeps fitting.
type rowRoom struct{ bytes int }

// rowRoomOf returns the room in a job's row.
func (s *State) rowRoomOf(j *job) rowRoom {
	if size := storedSizeWithoutTasks(j) + j.openTasks()*s.maxTaskSize; size <= s.maxRow() {
		// No run of its tasks can fill the row.
		return rowRoom{bytes: s.maxRow()}
	}
	return rowRoom{bytes: s.maxRow() - s.storedSizeWithoutCheckpoints(j)}
}

// take takes the room for a run of a task on a worker; it reports whether there was enough.
func (r *rowRoom) take(t *task, w *worker, run mothferry.RunNumber) bool {
	p := t.progress()
	before := p.MaxSize()
	p.Run, p.Worker = run, w.at.Worker
	return r.grow(p.MaxSize() - before)
}

// takeCopy takes the room for a copy of a task on a worker; it reports whether there was enough.
func (r *rowRoom) takeCopy(t *task, w *worker) bool {
	p := t.progress()
	before := p.MaxSize()
	p.Current, p.Run = t.run, t.highestRun()+1
	p.Copy, p.CopyWorker = p.Run, w.at.Worker
	return r.grow(p.MaxSize() - before)
}

func (r *rowRoom) grow(by int) bool {
	if by > r.bytes {
		return false
	}
	r.bytes -= by
	return true
}

func (j *job) openTasks() int { return len(j.occurrences) * j.submission.TasksPerOccurrence() }

// maxCommitBytes bounds the progress in one commit: a transaction takes 1 MB, encoded, with what
// the journal moves along, the head and the waves.
const maxCommitBytes = 320 * mothferry.Kibibyte

// rowFullFor is how long a job counts as held for want of room after a task last was.
const rowFullFor = 2 * time.Second

// recordRowFull records that tasks of a job wait until others end, as its row is full.
func (s *State) recordRowFull(j *job, now time.Time) {
	if !j.isRowFull(now) {
		s.emit(Decision{Message: "tasks wait for space in their job's row", Job: j.id, Fields: map[string]any{
			"queue": j.submission.Queue, "open": j.openTasks(), "size": s.storedSizeWithoutCheckpoints(j), "limit": s.maxRow(),
		}})
	}
	j.rowFullAt = now
}

// isRowFull reports whether tasks of the job wait for room in its row.
func (j *job) isRowFull(now time.Time) bool {
	return !j.rowFullAt.IsZero() && now.Sub(j.rowFullAt) < rowFullFor
}
