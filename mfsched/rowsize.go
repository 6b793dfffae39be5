package mfsched

import (
	"mothferry"
	"mothferry/mfjob"
	"mothferry/mfjournal"
)

// Sizes of the stored form of a job's progress, in bytes.
const (
	// jobRowBytes is that of a job without its account and its occurrences.
	jobRowBytes = 128
	// occurrenceRowBytes is that of an open occurrence of a long schedule without its steps.
	occurrenceRowBytes = 24
	// stepRowBytes is that of a step without its tasks.
	stepRowBytes = 14
	// newTaskRowBytes is that of a task without a run, taskRowBytes that of a task without its
	// numbers and texts, with counts of crashes.
	newTaskRowBytes = 4
	taskRowBytes    = 18
	// copyRowBytes is what a copy adds to its task, apart from its numbers and its worker's id.
	copyRowBytes = 5
)

// unboundedJobTasks is the number of open tasks up to which a job's progress fits a row with any
// worker ids.
const unboundedJobTasks = 50

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
	size := jobRowBytes + mfjob.TextSize(string(j.submission.Account))
	if j.state.Final() {
		return size
	}
	if !j.submission.LongSchedule() {
		size += (j.begun - len(j.occurrences)) * (occurrenceRowBytes + stepRowBytes*len(j.submission.Steps))
	}
	for _, o := range j.occurrences {
		size += occurrenceRowBytes + stepRowBytes*len(o.steps)
		for _, p := range o.steps {
			if p.remaining == 0 {
				continue
			}
			for _, t := range p.tasks {
				size += t.storedSize()
			}
		}
	}
	return size
}

// storedSize returns an upper bound for the size of a task without its checkpoint. An assigned task
// counts as one whose worker may crash, so that its size does not grow when that happens.
func (t *task) storedSize() int {
	run := t.highestRun()
	if run == 0 {
		return newTaskRowBytes
	}
	size := taskRowBytes + digits(int(run)) + digits(t.failures) + digits(t.crashes.Known) + digits(t.crashes.Early) + digits(t.crashes.Unseen)
	if t.worker != nil {
		size += idSize(t.worker)
	}
	if t.copyTask != nil || t.worker != nil && t.run != run {
		size += copyRowBytes + 2*digits(int(run))
	}
	if t.copyTask != nil {
		size += idSize(t.copyTask.worker)
	}
	return size
}

// digits returns the number of decimal digits of a number.
func digits(n int) int {
	count := 1
	for ; n >= 10; n /= 10 {
		count++
	}
	return count
}

func idSize(w *worker) int { return mfjob.TextSize(string(w.at.Worker)) }

// rowRoom is how much further a job's stored progress may grow, so that its row keeps fitting.
type rowRoom struct{ bytes int }

// rowRoomOf returns the room in a job's row.
func (s *State) rowRoomOf(j *job) rowRoom {
	if j.openTasks() <= unboundedJobTasks {
		return rowRoom{bytes: s.maxRow()}
	}
	return rowRoom{bytes: s.maxRow() - s.storedSizeWithoutCheckpoints(j)}
}

// plannedRunBytes is by how much the stored form of a task grows at most if a run or a copy of it is
// planned, apart from the worker's id.
const plannedRunBytes = taskRowBytes + copyRowBytes + 8

// take takes the room for a run on a worker; it reports whether there was enough.
func (r *rowRoom) take(w *worker) bool {
	if size := plannedRunBytes + idSize(w); size <= r.bytes {
		r.bytes -= size
		return true
	}
	return false
}

func (j *job) openTasks() int { return len(j.occurrences) * j.submission.TasksPerOccurrence() }

// maxCommitBytes bounds the progress in one commit: a transaction takes 1 MB, encoded, with what
// the journal moves along, the head and the waves.
const maxCommitBytes = 320 * mothferry.Kibibyte

// logRowFull logs once for each job that its tasks wait until others end, as its row is full.
func (s *State) logRowFull(j *job) {
	if j.rowFull {
		return
	}
	j.rowFull = true
	s.emit(Decision{Message: "tasks wait for space in their job's row", Job: j.id, Fields: map[string]any{"queue": j.submission.Queue, "open": j.openTasks()}})
}
