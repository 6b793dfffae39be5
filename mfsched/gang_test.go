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

// Guards against a count of pending jobs that leaves out gangs that wait: workers were found for some
// members only, and the job has not started.
func TestGangThatDoesNotFitStaysPending(t *testing.T) {
	s := newScript(t)
	s.step(mfsched.JobsLoaded{})
	for _, id := range []mothferry.WorkerID{"w-1", "w-2", "w-3"} {
		s.listWorker(id)
		s.advance(10 * time.Millisecond)
		s.answerPoll(id, mothferry.PollReport{})
	}
	job := submission(s.now, 4)
	job.Steps[0].Gang, job.Steps[0].Need.Cores = true, 12000
	s.step(mfsched.JobFound{Job: "gang", Submission: job})
	s.advance(200 * time.Millisecond)
	assert.Equal(t, len(takeCommands[mfsched.Start](s)), 0)
	pending, known := s.state.Pending()
	assert.Assert(t, known)
	assert.Equal(t, pending[queue], 1)
	s.listWorker("w-4")
	s.advance(10 * time.Millisecond)
	s.answerPoll("w-4", mothferry.PollReport{})
	s.advance(200 * time.Millisecond)
	starts := takeCommands[mfsched.Start](s)
	assert.Equal(t, len(starts), 4)
	for _, c := range starts {
		assert.Equal(t, c.Order.Run, mothferry.RunNumber(1))
	}
	pending, _ = s.state.Pending()
	assert.Equal(t, pending[queue], 0)
}

// Guards against a wide gang that never runs again after a crash of one of its workers, at the same
// owner or at a new one, as its job's row counts as full.
func TestWideGangBeginsAgainAfterCrash(t *testing.T) {
	for _, idLength := range []int{12, 24, 36} {
		for _, takeover := range []bool{false, true} {
			t.Run(fmt.Sprintf("ids of %d, takeover %v", idLength, takeover), func(t *testing.T) {
				const width = 1000
				s := newScript(t)
				var ids []mothferry.WorkerID
				for i := range 44 {
					ids = append(ids, mothferry.WorkerID(fmt.Sprintf("w-%02d%s", i, strings.Repeat("x", idLength-4))))
				}
				listAll(s, ids)
				job := submission(s.now, width)
				job.Steps[0].Gang, job.Steps[0].Need.Cores = true, 300
				s.step(mfsched.JobFound{Job: "j", Submission: job})
				starts := startedGang(s, width)
				crashed := starts[0].At.Worker
				if takeover {
					stored, err := mfjob.DecodeProgress(mfjob.EncodeProgress(s.committed["j"]))
					assert.NilError(t, err)
					next := newScript(t)
					next.now = s.now
					s = next
					s.step(mfsched.JobFound{Job: "j", Submission: job, Progress: &stored})
					listAll(s, ids)
				}
				s.step(mfsched.IncarnationEnded{Worker: crashed, ListedAt: s.now, Cause: mfsched.IncarnationCrashed})
				broken := map[mothferry.WorkerID][]mothferry.EndedTask{}
				for _, c := range starts {
					w := c.At.Worker
					broken[w] = append(broken[w], mothferry.EndedTask{Number: mothferry.EndNumber(len(broken[w]) + 1), Task: c.Order.Task, Run: c.Order.Run, Cause: mothferry.EndGangMember})
				}
				for range 300 {
					s.advance(10 * time.Millisecond)
					for _, p := range takeCommands[mfsched.Poll](s) {
						s.step(mfsched.PollAnswered{Worker: p.At.Worker, Number: p.Number, Sent: s.now, Report: mothferry.PollReport{
							Clock: mothferry.WorkerClock(s.now.Sub(startTime) + time.Hour), Ended: broken[p.At.Worker],
						}})
					}
				}
				again := takeCommands[mfsched.Start](s)
				assert.Assert(t, len(again) >= width, "%d of %d members start again", len(again), width)
				assert.Assert(t, len(mfjob.EncodeProgress(s.committed["j"])) <= int(mfjournal.DefaultMaxRow))
			})
		}
	}
}

// listAll lists workers and answers their first polls.
func listAll(s *script, ids []mothferry.WorkerID) {
	for _, id := range ids {
		s.listWorker(id)
	}
	s.advance(10 * time.Millisecond)
	for _, p := range takeCommands[mfsched.Poll](s) {
		s.step(mfsched.PollAnswered{Worker: p.At.Worker, Number: p.Number, Sent: s.now, Report: mothferry.PollReport{Clock: mothferry.WorkerClock(s.now.Sub(startTime) + time.Hour)}})
	}
}

// startedGang returns the starts of a gang, all of which are answered.
func startedGang(s *script, width int) []mfsched.Start {
	s.advance(100 * time.Millisecond)
	starts := takeCommands[mfsched.Start](s)
	assert.Equal(s.t, len(starts), width)
	for _, c := range starts {
		s.step(mfsched.StartAnswered{Worker: c.At.Worker, Task: c.Order.Task, Run: c.Order.Run, Result: mfsched.ResultDone})
	}
	return starts
}
