package mfsched_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfsched"
)

// drainAllExcept has all workers leave but some.
func (p *simPool) drainAllExcept(stay ...mothferry.WorkerID) {
	leaving := map[mothferry.WorkerID]bool{}
	for _, id := range p.workers {
		leaving[id] = true
	}
	for _, id := range stay {
		delete(leaving, id)
	}
	p.step(mfsched.WorkersToEvacuate{Workers: leaving})
}

// countRestarts counts how often tasks of a job were stopped for being behind; of all jobs for none.
func (p *simPool) countRestarts(job mothferry.JobID) int {
	count := 0
	for _, d := range p.logged {
		if d.Message == mfsched.MessageRestarted && (job == "" || d.Job == job) {
			count++
		}
	}
	return count
}

// Guards against an owner that stood still for a second and takes its workers as slow, as their
// answers are older than it thinks.
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

// Guards against an owner that stood still for a while and stops long tasks all over its shard, as
// answers that waited for it show them where the looks before did.
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

// Guards against tasks that are stopped one after the other for the same room elsewhere while the
// first of them is still ending.
func TestFreeCapacityIsReservedForOneTask(t *testing.T) {
	p := newSimPool(t, 6)
	p.submitSteadily(2 * time.Second)
	p.simulate(time.Second)
	p.drainAllExcept("w-1")
	hog := submission(p.now, 1)
	hog.Steps[0].Need.Cores, hog.Steps[0].Estimate, hog.Steps[0].Image = 15000, time.Minute, "hog"
	p.step(mfsched.JobFound{Job: "hog", Submission: hog})
	p.simulate(100 * time.Millisecond)
	assert.Assert(t, p.hasRun("hog", "w-1"))
	p.speed["w-1"] = 0
	p.drainAllExcept("w-0")
	p.submit("victims", 10)
	p.simulate(100 * time.Millisecond)
	p.drainAllExcept("w-0", "w-1")
	p.speed["w-0"], p.dropStops["w-0"] = 0.1, true
	p.simulate(1500 * time.Millisecond)
	assert.Assert(t, p.countRestarts("victims") > 0)
	assert.Assert(t, p.countRestarts("victims") <= 1, "%d tasks are stopped for the room of one", p.countRestarts("victims"))
}

// Guards against work that is stopped, and done twice, though no worker is of more use than another.
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

// Guards against workers that are blamed for one job whose estimate is far too low, and whose
// tasks take as long anywhere.
func TestSingleLongJobIsNotRestarted(t *testing.T) {
	p := newSimPool(t, 6)
	p.submitSteadily(2 * time.Second)
	p.durationFactor["long"] = 5
	p.submit("long", 24)
	p.submitSteadily(2 * time.Second)
	assert.Equal(t, p.countRestarts("long"), 0)
}

// Guards against tasks that are taken to hang as their worker stood still for a moment, and are
// all stopped when it answers again.
func TestTasksOfPausedWorkerAreNotStopped(t *testing.T) {
	p := newSimPool(t, 6)
	p.submitSteadily(2 * time.Second)
	const frozen = 700 * time.Millisecond
	held := map[mothferry.WorkerID][]mfsched.Poll{}
	pace := p.speed["w-0"]
	p.speed["w-0"] = 0
	for end := p.now.Add(frozen); p.now.Before(end); {
		p.advance(20 * time.Millisecond)
		p.advanceRuns(20 * time.Millisecond)
		for _, l := range takeCommands[mfsched.Poll](p.script) {
			if l.At.Worker == "w-0" {
				held["w-0"] = append(held["w-0"], l)
				continue
			}
			p.answer(l)
		}
	}
	assert.Assert(t, len(held["w-0"]) > 0)
	p.speed["w-0"] = pace
	for _, l := range held["w-0"] {
		p.answer(l)
	}
	p.simulate(300 * time.Millisecond)
	assert.Equal(t, p.countLogged("task stands still"), 0)
}

// Guards against a worker that stood still for longer than its looks wait, did not answer, and is taken
// as slow for that time when it answers again.
func TestUnresponsiveWorkerIsNotMarkedSlow(t *testing.T) {
	p := newSimPool(t, 6)
	p.submitSteadily(2 * time.Second)
	pace := p.speed["w-0"]
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
	p.speed["w-0"] = pace
	p.submitSteadily(time.Second)
	assert.Equal(t, p.countLogged(mfsched.MessageSlow), 0)
	assert.Equal(t, p.countLogged("task stands still"), 0)
}

// Guards against commands that come in another order when the same events are played again.
func TestSlowWorkersAreLoggedInFixedOrder(t *testing.T) {
	tell := func() string {
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
		told := ""
		for _, d := range p.logged {
			if d.Message == mfsched.MessageSlow {
				told += fmt.Sprintf("%s at %v ", d.Worker, d.Fields["service"])
			}
		}
		return told
	}
	first := tell()
	assert.Assert(t, first != "")
	for range 12 {
		assert.Equal(t, tell(), first)
	}
}

// Guards against a task that may have a copy and stays on a slow worker, as its account has no
// room for two runs, where a task that may not is stopped and starts elsewhere.
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
		p.drainAllExcept("w-0")
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

// Guards against workers that are blamed for one job whose tasks hang anywhere.
func TestSingleHungJobDoesNotMarkWorkersSlow(t *testing.T) {
	p := newSimPool(t, 6)
	p.submitSteadily(2 * time.Second)
	p.durationFactor["hangs"] = 1e9
	p.submit("hangs", 16)
	p.submitSteadily(2 * time.Second)
	assert.Equal(t, p.countLogged(mfsched.MessageSlow), 0)
}

// Guards against a task that waits for room on workers which may not run it beside one that may.
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

// Guards against slow workers that are never found where a wide step starts all at once: their runs
// tell their rates last, and must not become what is usual.
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

// Guards against most tasks of a lasting step on one machine, whose end takes them all away, as
// the others are slow: how fast tasks end there says nothing of what lasts.
func TestLastingTasksAreSpreadOverSlowWorkers(t *testing.T) {
	p := newSimPool(t, 6)
	p.submitSteadily(2 * time.Second)
	p.speed["w-0"] = 0.2
	p.submitSteadily(time.Second)
	p.simulate(3500 * time.Millisecond)
	assert.Equal(t, len(p.runs["w-0"]), 0)
	assert.DeepEqual(t, p.slowWorkers(), []mothferry.WorkerID{"w-0"})
	p.drainAllExcept("w-0", "w-1")
	lasting := submission(p.now, 10)
	lasting.Steps[0].Lasting, lasting.Steps[0].MayMiss = true, 2
	p.step(mfsched.JobFound{Job: "lasts", Submission: lasting})
	p.simulate(100 * time.Millisecond)
	on := map[mothferry.WorkerID]int{}
	for _, c := range p.starts {
		if c.Order.Task.Job == "lasts" {
			on[c.At.Worker]++
		}
	}
	assert.Equal(t, on["w-0"], 5, "%v", on)
}

// Guards against a task that waits for room on a usual worker which has all tasks of its step that
// it may have.
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
