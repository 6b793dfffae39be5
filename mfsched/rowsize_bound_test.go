package mfsched

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mothferry"
	"mothferry/mfjob"
)

// Guards against a row that is longer than the scheduler expects, so that tasks start though their
// job's row is full: the expected size is never below that of the stored form, and does not grow when
// workers crash.
func TestStoredSizeIsAnUpperBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(DefaultLimits(), 1, time.Unix(0, 0), time.Unix(0, 0))
		j := &job{id: "j", state: mfjob.StateRunning}
		steps := rapid.IntRange(1, 3).Draw(t, "steps")
		tasks := rapid.IntRange(1, 5).Draw(t, "tasks")
		for range steps {
			j.submission.Steps = append(j.submission.Steps, mfjob.Step{Count: tasks})
		}
		j.submission.Repeat = rapid.SampledFrom([]int{1, 20, 1 << 62}).Draw(t, "repeat")
		j.begun = rapid.IntRange(0, j.submission.Repeat).Draw(t, "begun")
		j.begun = min(j.begun, j.submission.Repeat, 1<<61)
		number := 0
		for j.begun > 0 && number < j.begun && len(j.occurrences) < 4 {
			number += rapid.IntRange(0, (j.begun-number-1)/4).Draw(t, "skipped")
			o := newOccurrence(j, number, time.Unix(0, 0))
			for _, p := range o.steps {
				for _, x := range p.tasks {
					drawTask(t, x)
				}
			}
			j.occurrences = append(j.occurrences, o)
			number++
		}
		size := s.storedSizeWithoutCheckpoints(j)
		p := progressOf(j)
		assert.Assert(t, len(mfjob.EncodeProgress(p)) <= size)
		for _, o := range p.Occurrences {
			for _, st := range o {
				for x := range st.Tasks {
					if st.Tasks[x].Worker != "" {
						st.Tasks[x].Worker, st.Tasks[x].Copy, st.Tasks[x].CopyWorker, st.Tasks[x].Current = "", 0, "", 0
						st.Tasks[x].Crashes.Unseen++
					}
				}
			}
		}
		assert.Assert(t, len(mfjob.EncodeProgress(p)) <= size)
	})
}

// drawTask gives a task a state, without a checkpoint.
func drawTask(t *rapid.T, x *task) {
	x.run = mothferry.RunNumber(rapid.IntRange(0, 2000).Draw(t, "run"))
	if x.run == 0 {
		return
	}
	x.failures = rapid.IntRange(0, 8).Draw(t, "failures")
	x.crashes.Known = rapid.IntRange(0, 8).Draw(t, "crashes")
	id := func(name string) *worker {
		return &worker{at: mothferry.WorkerAddress{Worker: mothferry.WorkerID(strings.Repeat("w", rapid.IntRange(1, 200).Draw(t, name)))}}
	}
	switch rapid.IntRange(0, 3).Draw(t, "assigned") {
	case 0:
	case 1:
		x.phase = phaseDone
		x.step.remaining, x.step.waiting = x.step.remaining-1, x.step.waiting-1
	default:
		x.phase, x.worker = phaseRunning, id("worker")
		if rapid.Bool().Draw(t, "copied") {
			x.copyTask = x.newCopy(x.run + 1)
			x.copyTask.worker = id("copy worker")
			x.highestOtherRun = x.run + 1
		}
	}
}
