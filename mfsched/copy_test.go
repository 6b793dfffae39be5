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

// newPoolWithCopy returns a pool in which the one task of a job runs on slow worker w-0, and a copy of it
// on another worker.
func newPoolWithCopy(t *testing.T) (p *simPool, first, second mfsched.Start) {
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
		var of []mfsched.Start
		for _, c := range p.starts {
			if c.Order.Task.Job == victim {
				of = append(of, c)
			}
		}
		if len(of) == 2 {
			assert.Equal(t, of[0].At.Worker, mothferry.WorkerID("w-0"))
			assert.Assert(t, of[1].At.Worker != of[0].At.Worker)
			assert.Assert(t, of[1].Order.Run > of[0].Order.Run)
			return p, of[0], of[1]
		}
	}
	t.Fatal("the task has no copy")
	return nil, first, second
}

// allButFirst returns all workers but w-0.
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

// countStarts counts the starts of the job, stopsAt the orders to stop its run at a worker.
func (p *simPool) countStarts(job mothferry.JobID) int {
	count := 0
	for _, c := range p.starts {
		if c.Order.Task.Job == job {
			count++
		}
	}
	return count
}

func (p *simPool) countStops(job mothferry.JobID, id mothferry.WorkerID) int {
	count := 0
	for _, c := range p.stops {
		if c.Task.Job == job && c.At.Worker == id {
			count++
		}
	}
	return count
}

// runs reports whether a run of the job is on a worker.
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
	p, first, second := newPoolWithCopy(t)
	stored := p.committed[victim].Occurrences[0][0].Tasks[0]
	assert.Equal(t, stored.CopyWorker, second.At.Worker, "the copy is not stored")
	assert.Equal(t, stored.Current, first.Order.Run)
	p.simulate(time.Second)
	assert.Assert(t, p.hasJobState(victim, mfjob.StateCompleted))
	assert.Assert(t, !p.hasRun(victim, first.At.Worker), "the other run goes on")
	assert.Equal(t, p.countLogged(mfsched.MessageCopyFinished), 1)
	assert.Equal(t, p.countStarts(victim), 2)
}

// Guards against a copy that goes on, or is started again, after the first run has done the work.
func TestCopyIsStoppedWhenFirstRunFinishes(t *testing.T) {
	p, first, second := newPoolWithCopy(t)
	p.speed[first.At.Worker], p.speed[second.At.Worker] = 10, 0.1
	p.simulate(time.Second)
	assert.Assert(t, p.hasJobState(victim, mfjob.StateCompleted))
	assert.Assert(t, !p.hasRun(victim, second.At.Worker))
	assert.Equal(t, p.countLogged(mfsched.MessageCopyStopped), 1)
	assert.Equal(t, p.countStarts(victim), 2)
}

// Guards against room that is given away while a run that was told to stop is still there, and
// against a stop that is lost for good.
func TestStopOfOtherRunIsRetried(t *testing.T) {
	p, first, _ := newPoolWithCopy(t)
	p.dropStops[first.At.Worker] = true
	p.speed[first.At.Worker] = 0
	p.simulate(2 * time.Second)
	assert.Assert(t, p.hasJobState(victim, mfjob.StateCompleted))
	assert.Assert(t, p.hasRun(victim, first.At.Worker))
	assert.Assert(t, p.countStops(victim, first.At.Worker) > 1)
	p.dropStops[first.At.Worker] = false
	p.simulate(2 * time.Second)
	assert.Assert(t, !p.hasRun(victim, first.At.Worker))
}

// Guards against a third run beside the copy when the first run's worker has ended, and against
// a task that is lost with it.
func TestCopyContinuesAfterFirstWorkerCrash(t *testing.T) {
	p, first, second := newPoolWithCopy(t)
	p.runs[first.At.Worker] = nil
	p.step(mfsched.IncarnationEnded{Worker: first.At.Worker, ListedAt: p.now, Cause: mfsched.IncarnationCrashed})
	p.simulate(20 * time.Millisecond)
	stored := p.committed[victim].Occurrences[0][0].Tasks[0]
	assert.Equal(t, stored.Worker, second.At.Worker)
	assert.Equal(t, stored.CopyWorker, mothferry.WorkerID(""))
	p.simulate(time.Second)
	assert.Assert(t, p.hasJobState(victim, mfjob.StateCompleted))
	assert.Equal(t, p.countStarts(victim), 2)
}

