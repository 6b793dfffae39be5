package mfsched_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfsched"
)

// simPool simulates a pool of workers that carry out all orders, each at its own speed.
type simPool struct {
	*script
	workers []mothferry.WorkerID
	speed   map[mothferry.WorkerID]float64
	runs    map[mothferry.WorkerID][]*simRun
	ends    map[mothferry.WorkerID][]mothferry.EndedTask
	lastEnd map[mothferry.WorkerID]mothferry.EndNumber
	starts  []mfsched.Start
	stops   []mfsched.Stop
	// dropStops holds the workers that stop orders don't reach.
	dropStops map[mothferry.WorkerID]bool
	// durationFactor holds the factors by which the tasks of some jobs take longer.
	durationFactor map[mothferry.JobID]float64
	logged         []mfsched.Decision
}

type simRun struct {
	task mothferry.TaskName
	run  mothferry.RunNumber
	done float64
	// checkpoint is the run's latest one.
	checkpoint mothferry.Checkpoint
}

const simTaskDuration = 600 * time.Millisecond

func newSimPool(t *testing.T, count int) *simPool {
	t.Helper()
	p := &simPool{
		script: newScript(t), speed: map[mothferry.WorkerID]float64{}, runs: map[mothferry.WorkerID][]*simRun{},
		dropStops: map[mothferry.WorkerID]bool{}, durationFactor: map[mothferry.JobID]float64{},
		ends: map[mothferry.WorkerID][]mothferry.EndedTask{}, lastEnd: map[mothferry.WorkerID]mothferry.EndNumber{},
	}
	for i := range count {
		id := mothferry.WorkerID(fmt.Sprintf("w-%d", i))
		p.workers, p.speed[id] = append(p.workers, id), 1
		p.listWorker(id)
	}
	return p
}

// simulate lets time pass; each worker answers its polls within 20 ms.
func (p *simPool) simulate(d time.Duration) {
	const tick = 20 * time.Millisecond
	for end := p.now.Add(d); p.now.Before(end); {
		p.advance(tick)
		p.logged = append(p.logged, takeCommands[mfsched.Decision](p.script)...)
		p.advanceRuns(tick)
		for _, c := range takeCommands[mfsched.Stop](p.script) {
			p.stops = append(p.stops, c)
			if !p.dropStops[c.At.Worker] {
				p.stopRun(c)
			}
		}
		for _, c := range takeCommands[mfsched.Start](p.script) {
			p.starts = append(p.starts, c)
			p.runs[c.At.Worker] = append(p.runs[c.At.Worker], &simRun{task: c.Order.Task, run: c.Order.Run})
			p.step(mfsched.StartAnswered{Worker: c.At.Worker, Sent: p.now, Task: c.Order.Task, Run: c.Order.Run, Result: mfsched.ResultDone, Clock: p.clock()})
		}
		for _, l := range takeCommands[mfsched.Poll](p.script) {
			p.answer(l)
		}
	}
}

func (p *simPool) advanceRuns(d time.Duration) {
	for _, id := range p.workers {
		var left []*simRun
		for _, r := range p.runs[id] {
			if r.done += float64(d) / float64(simTaskDuration) * p.speed[id] / max(1, p.durationFactor[r.task.Job]); r.done >= 1 {
				p.endRun(id, r, mothferry.EndDone)
			} else {
				left = append(left, r)
			}
		}
		p.runs[id] = left
	}
}

func (p *simPool) endRun(id mothferry.WorkerID, r *simRun, cause mothferry.EndCause) {
	p.lastEnd[id]++
	p.ends[id] = append(p.ends[id], mothferry.EndedTask{Number: p.lastEnd[id], Task: r.task, Run: r.run, Cause: cause})
}

func (p *simPool) stopRun(c mfsched.Stop) {
	var left []*simRun
	for _, r := range p.runs[c.At.Worker] {
		if r.task == c.Task && r.run == c.Run {
			p.endRun(c.At.Worker, r, mothferry.EndStopped)
		} else {
			left = append(left, r)
		}
	}
	p.runs[c.At.Worker] = left
	p.step(mfsched.StopAnswered{Worker: c.At.Worker, Sent: p.now, Task: c.Task, Run: c.Run, Result: mfsched.ResultDone})
}

// clock is the clock of all workers.
func (p *simPool) clock() mothferry.WorkerClock {
	return mothferry.WorkerClock(p.now.Sub(startTime) + time.Hour)
}

