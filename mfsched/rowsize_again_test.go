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

// Guards against an accepted job that can't begin again, as its row seems to be full: whatever the
// state of its tasks and the ids of the workers, all that has to run together can.
func TestAcceptedJobCanAlwaysBeginAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(DefaultLimits(), 1, time.Unix(0, 0), time.Unix(0, 0))
		length := rapid.IntRange(1, 120).Draw(t, "id length")
		w := &worker{at: mothferry.WorkerAddress{Worker: mothferry.WorkerID(strings.Repeat("w", length))}}
		s.recordWorkerID(w.at.Worker)
		j := &job{id: "j", state: stateRunning}
		together := false
		steps := rapid.IntRange(1, 3).Draw(t, "steps")
		for range steps {
			kind := rapid.IntRange(0, 2).Draw(t, "kind")
			together = together || kind > 0
			j.submission.Steps = append(j.submission.Steps, mfjob.Step{
				Count: rapid.IntRange(1, mfjob.MaxTasks/steps).Draw(t, "tasks"), Gang: kind == 1, Lasting: kind == 2,
			})
		}
		j.submission.Repeat = rapid.SampledFrom([]int{0, 2, 5, 1000}).Draw(t, "repeat")
		if j.submission.MaxProgressSize(length) > mothferry.Bytes(s.maxRow()) {
			t.Skip("refused")
		}
		for j.begun < max(1, j.submission.Repeat) && j.submission.MayOpen(len(j.occurrences)) {
			o := newOccurrence(j, j.begun, time.Unix(0, 0))
			j.occurrences = append(j.occurrences, o)
			j.begun++
			for _, p := range o.steps {
				run := rapid.IntRange(0, 10_000).Draw(t, "run")
				crashes := rapid.IntRange(0, 120).Draw(t, "crashes")
				for _, x := range p.tasks {
					x.run = mothferry.RunNumber(run)
					if run > 0 {
						x.failures, x.crashes = crashes, mfjob.Crashes{Known: crashes, Early: crashes, Unseen: crashes}
					}
				}
			}
		}
		room := s.rowRoomOf(j)
		for x := range j.tasks() {
			if !room.take(x, w, x.run+1) {
				t.Fatalf("no room for a run of %v", x.name)
			}
			x.run, x.phase, x.worker = x.run+1, phasePlanned, w
			if !together {
				break
			}
		}
		assert.Assert(t, len(mfjob.EncodeProgress(progressOf(j))) <= s.maxRow())
	})
}
