package mfsched_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfjob"
	"mothferry/mfjournal"
	"mothferry/mfsched"
)

const (
	// maxTransactionBytes is what a transaction takes, maxHeadBytes what the owner adds to a
	// commit: the head and the rows of waves.
	maxTransactionBytes = 1_000_000
	maxHeadBytes        = maxRowBytes + 80<<10
	// transactionOverhead is the size of the names in a transaction's entries.
	transactionOverhead = 100 * 150
)

// journaled stores the commits of a script as an owner does, and checks their sizes.
type journaled struct {
	*script
	journal mfjournal.Journal
	commits int
}

func (s *journaled) storeCommits() {
	for _, c := range takeCommands[mfsched.Commit](s.script) {
		s.commits++
		size := 0
		for _, w := range s.journal.Write(c.Progress) {
			assert.Assert(s.t, len(w.Value) <= maxRowBytes, "a row of %d bytes", len(w.Value))
			size += len(w.Value)
		}
		encoded := (size + maxHeadBytes) * 4 / 3
		assert.Assert(s.t, encoded+transactionOverhead <= maxTransactionBytes, "a transaction of %d bytes", encoded)
		s.step(mfsched.CommitDone{Number: c.Number})
	}
}

// Guards against rows and transactions that the store refuses for their size, after which nothing
// would start any more: many large jobs with long checkpoints start and report at the same time,
// on workers with short and with long ids.
func TestCommitsOfLargeJobsFitTheStore(t *testing.T) {
	for _, idLength := range []int{10, 200} {
		t.Run(fmt.Sprint(idLength), func(t *testing.T) {
			s := &journaled{script: newScript(t)}
			var ids []mothferry.WorkerID
			for i := range 12 {
				id := mothferry.WorkerID(fmt.Sprintf("w-%02d%s", i, strings.Repeat("x", idLength-4)))
				ids = append(ids, id)
				w := worker(id)
				w.Capacity.Cores = 2_000_000
				s.step(mfsched.WorkerListed{Worker: w})
			}
			for i := range 20 {
				job := submission(s.now, 900)
				job.Steps[0].Checkpoint, job.Steps[0].PerWorker = true, 300
				s.step(mfsched.JobFound{Job: jobID(fmt.Sprintf("j-%02d", i)), Submission: job})
			}
			running, ended := map[mothferry.WorkerID][]mothferry.RunningTask{}, map[mothferry.WorkerID][]mothferry.EndedTask{}
			started, done := 0, 0
			for tick := range 200 {
				s.now = s.now.Add(20 * time.Millisecond)
				s.step(mfsched.Tick{})
				s.storeCommits()
				for _, c := range takeCommands[mfsched.Start](s.script) {
					started++
					id := c.At.Worker
					running[id] = append(running[id], mothferry.RunningTask{
						Task: c.Order.Task, Run: c.Order.Run, Percent: 50, Checkpoint: mothferry.Checkpoint(strings.Repeat("c", 256)),
					})
					s.step(mfsched.StartAnswered{Worker: id, Task: c.Order.Task, Run: c.Order.Run, Result: mfsched.ResultDone})
				}
				for _, id := range ids {
					for range min(len(running[id]), 1+tick/20) {
						r := running[id][0]
						running[id] = running[id][1:]
						ended[id] = append(ended[id], mothferry.EndedTask{Number: mothferry.EndNumber(len(ended[id]) + 1), Task: r.Task, Run: r.Run, Cause: mothferry.EndDone})
						done++
					}
				}
				for _, p := range takeCommands[mfsched.Poll](s.script) {
					id := p.At.Worker
					s.step(mfsched.PollAnswered{Worker: id, Number: p.Number, Sent: s.now, Report: mothferry.PollReport{
						Clock: mothferry.WorkerClock(s.now.Sub(startTime) + time.Hour), Running: running[id], Ended: ended[id][max(0, len(ended[id])-400):],
					}})
				}
				s.out = nil
			}
			assert.Assert(t, started > 1000 && done > 1000 && s.commits > 100, "%d started, %d done, %d commits", started, done, s.commits)
		})
	}
}

// Guards against a job whose tasks all wait because its row is full: others start as some end.
func TestFullRowDelaysOnlyFurtherTasks(t *testing.T) {
	h := newTaskHost(newScript(t), mothferry.WorkerID(strings.Repeat("w", 200)), 300*time.Millisecond)
	w := worker(h.id)
	w.Capacity.Cores = 2_000_000
	h.s.step(mfsched.WorkerListed{Worker: w})
	h.s.step(mfsched.JobFound{Job: "large", Submission: submission(h.s.now, 900)})
	h.advance(200 * time.Millisecond)
	assert.Assert(t, len(h.starts) > 50 && len(h.starts) < 900, "%d started", len(h.starts))
	h.s.step(mfsched.JobFound{Job: "small", Submission: submission(h.s.now, 3)})
	h.advance(10 * time.Second)
	for _, id := range []mothferry.JobID{"large", "small"} {
		assert.Equal(t, h.s.committed[id].State, mfjob.StateCompleted, "%s", id)
	}
}

// Guards against rows that are filled by checkpoints that nobody needs any more: those of tasks that
// are done are not stored.
func TestCheckpointsOfDoneTasksAreNotStored(t *testing.T) {
	s := newScript(t)
	s.listWorker("w-1")
	s.advance(10 * time.Millisecond)
	s.answerPoll("w-1", mothferry.PollReport{})
	s.submit("j", 2)
	s.advance(50 * time.Millisecond)
	starts := takeCommands[mfsched.Start](s)
	assert.Equal(t, len(starts), 2)
	var running []mothferry.RunningTask
	for _, c := range starts {
		s.step(mfsched.StartAnswered{Worker: "w-1", Task: c.Order.Task, Run: 1, Result: mfsched.ResultDone})
		running = append(running, mothferry.RunningTask{Task: c.Order.Task, Run: 1, Percent: 50, Checkpoint: "saved"})
	}
	s.advance(300 * time.Millisecond)
	s.answerPoll("w-1", mothferry.PollReport{Running: running})
	s.advance(300 * time.Millisecond)
	s.answerPoll("w-1", mothferry.PollReport{Running: running[1:], Ended: []mothferry.EndedTask{
		{Number: 1, Task: running[0].Task, Run: 1, Cause: mothferry.EndDone, Checkpoint: "saved"},
	}})
	s.advance(100 * time.Millisecond)
	for _, task := range s.committed["j"].Occurrences[0][0].Tasks {
		assert.Equal(t, task.Checkpoint == "saved", !task.Done, "%+v", task)
	}
}
