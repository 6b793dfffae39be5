package mfjob_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mothferry"
	"mothferry/mfjob"
)

// Guards against progress that the store does not take: whatever checkpoints workers hand out, it
// fits, and only checkpoints are left out.
func TestProgressFitsWithAnyCheckpoints(t *testing.T) {
	const limit = 4000
	rapid.Check(t, func(t *rapid.T) {
		p := mfjob.Progress{State: mfjob.StateRunning}
		step := mfjob.StepProgress{}
		for range rapid.IntRange(1, 50).Draw(t, "tasks") {
			task := mfjob.TaskProgress{Run: 1}
			if rapid.Bool().Draw(t, "assigned") {
				task.Worker = "w-1"
			}
			for range rapid.IntRange(0, 40).Draw(t, "length") {
				task.Checkpoint += mothferry.Checkpoint(rapid.SampledFrom([]string{"0123456789", "\x00<é\"\\", "\xff"}).Draw(t, "text"))
			}
			step.Tasks = append(step.Tasks, task)
		}
		p.Occurrences = [][]mfjob.StepProgress{{step}}
		before := mfjob.EncodeProgress(p)
		data, omitted := mfjob.EncodeProgressWithin(p, limit)
		assert.Assert(t, len(data) <= limit, "%d", len(data))
		assert.Equal(t, string(mfjob.EncodeProgress(p)), string(before), "the progress itself is unchanged")
		assert.Assert(t, omitted > 0 || string(data) == string(before))
		got, err := mfjob.DecodeProgress(data)
		assert.NilError(t, err)
		whole, err := mfjob.DecodeProgress(before)
		assert.NilError(t, err)
		for x := range step.Tasks {
			task := got.Occurrences[0][0].Tasks[x]
			if task.Checkpoint == "" && step.Tasks[x].Checkpoint != "" {
				omitted--
				task.Checkpoint = whole.Occurrences[0][0].Tasks[x].Checkpoint
			}
			assert.DeepEqual(t, task, whole.Occurrences[0][0].Tasks[x])
		}
		assert.Equal(t, omitted, 0)
	})
}

// Guards against the loss of work that only the stored progress holds: the checkpoints of tasks
// without a worker are kept before others, and one that is longer than a row keeps no other out.
func TestCheckpointsOfWaitingTasksAreKeptFirst(t *testing.T) {
	text := func(length int) mothferry.Checkpoint { return mothferry.Checkpoint(make([]byte, length)) }
	p := mfjob.Progress{State: mfjob.StateRunning, Occurrences: [][]mfjob.StepProgress{{{Tasks: []mfjob.TaskProgress{
		{Run: 1, Worker: "w-1", Checkpoint: "0123456789"},
		{Run: 1, Checkpoint: text(70_000)},
		{Run: 1, Checkpoint: "abcdefghij"},
	}}}}}
	data, omitted := mfjob.EncodeProgressWithin(p, 100)
	assert.Equal(t, string(data), `{"format":1,"state":"running","steps":[[{"tasks":[[0,1,0,"w-1"],[0,1,0],[0,1,0,"","abcdefghij"]]}]]}`)
	assert.Equal(t, omitted, 2)
	assert.Assert(t, len(data) <= 100)
}
