package mfjob

import (
	"strings"

	"mothferry"
)

// Sizes of the stored form of a job's progress, in bytes, apart from its tasks.
const (
	// JobSize is that of a job without its account and its occurrences, with what the log adds.
	JobSize = 128
	// OccurrenceSize is that of an occurrence without its steps.
	OccurrenceSize = 24
	// StepSize is that of a step without its tasks.
	StepSize = 14
)

// Largest numbers in the stored form of a task. Those of crashes, and for tasks that last those of
// failures, are stored up to their maximum; runs beyond it only take space that is not reserved.
const (
	MaxStoredCrashes  = 99
	MaxStoredFailures = 9_999

	maxRun, maxFailures = 99_999, 999
	maxLastingRun       = 99_999_999
)

// Size returns the length of a task's stored form with a separator, and without its checkpoint.
// Characters that are escaped may count for more than they take.
func (t TaskProgress) Size() int {
	size := len("[0],")
	if t.Run == 0 {
		return size
	}
	size += len(",,") + digits(int(t.Run)) + digits(t.Failures)
	crashes := t.hasCrashes() || t.hasCopy()
	if t.Worker != "" || crashes {
		size += len(`,""`) + TextSize(string(t.Worker))
	}
	if crashes {
		size += len(`,"",,,`) + digits(t.Crashes.Known) + digits(t.Crashes.Early) + digits(t.Crashes.Unseen)
	}
	if t.hasCopy() {
		size += len(`,,,""`) + digits(int(t.Current)) + digits(int(t.Copy)) + TextSize(string(t.CopyWorker))
	}
	return size
}

// MaxSize returns the largest Size of a task until its next run is planned: its run, and that of its
// copy, may fail, and their workers may crash.
func (t TaskProgress) MaxSize() int {
	if t.Run == 0 {
		return t.Size()
	}
	t.Failures += 2
	for _, count := range []*int{&t.Crashes.Known, &t.Crashes.Early, &t.Crashes.Unseen} {
		*count = min(*count+2, max(*count, MaxStoredCrashes))
	}
	return t.Size()
}

// MaxTaskSize returns the largest Size of a task whose workers' ids have up to some characters.
func MaxTaskSize(workerID int) int {
	t := widestTask(true, workerID)
	t.Current, t.Copy, t.CopyWorker = t.Run, t.Run, t.Worker
	return t.Size()
}

// widestTask returns the progress of a task with the largest numbers, on a worker whose id has some
// characters; 0 for none.
func widestTask(lasting bool, workerID int) TaskProgress {
	t := TaskProgress{
		Run: maxRun, Failures: maxFailures, Worker: mothferry.WorkerID(strings.Repeat("w", workerID)),
		Crashes: Crashes{Known: MaxStoredCrashes, Early: MaxStoredCrashes, Unseen: MaxStoredCrashes},
	}
	if lasting {
		t.Run, t.Failures = maxLastingRun, MaxStoredFailures
	}
	return t
}

// MaxProgressSize returns the largest size of the job's stored progress, without checkpoints, that
// the job needs to make progress on workers whose ids have up to some characters. Tasks of a gang run
// together or not at all, and those that last all run, so that a job with such tasks needs space for
// a run of each of its tasks; any other needs space for one run.
func (s Submission) MaxProgressSize(workerID int) mothferry.Bytes {
	open, done := s.maxOpen(), 0
	if !s.LongSchedule() {
		done = s.Occurrences() - open
	}
	size := JobSize + TextSize(string(s.Account)) + (open+done)*(OccurrenceSize+StepSize*len(s.Steps))
	together := s.runsTogether()
	for i := range s.Steps {
		step := &s.Steps[i]
		waiting, running := widestTask(step.Lasting, 0).Size(), widestTask(step.Lasting, workerID).Size()
		if together {
			size += open * step.Count * running
			continue
		}
		size += open * step.Count * waiting
		if i == 0 {
			size += running - waiting
		}
	}
	return mothferry.Bytes(size)
}

// runsTogether reports whether tasks of the job wait for others to run at the same time.
func (s Submission) runsTogether() bool {
	for i := range s.Steps {
		if s.Steps[i].Gang || s.Steps[i].Lasting {
			return true
		}
	}
	return false
}

// maxOpen returns how many occurrences may be open at the same time.
func (s Submission) maxOpen() int {
	open := 1
	for open < s.Repeat && s.MayOpen(open) {
		open++
	}
	return open
}

// digits returns the number of decimal digits of a number.
func digits(n int) int {
	count := 1
	for ; n >= 10; n /= 10 {
		count++
	}
	return count
}