func (p *simPool) answer(l mfsched.Poll) { p.step(p.answerTo(l)) }

// answerTo returns a worker's answer to a poll as of now.
func (p *simPool) answerTo(l mfsched.Poll) mfsched.PollAnswered {
	id := l.At.Worker
	report := mothferry.PollReport{Clock: mothferry.WorkerClock(p.now.Sub(startTime) + time.Hour)}
	for _, e := range p.ends[id] {
		if e.Number > l.Order.LastEndSeen {
			report.Ended = append(report.Ended, e)
		}
	}
	for _, r := range p.runs[id] {
		report.Running = append(report.Running, mothferry.RunningTask{Task: r.task, Run: r.run, Percent: int(100 * r.done), Checkpoint: r.checkpoint})
	}
	return mfsched.PollAnswered{Worker: id, Number: l.Number, Sent: p.now, Report: report}
}

// submitSteadily submits a job of ten tasks every 100 ms.
func (p *simPool) submitSteadily(d time.Duration) {
	for range int(d / (100 * time.Millisecond)) {
		p.submit(jobID(fmt.Sprintf("j-%d", p.now.UnixNano())), 10)
		p.simulate(100 * time.Millisecond)
	}
}

func (p *simPool) slowWorkers() []mothferry.WorkerID {
	var ids []mothferry.WorkerID
	for _, w := range p.state.SlowWorkers() {
		ids = append(ids, w.Worker)
	}
	return ids
}

func (p *simPool) countLogged(message string) int {
	count := 0
	for _, d := range p.logged {
		if d.Message == message {
			count++
		}
	}
	return count
}

// A worker becomes five times slower. Within a second it must be detected and tasks of it that
// would be late restarted elsewhere; then it must get hardly any new tasks. Back at normal speed,
// it must no longer count as slow.
func TestSlowWorkerIsDetectedAndAvoided(t *testing.T) {
	p := newSimPool(t, 6)
	p.submitSteadily(2 * time.Second)
	assert.Equal(t, len(p.slowWorkers()), 0)
	p.speed["w-0"] = 0.2
	p.submitSteadily(time.Second)
	assert.DeepEqual(t, p.slowWorkers(), []mothferry.WorkerID{"w-0"})
	assert.Assert(t, p.countLogged(mfsched.MessageRestarted) > 0)
	p.starts = nil
	p.submitSteadily(time.Second)
	onSlow := 0
	for _, c := range p.starts {
		if c.At.Worker == "w-0" {
			onSlow++
		}
	}
	assert.Assert(t, onSlow < len(p.starts)/20, "%d of %d", onSlow, len(p.starts))
	assert.Assert(t, len(p.starts) > 90, "tasks wait although normal workers have free capacity: %d started", len(p.starts))
	p.speed["w-0"] = 1
	p.submitSteadily(8 * time.Second)
	assert.Equal(t, len(p.slowWorkers()), 0)
	assert.Assert(t, p.countLogged(mfsched.MessageNoLongerSlow) > 0)
}

// Guards against work that waits because all workers count as slow.
func TestUniformSlowdownMarksNoWorkerSlow(t *testing.T) {
	p := newSimPool(t, 6)
	p.submitSteadily(2 * time.Second)
	for _, id := range p.workers {
		p.speed[id] = 0.2
	}
	p.submitSteadily(3 * time.Second)
	assert.Assert(t, len(p.slowWorkers()) <= 2, "%v", p.slowWorkers())
	p.simulate(2 * time.Second)
	assert.Equal(t, len(p.slowWorkers()), 0)
}

// Guards against a new incarnation that counts as slow because the previous one under its id did.
func TestNewIncarnationIsNotSlow(t *testing.T) {
	p := newSimPool(t, 6)
	p.submitSteadily(2 * time.Second)
	p.speed["w-0"] = 0.2
	p.submitSteadily(time.Second)
	assert.DeepEqual(t, p.slowWorkers(), []mothferry.WorkerID{"w-0"})
	for i := range mothferry.IncarnationStart(2) {
		p.step(mfsched.PollAnswered{Worker: "w-0", Sent: p.now, Report: mothferry.PollReport{
			Clock: mothferry.WorkerClock(p.now.Sub(startTime) + time.Hour), StartedAt: i + 1,
		}})
	}
	assert.Equal(t, len(p.slowWorkers()), 0)
}

