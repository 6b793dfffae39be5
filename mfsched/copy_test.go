package mfsched_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfjob"
	"mothferry/mfsched"
)

const victim mothferry.JobID = "victim"

// newPoolWithCopy returns a pool in which the only task of the victim job runs on the slow worker
// w-0 and a copy of it on another worker, with the starts of both runs.
func newPoolWithCopy(t *testing.T) (p *simPool, original, copied mfsched.Start) {
	t.Helper()
	p = newSimPool(t, 6)
	p.submitSteadily(2 * time.Second)
	p.step(mfsched.WorkersToEvacuate{Workers: p.allButFirst()})
	p.starts = nil
	p.step(mfsched.JobFound{Job: victim, Submission: speculativeSubmission(p.now)})
	p.simulate(100 * time.Millisecond)
	p.step(mfsched.WorkersToEvacuate{})
	p.speed["w-0"] = 0.1
	for range 20 {
		p.submitSteadily(100 * time.Millisecond)
		var starts []mfsched.Start
		for _, c := range p.starts {
			if c.Order.Task.Job == victim {
				starts = append(starts, c)
			}
		}
		if len(starts) == 2 {
			assert.Equal(t, starts[0].At.Worker, mothferry.WorkerID("w-0"))
			assert.Assert(t, starts[1].At.Worker != starts[0].At.Worker)
			assert.Assert(t, starts[1].Order.Run > starts[0].Order.Run)
			return p, starts[0], starts[1]
		}
	}
	t.Fatal("the task has no copy")
	return nil, original, copied
}

// allButFirst returns all workers except w-0.
func (p *simPool) allButFirst() map[mothferry.WorkerID]bool {
	others := map[mothferry.WorkerID]bool{}
	for _, id := range p.workers[1:] {
		others[id] = true
	}
	return others
}

func speculativeSubmission(now time.Time) mfjob.Submission {
	s := submission(now, 1)
	s.Steps[0].Speculative = true
	return s
}

// countStarts counts the start orders of the job.
func (p *simPool) countStarts(job mothferry.JobID) int {
	count := 0
	for _, c := range p.starts {
		if c.Order.Task.Job == job {
			count++
		}
	}
	return count
}

// countStops counts the orders to stop the job's runs on a worker.
func (p *simPool) countStops(job mothferry.JobID, id mothferry.WorkerID) int {
	count := 0
	for _, c := range p.stops {
		if c.Task.Job == job && c.At.Worker == id {
			count++
		}
	}
	return count
}

// hasRun reports whether a run of the job is on a worker.
func (p *simPool) hasRun(job mothferry.JobID, id mothferry.WorkerID) bool {
	for _, r := range p.runs[id] {
		if r.task.Job == job {
			return true
		}
	}
	return false
}

func (p *simPool) hasJobState(job mothferry.JobID, state mfjob.State) bool {
	return p.committed[job].State == state
}

func TestCopyThatFinishesFirstCompletesTask(t *testing.T) {
	p, original, copied := newPoolWithCopy(t)
	stored := p.committed[victim].Occurrences[0][0].Tasks[0]
	assert.Equal(t, stored.CopyWorker, copied.At.Worker, "the copy is not stored")
	assert.Equal(t, stored.Current, original.Order.Run)
	p.simulate(time.Second)
	assert.Assert(t, p.hasJobState(victim, mfjob.StateCompleted))
	assert.Assert(t, !p.hasRun(victim, original.At.Worker), "the other run is not stopped")
	assert.Equal(t, p.countLogged(mfsched.MessageCopyFinished), 1)
	assert.Equal(t, p.countStarts(victim), 2)
}

// Guards against a copy that continues or is started again after the original run has completed
// the task.
func TestCopyIsStoppedWhenFirstRunFinishes(t *testing.T) {
	p, original, copied := newPoolWithCopy(t)
	p.speed[original.At.Worker], p.speed[copied.At.Worker] = 10, 0.1
	p.simulate(time.Second)
	assert.Assert(t, p.hasJobState(victim, mfjob.StateCompleted))
	assert.Assert(t, !p.hasRun(victim, copied.At.Worker))
	assert.Equal(t, p.countLogged(mfsched.MessageCopyStopped), 1)
	assert.Equal(t, p.countStarts(victim), 2)
}

