package mfsched_test

import (
	"fmt"
	"hash/fnv"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfjob"
	"mothferry/mfsched"
)

// turnAdviser handles calls one at a time, in turn, also those whose caller has gone.
type turnAdviser struct {
	times mfsched.AdviceTimes
	valid time.Duration
	// giveUp is how long the owner waits for an answer.
	giveUp time.Duration
	// silent is until when no call is handled, relative to the start; foreign counts calls of an
	// earlier process of the host that wait before the first one.
	silent  time.Duration
	foreign int
	// unstated is how much longer a call takes than the config says.
	unstated time.Duration

	calls  []*turnCall
	freeAt time.Time
	// mostUnanswered is the largest number of calls of the scheduler without an answer.
	mostUnanswered int
	issued         map[string]turnTicket
}

type turnCall struct {
	mfsched.RequestAdvice
	sent, began time.Time
	gone        bool
}

type turnTicket struct {
	step       mfsched.StepName
	worker     mothferry.WorkerID
	validUntil time.Time
}

// maxTurnCalls is how many calls of one host the adviser lets wait.
const maxTurnCalls = 32

// advisedFleet runs tasks on workers that check tickets.
type advisedFleet struct {
	*script
	adviser *turnAdviser
	workers map[mothferry.WorkerID]*taskHost
	// foundAt and begun are when each job was found and first started.
	foundAt, begun map[mothferry.JobID]time.Time
	refusedStarts  int
}

func newAdvisedFleet(t *testing.T, workers int, a *turnAdviser) *advisedFleet {
	t.Helper()
	f := &advisedFleet{script: newScript(t), adviser: a, workers: map[mothferry.WorkerID]*taskHost{}, foundAt: map[mothferry.JobID]time.Time{}, begun: map[mothferry.JobID]time.Time{}}
	a.issued = map[string]turnTicket{}
	for range a.foreign {
		a.calls = append(a.calls, &turnCall{sent: f.now, gone: true})
	}
	f.step(mfsched.ConfigChanged{Queues: map[mothferry.QueueID]mfsched.Queue{
		queue: {Service: service, MaxAttempts: 2, Stretch: 1.6, Latency: 2 * time.Second, Advised: true, Advice: a.times},
	}})
	f.step(mfsched.JobsLoaded{})
	for i := range workers {
		id := mothferry.WorkerID(fmt.Sprintf("w-%02d", i))
		f.workers[id] = newTaskHost(f.script, id, 500*time.Millisecond)
		f.listWorker(id)
	}
	f.run(100 * time.Millisecond)
	return f
}

func (f *advisedFleet) find(number int, steps ...mfjob.Step) {
	id := jobID(fmt.Sprintf("j-%04d", number))
	f.foundAt[id] = f.now
	job := submission(f.now, 1)
	job.Steps = steps
	f.step(mfsched.JobFound{Job: id, Submission: job})
}

// run lets time pass; workers and the adviser answer.
func (f *advisedFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.advance(10 * time.Millisecond)
		f.advise()
		for _, c := range takeCommands[mfsched.Start](f.script) {
			f.start(c)
		}
		for _, p := range takeCommands[mfsched.Poll](f.script) {
			h := f.workers[p.At.Worker]
			h.endRuns()
			f.step(mfsched.PollAnswered{Worker: h.id, Number: p.Number, Sent: f.now, Report: h.report()})
		}
		f.out = nil
	}
}

func (f *advisedFleet) start(c mfsched.Start) {
	h, name := f.workers[c.At.Worker], c.Order.Task
	answer := mfsched.StartAnswered{Worker: h.id, Task: name, Run: c.Order.Run, Result: mfsched.ResultDone}
	t := f.adviser.issued[c.Order.Ticket]
	if t.worker != h.id || t.step != (mfsched.StepName{Job: name.Job, Occurrence: name.Occurrence, Step: name.Step}) || t.validUntil.Before(f.now) {
		f.refusedStarts++
		answer.Result, answer.Refusal = mfsched.ResultRefused, mothferry.RefusalTicket
		f.step(answer)
		return
	}
	if f.begun[name.Job].IsZero() {
		f.begun[name.Job] = f.now
	}
	h.running[name] = taskRun{run: c.Order.Run, end: f.now.Add(h.duration)}
	f.step(answer)
}

