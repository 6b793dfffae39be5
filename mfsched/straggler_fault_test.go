package mfsched_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfsched"
)

// evacuateAllExcept has all workers evacuated except some.
func (p *simPool) evacuateAllExcept(kept ...mothferry.WorkerID) {
	evacuate := map[mothferry.WorkerID]bool{}
	for _, id := range p.workers {
		evacuate[id] = true
	}
	for _, id := range kept {
		delete(evacuate, id)
	}
	p.step(mfsched.WorkersToEvacuate{Workers: evacuate})
}

// countRestarts counts the restarts of a job's tasks as stragglers, or those of all jobs for an
// empty id.
func (p *simPool) countRestarts(job mothferry.JobID) int {
	count := 0
	for _, d := range p.logged {
		if d.Message == mfsched.MessageRestarted && (job == "" || d.Job == job) {
			count++
		}
	}
	return count
}

// An owner is paused for a second while poll answers wait for it. It must not take its workers for
// slow because these answers are older than it assumes.
func TestPausedOwnerMarksNoWorkerSlow(t *testing.T) {
	p := newSimPool(t, 6)
	p.submitSteadily(2 * time.Second)
	p.advance(20 * time.Millisecond)
	p.advanceRuns(20 * time.Millisecond)
	var answers []mfsched.PollAnswered
	for _, l := range takeCommands[mfsched.Poll](p.script) {
		answers = append(answers, p.answerTo(l))
	}
	assert.Assert(t, len(answers) > 2)
	p.now = p.now.Add(time.Second)
	for _, a := range answers {
		p.step(a)
	}
	p.advanceRuns(time.Second)
	p.simulate(300 * time.Millisecond)
	assert.Equal(t, p.countLogged(mfsched.MessageSlow), 0)
	assert.Equal(t, p.countRestarts(""), 0)
}

// An owner is paused for 1.5 s while poll answers wait for it. It must not stop long tasks all over
// its shard because these answers show the same progress as the previous polls.
func TestPausedOwnerTreatsNoTaskAsHung(t *testing.T) {
	p := newSimPool(t, 6)
	busy := func(d time.Duration) {
		for range int(d / (500 * time.Millisecond)) {
			id := jobID(fmt.Sprintf("l-%d", p.now.UnixNano()))
			long := submission(p.now, 10)
			long.Steps[0].Estimate, p.durationFactor[id] = 5*simTaskDuration, 5
			p.step(mfsched.JobFound{Job: id, Submission: long})
			p.simulate(500 * time.Millisecond)
		}
	}
	busy(6 * time.Second)
	p.advance(20 * time.Millisecond)
	p.advanceRuns(20 * time.Millisecond)
	var answers []mfsched.PollAnswered
	for _, l := range takeCommands[mfsched.Poll](p.script) {
		answers = append(answers, p.answerTo(l))
	}
	assert.Assert(t, len(answers) > 2)
	p.now = p.now.Add(1500 * time.Millisecond)
	for _, a := range answers {
		p.step(a)
	}
	p.advanceRuns(1500 * time.Millisecond)
	p.simulate(300 * time.Millisecond)
	assert.Equal(t, p.countLogged("task stands still"), 0)
}

// Guards against several tasks being stopped for the same free capacity elsewhere while the run of
// the first one has yet to end.
func TestFreeCapacityIsReservedForOneTask(t *testing.T) {
	p := newSimPool(t, 6)
	p.submitSteadily(2 * time.Second)
	p.simulate(time.Second)
	p.evacuateAllExcept("w-1")
	hog := submission(p.now, 1)
	hog.Steps[0].Need.Cores, hog.Steps[0].Estimate, hog.Steps[0].Image = 15000, time.Minute, "hog"
	p.step(mfsched.JobFound{Job: "hog", Submission: hog})
	p.simulate(100 * time.Millisecond)
	assert.Assert(t, p.hasRun("hog", "w-1"))
	p.speed["w-1"] = 0
	p.evacuateAllExcept("w-0")
	p.submit("victims", 10)
	p.simulate(100 * time.Millisecond)
	p.evacuateAllExcept("w-0", "w-1")
	p.speed["w-0"], p.dropStops["w-0"] = 0.1, true
	p.simulate(1500 * time.Millisecond)
	assert.Assert(t, p.countRestarts("victims") > 0)
	assert.Assert(t, p.countRestarts("victims") <= 1, "%d tasks are stopped for the capacity of one", p.countRestarts("victims"))
}

// Guards against work that is stopped and repeated although all workers are equally slow.
func TestNoTaskIsStoppedWhenAllWorkersAreSlow(t *testing.T) {
	p := newSimPool(t, 10)
	p.step(mfsched.ConfigChanged{Queues: map[mothferry.QueueID]mfsched.Queue{
		queue: {Service: service, MaxAttempts: 2, Stretch: 1.6, Latency: 2 * time.Second},
	}})
	p.submitSteadily(2 * time.Second)
	for _, id := range p.workers {
		p.speed[id] = 0.1
	}
	p.submitSteadily(5 * time.Second)
	assert.Equal(t, p.countRestarts(""), 0)
}