// Guards against a lost stop order that isn't sent again, and against reuse of the other run's
// capacity while that run may still be there.
func TestStopOfOtherRunIsRetried(t *testing.T) {
	p, original, _ := newPoolWithCopy(t)
	p.dropStops[original.At.Worker] = true
	p.speed[original.At.Worker] = 0
	p.simulate(2 * time.Second)
	assert.Assert(t, p.hasJobState(victim, mfjob.StateCompleted))
	assert.Assert(t, p.hasRun(victim, original.At.Worker))
	assert.Assert(t, p.countStops(victim, original.At.Worker) > 1)
	p.dropStops[original.At.Worker] = false
	p.simulate(2 * time.Second)
	assert.Assert(t, !p.hasRun(victim, original.At.Worker))
}

// Guards against a third run next to the copy, or a lost task, when the original run's worker
// crashes.
func TestCopyContinuesAfterFirstWorkerCrash(t *testing.T) {
	p, original, copied := newPoolWithCopy(t)
	p.runs[original.At.Worker] = nil
	p.step(mfsched.IncarnationEnded{Worker: original.At.Worker, ListedAt: p.now, Cause: mfsched.IncarnationCrashed})
	p.simulate(20 * time.Millisecond)
	stored := p.committed[victim].Occurrences[0][0].Tasks[0]
	assert.Equal(t, stored.Worker, copied.At.Worker)
	assert.Equal(t, stored.CopyWorker, mothferry.WorkerID(""))
	p.simulate(time.Second)
	assert.Assert(t, p.hasJobState(victim, mfjob.StateCompleted))
	assert.Equal(t, p.countStarts(victim), 2)
}

// Guards against a new run under the number of a copy that has ended: a delayed order to start
// that copy may still be carried out.
func TestRunAfterCopyGetsNewNumber(t *testing.T) {
	p, original, copied := newPoolWithCopy(t)
	for _, id := range []mothferry.WorkerID{copied.At.Worker, original.At.Worker} {
		for _, r := range p.runs[id] {
			if r.task.Job == victim {
				p.stopRun(mfsched.Stop{At: mothferry.WorkerAddress{Worker: id}, Task: r.task, Run: r.run})
			}
		}
		p.simulate(60 * time.Millisecond)
	}
	p.simulate(time.Second)
	var last mfsched.Start
	for _, c := range p.starts {
		if c.Order.Task.Job == victim {
			last = c
		}
	}
	assert.Equal(t, last.Order.Run, copied.Order.Run+1)
}

// Guards against a copy that keeps running after its job was cancelled.
func TestCancelStopsBothRuns(t *testing.T) {
	p, original, copied := newPoolWithCopy(t)
	p.step(mfsched.CancelRequested{Job: victim})
	p.simulate(200 * time.Millisecond)
	assert.Assert(t, !p.hasRun(victim, original.At.Worker) && !p.hasRun(victim, copied.At.Worker))
}

// replaceOwner replaces the owner by a new one that loads the stored progress of the victim.
func (p *simPool) replaceOwner() {
	progress, now := p.committed[victim], p.now
	p.script = newScript(p.t)
	p.now, p.starts, p.stops = now, nil, nil
	p.state = mfsched.New(limits(), 3, now, now.Add(limits().LeaseExpiryBound()))
	p.step(mfsched.ConfigChanged{Queues: map[mothferry.QueueID]mfsched.Queue{
		queue: {Service: service, MaxAttempts: 2, Stretch: 1.6, Latency: 600 * time.Millisecond},
	}})
	p.step(mfsched.JobFound{Job: victim, Submission: speculativeSubmission(now), Progress: &progress})
	p.step(mfsched.JobsLoaded{})
	for _, id := range p.workers {
		p.listWorker(id)
	}
}