// advise takes new calls, gives up old ones and handles those whose turn has ended.
func (f *advisedFleet) advise() {
	a := f.adviser
	for _, c := range takeCommands[mfsched.RequestAdvice](f.script) {
		if len(a.calls) > maxTurnCalls {
			f.step(mfsched.AdviceAnswered{Number: c.Number, Asked: c.Workers, Declined: true})
			continue
		}
		a.calls = append(a.calls, &turnCall{RequestAdvice: c, sent: f.now})
	}
	unanswered := 0
	for _, c := range a.calls {
		if !c.gone && f.now.Sub(c.sent) >= a.giveUp {
			c.gone = true
			f.step(mfsched.AdviceAnswered{Number: c.Number, Asked: c.Workers})
		}
		if !c.gone {
			unanswered++
		}
	}
	a.mostUnanswered = max(a.mostUnanswered, unanswered)
	for len(a.calls) > 0 && f.now.Sub(startTime) >= a.silent {
		c := a.calls[0]
		if c.began.IsZero() {
			c.began = f.now
		}
		if f.now.Sub(c.began) < a.times.Decide+time.Duration(len(c.Workers))*a.times.Each+a.unstated {
			return
		}
		a.calls = a.calls[1:]
		tickets := map[mothferry.WorkerID]string{}
		for _, w := range c.Workers {
			h := fnv.New32a()
			_, _ = fmt.Fprint(h, c.Step, w)
			if h.Sum32()%3 == 0 {
				continue
			}
			text := fmt.Sprintf("t-%d", len(a.issued))
			a.issued[text] = turnTicket{step: c.Step, worker: w, validUntil: f.now.Add(a.valid)}
			tickets[w] = text
		}
		if !c.gone {
			f.step(mfsched.AdviceAnswered{Number: c.Number, Asked: c.Workers, Tickets: tickets, Valid: a.valid})
		}
	}
}

func (f *advisedFleet) assertCompleted() {
	f.t.Helper()
	for id := range f.foundAt {
		assert.Equal(f.t, f.committed[id].State, mfjob.StateCompleted, "%s", id)
	}
}

func narrowStep() mfjob.Step {
	return mfjob.Step{Count: 4, Need: mothferry.Resources{Cores: 500}, Estimate: 500 * time.Millisecond}
}

// Guards against a burst after which no advised job starts any more: each call waited so long for its
// turn at the adviser that its caller had gone, and was made again.
func TestAdviceDelayRecoversAfterBurst(t *testing.T) {
	a := &turnAdviser{times: mfsched.AdviceTimes{Decide: 40 * time.Millisecond, Each: 10 * time.Millisecond}, valid: 3 * time.Second, giveUp: 1500 * time.Millisecond}
	f := newAdvisedFleet(t, 12, a)
	number := 0
	sendFor := func(d, interval time.Duration) {
		for end := f.now.Add(d); f.now.Before(end); {
			number++
			f.find(number, narrowStep())
			f.run(interval)
		}
	}
	sendFor(5*time.Second, 250*time.Millisecond)
	sendFor(4*time.Second, 100*time.Millisecond)
	// Above its usual load of 4 calls a second the adviser handles another 2 a second: those that the
	// burst left waiting are handled after 10 s.
	sendFor(10*time.Second, 250*time.Millisecond)
	recovered := number
	sendFor(5*time.Second, 250*time.Millisecond)
	f.run(3 * time.Second)
	f.assertCompleted()
	assert.Equal(t, f.refusedStarts, 0)
	for id, found := range f.foundAt {
		if id > jobID(fmt.Sprintf("j-%04d", recovered)) {
			assert.Assert(t, f.begun[id].Sub(found) < time.Second, "%s began after %v", id, f.begun[id].Sub(found))
		}
	}
}

