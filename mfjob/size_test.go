package mfjob_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mothferry"
	"mothferry/mfjob"
)

// drawTaskProgress returns the progress of a task in any state, without a checkpoint.
func drawTaskProgress(t *rapid.T) mfjob.TaskProgress {
	id := rapid.StringMatching(`[ -~]{1,60}|[a-z0-9]{1,200}`)
	p := mfjob.TaskProgress{Done: rapid.Bool().Draw(t, "done"), Run: mothferry.RunNumber(rapid.IntRange(0, 100_000).Draw(t, "run"))}
	if p.Run == 0 {
		return mfjob.TaskProgress{}
	}
	p.Failures = rapid.IntRange(0, 200).Draw(t, "failures")
	count := rapid.IntRange(0, mfjob.MaxStoredCrashes)
	if rapid.Bool().Draw(t, "crashed") {
		p.Crashes = mfjob.Crashes{Known: count.Draw(t, "known"), Early: count.Draw(t, "early"), Unseen: count.Draw(t, "unseen")}
	}
	if p.Done || rapid.Bool().Draw(t, "waiting") {
		return p
	}
	p.Worker = mothferry.WorkerID(id.Draw(t, "worker"))
	if rapid.Bool().Draw(t, "copied") {
		p.Current, p.Copy, p.CopyWorker = max(1, p.Run-1), p.Run, mothferry.WorkerID(id.Draw(t, "copy worker"))
	}
	return p
}

// encodedSize returns the length that a task adds to its step.
func encodedSize(p mfjob.TaskProgress) int {
	length := func(tasks ...mfjob.TaskProgress) int {
		return len(mfjob.EncodeProgress(mfjob.Progress{State: mfjob.StateRunning, Occurrences: [][]mfjob.StepProgress{{{Tasks: tasks}}}}))
	}
	return length(p, p) - length(p)
}

// Guards against a size of a task's progress that differs from what is stored: it is exact but for
// escaped characters, and is not exceeded before the task's next run.
func TestTaskSizeAgreesWithStoredForm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawTaskProgress(t)
		stored, size, bound := encodedSize(p), p.Size(), p.MaxSize()
		assert.Assert(t, stored <= size && size <= bound, "stored %d, size %d, bound %d of %+v", stored, size, bound, p)
		if !strings.ContainsAny(string(p.Worker+p.CopyWorker), `"\<>&`) {
			assert.Equal(t, stored, size)
		}
		if p.Worker == "" {
			return
		}
		after := p
		after.Worker, after.Current, after.Copy, after.CopyWorker = "", 0, 0, ""
		after.Failures++
		after.Crashes.Known++
		after.Crashes.Unseen++
		after.Crashes = after.Crashes.Stored()
		assert.Assert(t, encodedSize(after) <= bound, "%d after a crash, bound %d of %+v", encodedSize(after), bound, p)
		assert.Assert(t, bound <= mfjob.MaxTaskSize(max(mfjob.TextSize(string(p.Worker)), mfjob.TextSize(string(p.CopyWorker)))))
	})
}

// Guards against a job that is accepted though the row can't hold what has to run together, and
// against one that is refused though its tasks may run one after the other.
func TestJobsNeedSpaceForWhatRunsTogether(t *testing.T) {
	const row = 64 * mothferry.Kibibyte
	for _, c := range []struct {
		name     string
		step     mfjob.Step
		repeat   int
		workerID int
		fits     bool
	}{
		{"gang of the largest width", mfjob.Step{Count: 1000, Gang: true}, 0, 36, true},
		{"gang with long ids of workers", mfjob.Step{Count: 1000, Gang: true}, 0, 64, false},
		{"narrower gang with long ids", mfjob.Step{Count: 600, Gang: true}, 0, 64, true},
		{"lasting tasks with long ids", mfjob.Step{Count: 1000, Lasting: true}, 0, 64, false},
		{"tasks that may wait for each other", mfjob.Step{Count: 1000}, 0, 1000, true},
		{"two open occurrences of a gang", mfjob.Step{Count: 450, Gang: true}, 2, 64, false},
		{"one occurrence of it", mfjob.Step{Count: 450, Gang: true}, 1, 64, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := mfjob.Submission{Steps: []mfjob.Step{c.step}, Repeat: c.repeat}
			assert.Equal(t, s.MaxProgressSize(c.workerID) <= row, c.fits, "%d bytes", s.MaxProgressSize(c.workerID))
		})
	}
}
