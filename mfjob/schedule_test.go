package mfjob_test

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mothferry"
	"mothferry/mfjob"
)

func scheduledJob(first time.Time, interval time.Duration, repeat, tasks int) mfjob.Submission {
	return mfjob.Submission{Steps: []mfjob.Step{{Count: tasks}}, First: first, Interval: interval, Repeat: repeat}
}

// Guards against a due time that wraps: an occurrence would start before it is due, or never.
func TestDueTimesDoNotWrap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := time.Unix(rapid.Int64Range(-60_000_000_000, 250_000_000_000).Draw(t, "first"), 0)
		interval := time.Duration(rapid.Int64Range(0, math.MaxInt64).Draw(t, "interval"))
		repeat := rapid.IntRange(1, math.MaxInt64).Draw(t, "repeat")
		now := time.Unix(rapid.Int64Range(0, 10_000_000_000).Draw(t, "now"), 0)
		s := scheduledJob(first, interval, repeat, 1)
		due := s.DueOccurrences(now)
		assert.Assert(t, due >= 0 && due <= repeat, "%d of %d", due, repeat)
		if due > 0 {
			assert.Assert(t, !s.ScheduledAt(due-1).After(now))
		}
		if due < repeat && now.Sub(first) < math.MaxInt64 {
			assert.Assert(t, s.ScheduledAt(due).After(now))
		}
		assert.Assert(t, !s.ScheduledAt(repeat-1).Before(first))
	})
}

// Guards against a product of tasks and repetitions that wraps and passes as a small number: a
// schedule without an end is accepted, more tasks in one occurrence than a row holds are not.
func TestCheckDoesNotWrap(t *testing.T) {
	for _, tasks := range []int{1, 2, mfjob.MaxTasks} {
		for _, repeat := range []int{1, 1000, 1 << 32, 1 << 62, math.MaxInt64} {
			s := scheduledJob(time.Unix(0, 0), time.Minute, repeat, tasks)
			assert.NilError(t, s.Check(), "%d tasks, %d times", tasks, repeat)
			assert.Equal(t, s.LongSchedule(), repeat > mfjob.MaxTasks/tasks)
			s.Steps = append(s.Steps, mfjob.Step{Count: mfjob.MaxTasks})
			assert.ErrorType(t, s.Check(), &mfjob.ErrInvalid{}, "%d tasks, %d times", tasks, repeat)
		}
	}
}

// Guards against an older program that lays out a long schedule in full, or takes the list of its
// open occurrences for all of them: it refuses both rows. Other jobs stay readable for it.
func TestLongSchedulesHaveTheirOwnFormat(t *testing.T) {
	const newestSubmissionBefore, newestProgressBefore = 2, 4
	format := func(data []byte) int {
		var stored struct {
			Format int `json:"format"`
		}
		assert.NilError(t, json.Unmarshal(data, &stored))
		return stored.Format
	}
	short, err := mfjob.EncodeSubmission(scheduledJob(time.Unix(0, 0), time.Minute, 10, 2))
	assert.NilError(t, err)
	assert.Assert(t, format(short) <= newestSubmissionBefore)
	long, err := mfjob.EncodeSubmission(scheduledJob(time.Unix(0, 0), time.Minute, math.MaxInt64, 2))
	assert.NilError(t, err)
	assert.Assert(t, format(long) > newestSubmissionBefore)

	p := mfjob.Progress{
		State: mfjob.StateRunning, Occurrences: [][]mfjob.StepProgress{{{Tasks: []mfjob.TaskProgress{{Run: 1, Worker: "w-1"}}}}, {{}}},
		Open: &mfjob.OpenOccurrences{Begun: 9, Numbers: []int{3, 8}},
	}
	data := mfjob.EncodeProgress(p)
	assert.Equal(t, string(data), `{"format":5,"state":"running","steps":[[{"tasks":[[0,1,0,"w-1"]]}],[{}]],"open":{"begun":9,"numbers":[3,8]}}`)
	assert.Assert(t, format(data) > newestProgressBefore)
	got, err := mfjob.DecodeProgress(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, p)
	p.Open = nil
	assert.Assert(t, format(mfjob.EncodeProgress(p)) <= newestProgressBefore)
}

// Guards against progress whose occurrences can't be told apart: it is refused.
func TestProgressNumbersEachOccurrence(t *testing.T) {
	_, err := mfjob.DecodeProgress([]byte(`{"format":5,"state":"running","steps":[[{}],[{}]],"open":{"begun":9,"numbers":[3]}}`))
	assert.ErrorType(t, err, &mfjob.ErrMismatchedNumbers{})
}

// Guards against an objective that wraps, by which a job would be too late as soon as it arrives.
func TestObjectiveDoesNotWrap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stretch := rapid.Float64Range(0, 1e6).Draw(t, "stretch")
		latency := time.Duration(rapid.Int64Range(0, math.MaxInt64).Draw(t, "latency"))
		criticalPath := time.Duration(rapid.Int64Range(0, mfjob.MaxSteps*int64(mfjob.MaxEstimate)).Draw(t, "critical path"))
		objective := mfjob.Objective(stretch, latency, criticalPath)
		assert.Assert(t, objective >= 0)
		assert.Assert(t, mfjob.TooLateFactor*objective >= objective)
	})
}

// Guards against sums over needs that an older program accepted without a bound.
func TestStoredNeedsAreBounded(t *testing.T) {
	s := scheduledJob(time.Unix(0, 0), 0, 0, 2)
	s.Steps[0].Need = mothferry.Resources{Cores: math.MaxInt64, Memory: math.MaxInt64, Accelerators: math.MaxInt64}
	s.Steps[0].Estimate = math.MaxInt64
	data, err := mfjob.EncodeSubmission(s)
	assert.NilError(t, err)
	got, err := mfjob.DecodeSubmission(data)
	assert.NilError(t, err)
	assert.Equal(t, got.Steps[0].Need, mfjob.MaxNeed)
	assert.Equal(t, got.Steps[0].Estimate, mfjob.MaxEstimate)
	assert.NilError(t, got.Check())
}