// Guards against calls that make each other late where many steps wait at once, whatever the adviser
// does: calls are wide, a new owner begins with all steps, the adviser is silent or declines calls.
func TestWaitingStepsGetAdvice(t *testing.T) {
	quick := mfsched.AdviceTimes{Decide: 40 * time.Millisecond, Each: 10 * time.Millisecond}
	slow := mfsched.AdviceTimes{Decide: 1200 * time.Millisecond, Each: 20 * time.Millisecond}
	wide := mfjob.Step{Count: 30, PerWorker: 1, Need: mothferry.Resources{Cores: 100}, Estimate: 500 * time.Millisecond}
	gang := wide
	gang.Gang = true
	for _, c := range []struct {
		name    string
		adviser turnAdviser
		steps   []mfjob.Step
		jobs    int
		within  time.Duration
	}{
		{"new owner", turnAdviser{times: quick}, []mfjob.Step{narrowStep()}, 100, 35 * time.Second},
		{"wide steps", turnAdviser{times: quick}, []mfjob.Step{wide}, 20, 25 * time.Second},
		{"wide gangs", turnAdviser{times: quick}, []mfjob.Step{gang}, 20, 25 * time.Second},
		{"calls of 1.7 s", turnAdviser{times: slow}, []mfjob.Step{narrowStep()}, 10, 25 * time.Second},
		{"slower than the config says", turnAdviser{times: quick, unstated: 4 * time.Second}, []mfjob.Step{narrowStep()}, 6, 60 * time.Second},
		{"silent for 5 s", turnAdviser{times: quick, silent: 5 * time.Second}, []mfjob.Step{narrowStep()}, 40, 20 * time.Second},
		{"declined", turnAdviser{times: quick, foreign: 40}, []mfjob.Step{narrowStep()}, 40, 20 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := c.adviser
			a.valid, a.giveUp = 3*time.Second, 10*time.Second
			f := newAdvisedFleet(t, 60, &a)
			for i := range c.jobs {
				f.find(i, slices.Clone(c.steps)...)
			}
			f.run(c.within)
			f.assertCompleted()
			assert.Equal(t, f.refusedStarts, 0)
			assert.Assert(t, a.mostUnanswered <= maxTurnCalls/2, "%d calls without an answer", a.mostUnanswered)
		})
	}
}

// Guards against a wait that is published although the adviser is well: an answer is lost, and nobody
// waits for it any more.
func TestLostAnswerIsNoWaitForAdvice(t *testing.T) {
	f := newAdvisedFleet(t, 12, &turnAdviser{times: mfsched.AdviceTimes{Decide: 40 * time.Millisecond}, valid: 3 * time.Second, giveUp: 10 * time.Second, silent: 4 * time.Second})
	f.find(0, narrowStep())
	f.run(time.Second)
	assert.Assert(t, f.state.AdviceWait(f.now) > 800*time.Millisecond)
	f.step(mfsched.CancelRequested{Job: "j-0000"})
	f.run(2 * time.Second)
	assert.Assert(t, f.state.AdviceWait(f.now) < 100*time.Millisecond, "%v", f.state.AdviceWait(f.now))
}

// Guards against steps that wait behind a step for which the adviser allows nothing: it is asked for
// once about each worker.
func TestStepWithoutTicketsDoesNotDelayOthers(t *testing.T) {
	f := newAdvisedFleet(t, 12, &turnAdviser{times: mfsched.AdviceTimes{Decide: 40 * time.Millisecond, Each: 10 * time.Millisecond}, valid: 3 * time.Second, giveUp: 10 * time.Second})
	impossible := mfjob.Step{Count: 12, PerWorker: 1, Gang: true, Need: mothferry.Resources{Cores: 500}, Estimate: 500 * time.Millisecond}
	for i := range 5 {
		f.find(1000+i, impossible)
	}
	f.run(2 * time.Second)
	clear(f.foundAt)
	for i := range 20 {
		f.find(i, narrowStep())
		f.run(300 * time.Millisecond)
	}
	f.run(3 * time.Second)
	f.assertCompleted()
}