// Guards against workers that are taken for slow because of one job whose estimate is far too low,
// so that its tasks take long on any worker.
func TestSingleLongJobIsNotRestarted(t *testing.T) {
	p := newSimPool(t, 6)
	p.submitSteadily(2 * time.Second)
	p.durationFactor["long"] = 5
	p.submit("long", 24)
	p.submitSteadily(2 * time.Second)
	assert.Equal(t, p.countRestarts("long"), 0)
}

// A worker is paused for 0.7 s and answers its polls late. Its tasks must not count as hung and be
// stopped when it answers again.
func TestTasksOfPausedWorkerAreNotStopped(t *testing.T) {
	p := newSimPool(t, 6)
	p.submitSteadily(2 * time.Second)
	const pause = 700 * time.Millisecond
	waiting := map[mothferry.WorkerID][]mfsched.Poll{}
	speed := p.speed["w-0"]
	p.speed["w-0"] = 0
	for end := p.now.Add(pause); p.now.Before(end); {
		p.advance(20 * time.Millisecond)
		p.advanceRuns(20 * time.Millisecond)
		for _, l := range takeCommands[mfsched.Poll](p.script) {
			if l.At.Worker == "w-0" {
				waiting["w-0"] = append(waiting["w-0"], l)
				continue
			}
			p.answer(l)
		}
	}
	assert.Assert(t, len(waiting["w-0"]) > 0)
	p.speed["w-0"] = speed
	for _, l := range waiting["w-0"] {
		p.answer(l)
	}
	p.simulate(300 * time.Millisecond)
	assert.Equal(t, p.countLogged("task stands still"), 0)
}

// A worker is paused for longer than its polls wait and doesn't answer them. It must not count as
// slow for that time when it answers again.
func TestUnresponsiveWorkerIsNotMarkedSlow(t *testing.T) {
	p := newSimPool(t, 6)
	p.submitSteadily(2 * time.Second)
	speed := p.speed["w-0"]
	p.speed["w-0"] = 0
	p.simulate(20 * time.Millisecond)
	for end := p.now.Add(time.Second); p.now.Before(end); {
		p.advance(20 * time.Millisecond)
		p.advanceRuns(20 * time.Millisecond)
		for _, l := range takeCommands[mfsched.Poll](p.script) {
			if l.At.Worker != "w-0" {
				p.answer(l)
				continue
			}
			p.step(mfsched.PollFailed{Worker: "w-0", Number: l.Number, Sent: p.now, Result: mfsched.ResultUnknown})
		}
	}
	p.speed["w-0"] = speed
	p.submitSteadily(time.Second)
	assert.Equal(t, p.countLogged(mfsched.MessageSlow), 0)
	assert.Equal(t, p.countLogged("task stands still"), 0)
}

// Guards against commands in another order when the same events are replayed.
func TestSlowWorkersAreLoggedInFixedOrder(t *testing.T) {
	logOrder := func() string {
		p := newSimPool(t, 6)
		p.step(mfsched.ConfigChanged{Queues: map[mothferry.QueueID]mfsched.Queue{
			queue: {Service: service, MaxAttempts: 2, Stretch: 1.6, Latency: 600 * time.Millisecond},
			"q2":  {Service: "s2", MaxAttempts: 2, Stretch: 1.6, Latency: 600 * time.Millisecond},
		}})
		for i := range 6 {
			w := worker(mothferry.WorkerID(fmt.Sprintf("x-%d", i)))
			w.Service = "s2"
			p.workers, p.speed[w.At.Worker] = append(p.workers, w.At.Worker), 1
			p.step(mfsched.WorkerListed{Worker: w})
		}
		busy := func(d time.Duration) {
			for range int(d / (100 * time.Millisecond)) {
				p.submit(jobID(fmt.Sprintf("j-%d", p.now.UnixNano())), 10)
				other := submission(p.now, 10)
				other.Queue, other.Service = "q2", "s2"
				p.step(mfsched.JobFound{Job: jobID(fmt.Sprintf("k-%d", p.now.UnixNano())), Submission: other})
				p.simulate(100 * time.Millisecond)
			}
		}
		busy(2 * time.Second)
		p.speed["w-0"], p.speed["x-0"] = 0.2, 0.2
		busy(time.Second)
		logged := ""
		for _, d := range p.logged {
			if d.Message == mfsched.MessageSlow {
				logged += fmt.Sprintf("%s at %v ", d.Worker, d.Fields["service"])
			}
		}
		return logged
	}
	first := logOrder()
	assert.Assert(t, first != "")
	for range 12 {
		assert.Equal(t, logOrder(), first)
	}
}

