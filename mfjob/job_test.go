package mfjob_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mothferry"
	"mothferry/mfjob"
)

func TestProgressIsStoredWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := mfjob.Progress{State: mfjob.StateRunning}
		step := mfjob.StepProgress{}
		for range rapid.IntRange(1, 5).Draw(t, "tasks") {
			run := rapid.IntRange(0, 3).Draw(t, "run")
			task := mfjob.TaskProgress{Run: mothferry.RunNumber(run)}
			if run > 0 {
				task.Done = rapid.Bool().Draw(t, "done")
				task.Failures = rapid.IntRange(0, run).Draw(t, "failures")
				task.Worker = mothferry.WorkerID(rapid.SampledFrom([]string{"", "w-1", "w\"2"}).Draw(t, "worker"))
				task.Checkpoint = mothferry.Checkpoint(rapid.StringN(0, 4, -1).Draw(t, "checkpoint"))
			}
			step.Tasks = append(step.Tasks, task)
		}
		want.Occurrences = [][]mfjob.StepProgress{{step, {Done: true}}}
		data, err := mfjob.EncodeProgress(want)
		assert.NilError(t, err)
		got, err := mfjob.DecodeProgress(data)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, want)
	})
}

func TestNewerRowsAreRefused(t *testing.T) {
	_, err := mfjob.DecodeProgress([]byte(`{"format":2,"state":"running"}`))
	assert.ErrorType(t, err, &mfjob.ErrNewerFormat{})
	_, err = mfjob.DecodeSubmission([]byte(`{"format":2}`))
	assert.ErrorType(t, err, &mfjob.ErrNewerFormat{})
}

func TestCheckRefuses(t *testing.T) {
	sound := func() mfjob.Submission {
		return mfjob.Submission{Steps: []mfjob.Step{{Count: 1}, {Count: 2, After: []int{0}}}}
	}
	assert.NilError(t, sound().Check())
	for name, spoil := range map[string]func(*mfjob.Submission){
		"no steps":      func(s *mfjob.Submission) { s.Steps = nil },
		"count of zero": func(s *mfjob.Submission) { s.Steps[0].Count = 0 },
		"points ahead":  func(s *mfjob.Submission) { s.Steps[0].After = []int{1} },
		"points itself": func(s *mfjob.Submission) { s.Steps[1].After = []int{1} },
		"too many":      func(s *mfjob.Submission) { s.Repeat = 1000 },
		"long spec":     func(s *mfjob.Submission) { s.Spec = string(make([]byte, mfjob.MaxSpec+1)) },
	} {
		t.Run(name, func(t *testing.T) {
			s := sound()
			spoil(&s)
			assert.ErrorType(t, s.Check(), &mfjob.ErrInvalid{})
		})
	}
}