// An owner is killed between the start of a copy and the stop of one of the runs. The new owner
// must restore both runs, start no third one, and stop the one that is left.
func TestSuccessorRestoresBothRuns(t *testing.T) {
	p, original, copied := newPoolWithCopy(t)
	p.replaceOwner()
	p.simulate(1500 * time.Millisecond)
	assert.Equal(t, p.countStarts(victim), 0)
	assert.Assert(t, p.hasJobState(victim, mfjob.StateCompleted))
	assert.Assert(t, p.countStops(victim, original.At.Worker) > 0)
	assert.Assert(t, !p.hasRun(victim, original.At.Worker) && !p.hasRun(victim, copied.At.Worker))
}

// Guards against a new owner that takes the number of an ended copy for that of the remaining run
// and starts another run next to it.
func TestSuccessorRestoresRemainingRun(t *testing.T) {
	p, original, copied := newPoolWithCopy(t)
	p.step(mfsched.WorkersToEvacuate{Workers: p.allButFirst()})
	p.stopRun(mfsched.Stop{At: copied.At, Task: copied.Order.Task, Run: copied.Order.Run})
	p.simulate(100 * time.Millisecond)
	assert.Equal(t, p.committed[victim].Occurrences[0][0].Tasks[0].CopyWorker, mothferry.WorkerID(""))
	p.replaceOwner()
	p.simulate(300 * time.Millisecond)
	assert.Assert(t, p.hasRun(victim, original.At.Worker))
	assert.Equal(t, p.countStarts(victim)+p.countStops(victim, original.At.Worker), 0)
}

// Guards against a copy that takes its account over the limit.
func TestCopyRespectsAccountLimit(t *testing.T) {
	p := newSimPool(t, 6)
	p.step(mfsched.ConfigChanged{
		Queues: map[mothferry.QueueID]mfsched.Queue{
			queue: {Service: service, MaxAttempts: 2, Stretch: 1.6, Latency: 600 * time.Millisecond},
		},
		Accounts: map[mothferry.AccountID]mfsched.Account{"a": {Limit: mothferry.Resources{Cores: 1000}}},
	})
	p.submitSteadily(2 * time.Second)
	p.step(mfsched.WorkersToEvacuate{Workers: p.allButFirst()})
	s := speculativeSubmission(p.now)
	s.Account = "a"
	p.step(mfsched.JobFound{Job: victim, Submission: s})
	p.simulate(100 * time.Millisecond)
	p.step(mfsched.WorkersToEvacuate{})
	p.speed["w-0"] = 0.1
	for range 20 {
		p.submit(jobID(fmt.Sprintf("j-%d", p.now.UnixNano())), 10)
		for range 5 {
			p.simulate(20 * time.Millisecond)
			runs := 0
			for _, id := range p.workers {
				if p.hasRun(victim, id) {
					runs++
				}
			}
			assert.Assert(t, runs <= 1, "the account has %d runs of 1,000 millicores each", runs)
			assert.Assert(t, p.state.UsedByAccount()["a"] <= 1)
		}
	}
	assert.Equal(t, p.countLogged(mfsched.MessageCopyStarted), 0)
	assert.Assert(t, p.hasJobState(victim, mfjob.StateCompleted))
}

// Guards against records in a newer format for jobs that have no copy. An older program refuses
// them, so that a shard with one of them can't return to it during a rolling upgrade.
func TestOnlyJobsWithCopyUseNewerFormat(t *testing.T) {
	format := func(p mfjob.Progress) int {
		var stored struct {
			Format int `json:"format"`
		}
		assert.NilError(t, json.Unmarshal(mfjob.EncodeProgress(p), &stored))
		return stored.Format
	}
	p, _, _ := newPoolWithCopy(t)
	for id, stored := range p.committed {
		assert.Equal(t, format(stored) > 1, id == victim, "%s", id)
	}
	assert.Assert(t, p.countLogged(mfsched.MessageRestarted) > 0)
	p.simulate(time.Second)
	assert.Assert(t, p.hasJobState(victim, mfjob.StateCompleted))
	for id, stored := range p.committed {
		assert.Equal(t, format(stored), 1, "%s", id)
	}
}