// Guards against a new owner that takes long to detect the slow workers: speeds are not stored.
func TestSuccessorMeasuresSpeedsAgain(t *testing.T) {
	p := newSimPool(t, 6)
	p.submitSteadily(2 * time.Second)
	p.speed["w-0"] = 0.2
	p.submitSteadily(time.Second)
	previous := p.script
	p.script = newScript(t)
	p.now = previous.now
	p.state = mfsched.New(limits(), 3, p.now, p.now.Add(limits().LeaseExpiryBound()))
	p.step(mfsched.ConfigChanged{Queues: map[mothferry.QueueID]mfsched.Queue{
		queue: {Service: service, MaxAttempts: 2, Stretch: 1.6, Latency: 600 * time.Millisecond},
	}})
	for _, id := range p.workers {
		p.listWorker(id)
		p.runs[id] = nil
	}
	p.submitSteadily(1500 * time.Millisecond)
	assert.DeepEqual(t, p.slowWorkers(), []mothferry.WorkerID{"w-0"})
}

// Guards against a task that is stopped again and again because it is a straggler wherever it runs.
func TestTaskIsRestartedAtMostTwice(t *testing.T) {
	p := newSimPool(t, 6)
	p.step(mfsched.ConfigChanged{Queues: map[mothferry.QueueID]mfsched.Queue{
		queue: {Service: service, MaxAttempts: 2, Stretch: 1.6, Latency: 8 * time.Second},
	}})
	p.submitSteadily(2 * time.Second)
	p.submit("victim", 1)
	for range 60 {
		for _, id := range p.workers {
			p.speed[id] = 1
			for _, r := range p.runs[id] {
				if r.task.Job == "victim" {
					p.speed[id] = 0.02
				}
			}
		}
		p.submitSteadily(100 * time.Millisecond)
	}
	restarts := 0
	for _, d := range p.logged {
		if d.Message == mfsched.MessageRestarted && d.Job == "victim" {
			restarts++
		}
	}
	assert.Equal(t, restarts, 2)
}

// Guards against serving lasting tasks that are stopped because their worker is slow.
func TestLastingTasksStayOnSlowWorkers(t *testing.T) {
	p := newSimPool(t, 6)
	lasting := submission(p.now, 6)
	lasting.Steps[0].Lasting, lasting.Steps[0].MayMiss, lasting.Steps[0].PerWorker = true, 1, 1
	p.step(mfsched.JobFound{Job: "lasts", Submission: lasting})
	p.submitSteadily(2 * time.Second)
	p.speed["w-0"] = 0.2
	p.submitSteadily(2 * time.Second)
	assert.Assert(t, p.countLogged(mfsched.MessageRestarted) > 0)
	for _, d := range p.logged {
		assert.Assert(t, d.Message != mfsched.MessageRestarted || d.Job != "lasts")
	}
}

// With the feature off, no worker counts as slow and no task is restarted.
func TestStragglerFeatureOff(t *testing.T) {
	p := newSimPool(t, 6)
	p.state.Off = mothferry.FeaturesOff{mothferry.FeatureStragglers: true}
	p.submitSteadily(2 * time.Second)
	p.speed["w-0"] = 0.2
	p.submitSteadily(2 * time.Second)
	assert.Equal(t, len(p.slowWorkers())+p.countLogged(mfsched.MessageRestarted), 0)
}

// Guards against more stops of tasks than normal workers have free capacity for: each round until
// the first stopped run has ended would stop some more.
func TestRestartsAreLimitedByFreeCapacity(t *testing.T) {
	p := newSimPool(t, 6)
	p.submitSteadily(2 * time.Second)
	p.simulate(time.Second)
	p.step(mfsched.WorkersToEvacuate{Workers: p.allButFirst()})
	p.submit("victims-a", 5)
	p.submit("victims-b", 5)
	p.simulate(100 * time.Millisecond)
	evacuate := p.allButFirst()
	evacuate["w-0"] = true
	delete(evacuate, "w-1")
	p.step(mfsched.WorkersToEvacuate{Workers: evacuate})
	p.submit("fill", 14)
	p.simulate(60 * time.Millisecond)
	delete(evacuate, "w-0")
	p.step(mfsched.WorkersToEvacuate{Workers: evacuate})
	p.speed["w-0"], p.dropStops["w-0"] = 0.1, true
	p.simulate(500 * time.Millisecond)
	assert.Assert(t, p.hasRun("fill", "w-1"))
	assert.Equal(t, p.countLogged(mfsched.MessageRestarted), 2)
}