// Guards against a task that may have a copy, but stays on a slow worker because its account's
// limit doesn't admit two runs. A task that may not have a copy is restarted elsewhere.
func TestTaskWithoutCapacityForCopyIsRestarted(t *testing.T) {
	for _, speculative := range []bool{false, true} {
		p := newSimPool(t, 6)
		p.step(mfsched.ConfigChanged{
			Queues: map[mothferry.QueueID]mfsched.Queue{
				queue: {Service: service, MaxAttempts: 2, Stretch: 1.6, Latency: 600 * time.Millisecond},
			},
			Accounts: map[mothferry.AccountID]mfsched.Account{"a": {Limit: mothferry.Resources{Cores: 1000}}},
		})
		p.submitSteadily(2 * time.Second)
		p.evacuateAllExcept("w-0")
		s := submission(p.now, 1)
		s.Account, s.Steps[0].Speculative = "a", speculative
		p.step(mfsched.JobFound{Job: victim, Submission: s})
		p.simulate(100 * time.Millisecond)
		p.step(mfsched.WorkersToEvacuate{})
		p.speed["w-0"] = 0.1
		p.submitSteadily(2 * time.Second)
		assert.Equal(t, p.countStarts(victim), 2, "speculative %v", speculative)
	}
}

// Guards against workers that are found at fault for one job whose tasks hang on any worker.
func TestSingleHungJobDoesNotMarkWorkersSlow(t *testing.T) {
	p := newSimPool(t, 6)
	p.submitSteadily(2 * time.Second)
	p.durationFactor["hangs"] = 1e9
	p.submit("hangs", 16)
	p.submitSteadily(2 * time.Second)
	assert.Equal(t, p.countLogged(mfsched.MessageSlow), 0)
}

// Guards against a task that waits for capacity on normal workers that may not run it.
func TestTaskRestrictedToSlowWorkerDoesNotWait(t *testing.T) {
	p := newSimPool(t, 6)
	labelled := worker("w-0")
	labelled.Labels = []string{"kind"}
	p.step(mfsched.WorkerListed{Worker: labelled})
	p.submitSteadily(2 * time.Second)
	p.speed["w-0"] = 0.2
	p.submitSteadily(time.Second)
	assert.DeepEqual(t, p.slowWorkers(), []mothferry.WorkerID{"w-0"})
	s := submission(p.now, 1)
	s.Steps[0].Label = "kind"
	p.step(mfsched.JobFound{Job: victim, Submission: s})
	p.simulate(200 * time.Millisecond)
	assert.Equal(t, p.countStarts(victim), 1)
}

// Guards against slow workers that are never detected because a wide step starts all at once: the
// rates of their runs are known last and must not become the baseline.
func TestSlowWorkersOfWideStepAreDetected(t *testing.T) {
	const slow = 6
	p := newSimPool(t, 20)
	for _, id := range p.workers[:slow] {
		p.speed[id] = 0.2
	}
	wide := submission(p.now, 320)
	wide.Steps[0].Estimate, p.durationFactor["wide"] = 10*simTaskDuration, 10
	p.step(mfsched.JobFound{Job: "wide", Submission: wide})
	p.simulate(4 * time.Second)
	assert.DeepEqual(t, p.slowWorkers(), p.workers[:slow])
}

// Guards against a lasting step with most of its tasks on one machine, whose end would take them
// all away, because the others are slow. How fast tasks end there is no evidence for lasting ones.
func TestLastingTasksAreSpreadOverSlowWorkers(t *testing.T) {
	p := newSimPool(t, 6)
	p.submitSteadily(2 * time.Second)
	p.speed["w-0"] = 0.2
	p.submitSteadily(time.Second)
	p.simulate(3500 * time.Millisecond)
	assert.Equal(t, len(p.runs["w-0"]), 0)
	assert.DeepEqual(t, p.slowWorkers(), []mothferry.WorkerID{"w-0"})
	p.evacuateAllExcept("w-0", "w-1")
	lasting := submission(p.now, 10)
	lasting.Steps[0].Lasting, lasting.Steps[0].MayMiss = true, 2
	p.step(mfsched.JobFound{Job: "lasts", Submission: lasting})
	p.simulate(100 * time.Millisecond)
	counts := map[mothferry.WorkerID]int{}
	for _, c := range p.starts {
		if c.Order.Task.Job == "lasts" {
			counts[c.At.Worker]++
		}
	}
	assert.Equal(t, counts["w-0"], 5, "%v", counts)
}

// Guards against a task that waits for capacity on a normal worker that already has as many tasks
// of its step as it may have.
func TestTaskBeyondPerWorkerBoundDoesNotWait(t *testing.T) {
	p := newSimPool(t, 6)
	p.submitSteadily(2 * time.Second)
	p.speed["w-0"] = 0.2
	p.submitSteadily(time.Second)
	assert.DeepEqual(t, p.slowWorkers(), []mothferry.WorkerID{"w-0"})
	s := submission(p.now, 6)
	s.Steps[0].PerWorker = 1
	p.step(mfsched.JobFound{Job: victim, Submission: s})
	p.simulate(200 * time.Millisecond)
	assert.Equal(t, p.countStarts(victim), 6)
}