// Guards against a record that stays in the newer format until its job ends because one of its
// steps once had a copy.
func TestJobUsesOlderFormatAfterCopyEnds(t *testing.T) {
	p, original, copied := newPoolWithCopy(t)
	format := func() int {
		var stored struct {
			Format int `json:"format"`
		}
		assert.NilError(t, json.Unmarshal(mfjob.EncodeProgress(p.committed[victim]), &stored))
		return stored.Format
	}
	assert.Equal(t, format(), 4)
	p.runs[original.At.Worker] = nil
	p.step(mfsched.IncarnationEnded{Worker: original.At.Worker, ListedAt: p.now, Cause: mfsched.IncarnationCrashed})
	p.simulate(20 * time.Millisecond)
	assert.Equal(t, p.committed[victim].Occurrences[0][0].Tasks[0].Worker, copied.At.Worker)
	assert.Assert(t, format() < 4)
}

// runOf returns the job's run on a worker.
func (p *simPool) runOf(job mothferry.JobID, id mothferry.WorkerID) *simRun {
	p.t.Helper()
	for _, r := range p.runs[id] {
		if r.task.Job == job {
			return r
		}
	}
	p.t.Fatalf("no run of %s is on %s", job, id)
	return nil
}

// Guards against repeated work: a copy that has done less than the original run outlives it, and
// its older checkpoint replaces the newer one.
func TestCopyDoesNotReplaceNewerCheckpoint(t *testing.T) {
	p, original, copied := newPoolWithCopy(t)
	checkpoint := func() mothferry.Checkpoint { return p.committed[victim].Occurrences[0][0].Tasks[0].Checkpoint }
	originalRun, copyRun := p.runOf(victim, original.At.Worker), p.runOf(victim, copied.At.Worker)
	p.speed[original.At.Worker], p.speed[copied.At.Worker] = 0, 0
	originalRun.done, originalRun.checkpoint = 0.6, "newer"
	p.simulate(100 * time.Millisecond)
	copyRun.done, copyRun.checkpoint = 0.2, "older"
	p.simulate(100 * time.Millisecond)
	p.runs[original.At.Worker] = nil
	p.step(mfsched.IncarnationEnded{Worker: original.At.Worker, ListedAt: p.now, Cause: mfsched.IncarnationCrashed})
	p.simulate(20 * time.Millisecond)
	assert.Equal(t, p.committed[victim].Occurrences[0][0].Tasks[0].Worker, copied.At.Worker)
	assert.Equal(t, checkpoint(), mothferry.Checkpoint("newer"))
	copyRun.done = 0.3
	p.simulate(100 * time.Millisecond)
	p.step(mfsched.IncarnationEnded{Worker: copied.At.Worker, ListedAt: p.now, Cause: mfsched.IncarnationCrashed})
	p.runs[copied.At.Worker] = nil
	p.simulate(20 * time.Millisecond)
	assert.Equal(t, checkpoint(), mothferry.Checkpoint("newer"))
}

// Guards against a copy's checkpoint that is ignored although the copy has done more by then than
// the run that it replaced.
func TestNewerCheckpointOfCopyIsKept(t *testing.T) {
	p, original, copied := newPoolWithCopy(t)
	originalRun, copyRun := p.runOf(victim, original.At.Worker), p.runOf(victim, copied.At.Worker)
	p.speed[original.At.Worker], p.speed[copied.At.Worker] = 0, 0
	originalRun.done, originalRun.checkpoint = 0.3, "former"
	copyRun.done, copyRun.checkpoint = 0.2, "older"
	p.simulate(100 * time.Millisecond)
	p.runs[original.At.Worker] = nil
	p.step(mfsched.IncarnationEnded{Worker: original.At.Worker, ListedAt: p.now, Cause: mfsched.IncarnationCrashed})
	p.simulate(20 * time.Millisecond)
	copyRun.done, copyRun.checkpoint = 0.5, "newest"
	p.simulate(100 * time.Millisecond)
	p.step(mfsched.IncarnationEnded{Worker: copied.At.Worker, ListedAt: p.now, Cause: mfsched.IncarnationCrashed})
	p.runs[copied.At.Worker] = nil
	p.simulate(20 * time.Millisecond)
	assert.Equal(t, p.committed[victim].Occurrences[0][0].Tasks[0].Checkpoint, mothferry.Checkpoint("newest"))
}