// Guards against a later run under the number of a copy that is over: an order to start the copy
// may still be carried out.
func TestRunAfterCopyGetsNewNumber(t *testing.T) {
	p, first, second := newPoolWithCopy(t)
	for _, id := range []mothferry.WorkerID{second.At.Worker, first.At.Worker} {
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
	assert.Equal(t, last.Order.Run, second.Order.Run+1)
}

// Guards against a copy that runs on after its job was cancelled.
func TestCancelStopsBothRuns(t *testing.T) {
	p, first, second := newPoolWithCopy(t)
	p.step(mfsched.CancelRequested{Job: victim})
	p.simulate(200 * time.Millisecond)
	assert.Assert(t, !p.hasRun(victim, first.At.Worker) && !p.hasRun(victim, second.At.Worker))
}

// replaceOwner replaces the owner by one that knows what was stored of the victim.
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

// Guards against an owner killed between the start of a copy and the stop of one of the runs:
// its successor knows both, starts no third one, and ends the one that is left.
func TestSuccessorRestoresBothRuns(t *testing.T) {
	p, first, second := newPoolWithCopy(t)
	p.replaceOwner()
	p.simulate(1500 * time.Millisecond)
	assert.Equal(t, p.countStarts(victim), 0)
	assert.Assert(t, p.hasJobState(victim, mfjob.StateCompleted))
	assert.Assert(t, p.countStops(victim, first.At.Worker) > 0)
	assert.Assert(t, !p.hasRun(victim, first.At.Worker) && !p.hasRun(victim, second.At.Worker))
}

// Guards against a successor that takes the number of a copy that is over for that of the run that
// is left, and starts another one beside it.
func TestSuccessorRestoresRemainingRun(t *testing.T) {
	p, first, second := newPoolWithCopy(t)
	p.step(mfsched.WorkersToEvacuate{Workers: p.allButFirst()})
	p.stopRun(mfsched.Stop{At: second.At, Task: second.Order.Task, Run: second.Order.Run})
	p.simulate(100 * time.Millisecond)
	assert.Equal(t, p.committed[victim].Occurrences[0][0].Tasks[0].CopyWorker, mothferry.WorkerID(""))
	p.replaceOwner()
	p.simulate(300 * time.Millisecond)
	assert.Assert(t, p.hasRun(victim, first.At.Worker))
	assert.Equal(t, p.countStarts(victim)+p.countStops(victim, first.At.Worker), 0)
}

// Guards against a copy that takes its account over its limit.
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

// Guards against records that an older program refuses, of jobs that have no copy: a shard with one
// of them can't go back to such a program while versions change.
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

// Guards against a record in a newer format for as long as its job lasts, once one of its steps
// had a copy.
func TestJobUsesOlderFormatAfterCopyEnds(t *testing.T) {
	p, first, second := newPoolWithCopy(t)
	format := func() int {
		var stored struct {
			Format int `json:"format"`
		}
		assert.NilError(t, json.Unmarshal(mfjob.EncodeProgress(p.committed[victim]), &stored))
		return stored.Format
	}
	assert.Equal(t, format(), 4)
	p.runs[first.At.Worker] = nil
	p.step(mfsched.IncarnationEnded{Worker: first.At.Worker, ListedAt: p.now, Cause: mfsched.IncarnationCrashed})
	p.simulate(20 * time.Millisecond)
	assert.Equal(t, p.committed[victim].Occurrences[0][0].Tasks[0].Worker, second.At.Worker)
	assert.Assert(t, format() < 4)
}

// runOf returns the run of the job on a worker.
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

// Guards against work that is done twice, as a copy that has done less than the first run outlives it and
// its older checkpoint takes the place of the newer one.
func TestCopyDoesNotReplaceNewerCheckpoint(t *testing.T) {
	p, first, second := newPoolWithCopy(t)
	checkpoint := func() mothferry.Checkpoint { return p.committed[victim].Occurrences[0][0].Tasks[0].Checkpoint }
	here, there := p.runOf(victim, first.At.Worker), p.runOf(victim, second.At.Worker)
	p.speed[first.At.Worker], p.speed[second.At.Worker] = 0, 0
	here.done, here.checkpoint = 0.6, "newer"
	p.simulate(100 * time.Millisecond)
	there.done, there.checkpoint = 0.2, "older"
	p.simulate(100 * time.Millisecond)
	p.runs[first.At.Worker] = nil
	p.step(mfsched.IncarnationEnded{Worker: first.At.Worker, ListedAt: p.now, Cause: mfsched.IncarnationCrashed})
	p.simulate(20 * time.Millisecond)
	assert.Equal(t, p.committed[victim].Occurrences[0][0].Tasks[0].Worker, second.At.Worker)
	assert.Equal(t, checkpoint(), mothferry.Checkpoint("newer"))
	there.done = 0.3
	p.simulate(100 * time.Millisecond)
	p.step(mfsched.IncarnationEnded{Worker: second.At.Worker, ListedAt: p.now, Cause: mfsched.IncarnationCrashed})
	p.runs[second.At.Worker] = nil
	p.simulate(20 * time.Millisecond)
	assert.Equal(t, checkpoint(), mothferry.Checkpoint("newer"))
}

// Guards against a checkpoint of a copy that is passed over, though the copy has done more by then than
// the run that it took the place of.
func TestNewerCheckpointOfCopyIsKept(t *testing.T) {
	p, first, second := newPoolWithCopy(t)
	here, there := p.runOf(victim, first.At.Worker), p.runOf(victim, second.At.Worker)
	p.speed[first.At.Worker], p.speed[second.At.Worker] = 0, 0
	here.done, here.checkpoint = 0.3, "former"
	there.done, there.checkpoint = 0.2, "older"
	p.simulate(100 * time.Millisecond)
	p.runs[first.At.Worker] = nil
	p.step(mfsched.IncarnationEnded{Worker: first.At.Worker, ListedAt: p.now, Cause: mfsched.IncarnationCrashed})
	p.simulate(20 * time.Millisecond)
	there.done, there.checkpoint = 0.5, "newest"
	p.simulate(100 * time.Millisecond)
	p.step(mfsched.IncarnationEnded{Worker: second.At.Worker, ListedAt: p.now, Cause: mfsched.IncarnationCrashed})
	p.runs[second.At.Worker] = nil
	p.simulate(20 * time.Millisecond)
	assert.Equal(t, p.committed[victim].Occurrences[0][0].Tasks[0].Checkpoint, mothferry.Checkpoint("newest"))
}
