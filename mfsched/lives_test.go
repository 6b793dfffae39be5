package mfsched_test

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mothferry"
	"mothferry/mfduty"
	"mothferry/mfsched"
)

// livesWorld is a fleet whose workers crash and start again, under their ids or others, are cut off
// and disappear from lists for a time, before one owner whose orders and answers are held up.
type livesWorld struct {
	t        *rapid.T
	s        *script
	tracker  mfduty.IncarnationTracker
	machines []*livesMachine
	// pending holds what happens later, listing whether a list of machines is being read.
	pending []pendingCall
	listing bool
	nextID  int
	// known holds the newest incarnation of each id that the owner knows of.
	known map[mothferry.WorkerID]*life
	// done holds the tasks that have ended as done, and restarted those of them that were started
	// again after that, until the end is noted.
	done      map[mothferry.TaskName]noted
	restarted map[noted]bool
}

func compareTasks(a, b mothferry.TaskName) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
}

// noted is the end of a run on an incarnation.
type noted struct {
	life   *life
	number mothferry.EndNumber
}

type pendingCall struct {
	at  time.Time
	run func()
}

type livesMachine struct {
	id mothferry.MachineID
	// life is nil while the machine is down; hidden says that the list has it without a worker.
	life   *life
	last   mothferry.WorkerID
	hidden bool
}

// life is one incarnation of a worker.
type life struct {
	id        mothferry.WorkerID
	began     time.Time
	alive     bool
	cutOff    bool
	fence     mothferry.Epoch
	leaseEnd  mothferry.WorkerClock
	running   map[mothferry.TaskName]*livesRun
	ended     []mothferry.EndedTask
	lastEnd   mothferry.EndNumber
	highest   map[mothferry.TaskName]mothferry.RunNumber
	forgotten mothferry.EndNumber
}

// lastingJob is the job whose tasks last.
const lastingJob mothferry.JobID = "lasting"

type livesRun struct {
	run mothferry.RunNumber
	// doneAt is when its work is done; zero if it lasts.
	doneAt   time.Time
	stopping bool
}

func (w *livesWorld) clock(l *life) mothferry.WorkerClock {
	return mothferry.WorkerClock(w.s.now.Sub(l.began) + time.Second)
}

func (w *livesWorld) later(d time.Duration, run func()) {
	w.pending = append(w.pending, pendingCall{at: w.s.now.Add(d), run: run})
}

// delay is mostly short; one in ten is long.
func (w *livesWorld) delay() time.Duration {
	if rapid.IntRange(0, 9).Draw(w.t, "slow") == 0 {
		return time.Duration(rapid.IntRange(10, 1500).Draw(w.t, "delay")) * time.Millisecond
	}
	return time.Duration(rapid.IntRange(0, 10).Draw(w.t, "delay")) * time.Millisecond
}

// begin starts a new incarnation on a machine and lists it a little later.
func (w *livesWorld) begin(m *livesMachine) {
	id := m.last
	if id == "" || rapid.Bool().Draw(w.t, "new id") {
		w.nextID++
		id = mothferry.WorkerID(fmt.Sprintf("w-%d", w.nextID))
	}
	l := &life{id: id, began: w.s.now, alive: true, running: map[mothferry.TaskName]*livesRun{}, highest: map[mothferry.TaskName]mothferry.RunNumber{}}
	m.life, m.last = l, id
	w.later(w.delay(), func() {
		if m.life == l {
			w.list(l)
		}
	})
}

func (w *livesWorld) list(l *life) {
	listed := worker(l.id)
	listed.At.Address = fmt.Sprint("10.0.0.1:", l.id)
	listed.StartedAt = mothferry.IncarnationStart(l.began.UnixMilli())
	listed.Capacity.Cores = 3000
	w.learn(l)
	w.s.step(mfsched.WorkerListed{Worker: listed})
}

// learn records that the owner knows of an incarnation.
func (w *livesWorld) learn(l *life) {
	if k := w.known[l.id]; k == nil || k.began.Before(l.began) {
		w.known[l.id] = l
	}
}

func (w *livesWorld) crash(m *livesMachine) {
	l := m.life
	w.t.Logf("%v crash %s", w.s.now.Sub(startTime), l.id)
	l.alive, m.life = false, nil
	l.running = map[mothferry.TaskName]*livesRun{}
	if rapid.Bool().Draw(w.t, "entry expires") {
		w.later(w.delay(), func() {
			if m.life == nil || m.life.id != l.id {
				w.s.step(mfsched.WorkerUnlisted{Worker: l.id})
			}
		})
	}
	w.later(time.Duration(rapid.IntRange(100, 3000).Draw(w.t, "down"))*time.Millisecond, func() { w.begin(m) })
}

// disappear hides a worker that goes on from the lists for a time, and perhaps cuts it off.
func (w *livesWorld) disappear(m *livesMachine) {
	l := m.life
	w.t.Logf("%v disappears %s", w.s.now.Sub(startTime), l.id)
	m.hidden = rapid.Bool().Draw(w.t, "no worker at its machine")
	l.cutOff = rapid.Bool().Draw(w.t, "cut off")
	if rapid.Bool().Draw(w.t, "entry expires") {
		w.s.step(mfsched.WorkerUnlisted{Worker: l.id})
	}
	w.later(time.Duration(rapid.IntRange(100, 7000).Draw(w.t, "away"))*time.Millisecond, func() {
		m.hidden, l.cutOff = false, false
		if m.life == l {
			w.list(l)
		}
	})
}

// at returns the incarnation that is at a worker's address, or nil.
func (w *livesWorld) at(id mothferry.WorkerID) *life {
	for _, m := range w.machines {
		if m.life != nil && m.life.id == id {
			return m.life
		}
	}
	return nil
}

const livesTimeout = 1100 * time.Millisecond

// call carries an order out later, if the incarnation that was there when it was sent still is, and
// reports the result unless it takes too long.
func (w *livesWorld) call(id mothferry.WorkerID, begins, timeout time.Duration, execute func(l *life) mfsched.Event, failed func(r mfsched.OrderResult) mfsched.Event) {
	sentTo := w.at(id)
	over := false
	end := func(e mfsched.Event) {
		if !over {
			over = true
			w.s.step(e)
		}
	}
	w.later(begins+timeout, func() { end(failed(mfsched.ResultUnknown)) })
	w.later(begins+w.delay(), func() {
		l := w.at(id)
		switch {
		case l == nil && rapid.Bool().Draw(w.t, "address used by another"):
			w.later(w.delay(), func() { end(failed(mfsched.ResultIncarnationEnded)) })
		case l != nil && l == sentTo && !l.cutOff:
			e := execute(l)
			w.later(w.delay(), func() {
				if _, poll := e.(mfsched.PollAnswered); poll && !over {
					w.learn(l)
				}
				end(e)
			})
		}
	})
}

func (w *livesWorld) extend(l *life, until mothferry.WorkerClock) {
	l.leaseEnd = max(l.leaseEnd, min(until, w.clock(l)+mothferry.WorkerClock(limits().MaxLease)))
}

func (w *livesWorld) expire(l *life) {
	if w.clock(l) < l.leaseEnd {
		return
	}
	for _, n := range slices.SortedFunc(maps.Keys(l.running), compareTasks) {
		w.end(l, n, "lapsed")
	}
	// An end that was not noted by then never breaks a rule.
	l.forgotten = l.lastEnd
}

func (w *livesWorld) end(l *life, n mothferry.TaskName, how mothferry.EndCause) {
	r := l.running[n]
	delete(l.running, n)
	l.lastEnd++
	l.highest[n] = max(l.highest[n], r.run)
	l.ended = append(l.ended, mothferry.EndedTask{Number: l.lastEnd, Task: n, Run: r.run, Cause: how})
	if how == mothferry.EndDone {
		w.done[n] = noted{life: l, number: l.lastEnd}
	}
}

func (w *livesWorld) start(l *life, o mothferry.StartOrder) (mfsched.OrderResult, mothferry.OrderRefusal) {
	if o.Epoch < l.fence {
		return mfsched.ResultRefused, mothferry.RefusalEpoch
	}
	l.fence = o.Epoch
	if r, ok := l.running[o.Task]; ok && r.run == o.Run {
		return mfsched.ResultDone, ""
	}
	if o.Run <= l.highest[o.Task] {
		return mfsched.ResultRefused, mothferry.RefusalRun
	}
	if o.Until <= w.clock(l) {
		return mfsched.ResultRefused, mothferry.RefusalLate
	}
	w.extend(l, o.Until)
	if len(l.running) >= 3 {
		return mfsched.ResultRefused, mothferry.RefusalCapacity
	}
	for _, m := range w.machines {
		if m.life != nil && m.life.running[o.Task] != nil {
			w.t.Fatalf("at %v: task %v starts as run %d on %s and is at work as run %d on %s", w.s.now.Sub(startTime), o.Task, o.Run, l.id, m.life.running[o.Task].run, m.life.id)
		}
	}
	if e, ended := w.done[o.Task]; ended {
		w.restarted[e] = true
		if e.number <= e.life.forgotten {
			delete(w.restarted, e)
		}
	}
	w.t.Logf("%v START %v run %d at %s", w.s.now.Sub(startTime), o.Task, o.Run, l.id)
	r := &livesRun{run: o.Run}
	if o.Task.Job != lastingJob {
		r.doneAt = w.s.now.Add(time.Duration(rapid.IntRange(100, 900).Draw(w.t, "work")) * time.Millisecond)
	}
	l.running[o.Task] = r
	return mfsched.ResultDone, ""
}

func (w *livesWorld) poll(l *life, o mothferry.PollOrder) mothferry.PollReport {
	l.fence = max(l.fence, o.Epoch)
	w.extend(l, o.Until)
	for e := range w.restarted {
		if e.life == l && e.number <= o.LastEndSeen && e.number > l.forgotten {
			w.t.Fatalf("at %v: a task was started after its run had ended as done on %s, and that end is noted", w.s.now.Sub(startTime), l.id)
		}
	}
	l.ended = slices.DeleteFunc(l.ended, func(e mothferry.EndedTask) bool { return e.Number <= o.LastEndSeen })
	report := mothferry.PollReport{StartedAt: mothferry.IncarnationStart(l.began.UnixMilli()), Clock: w.clock(l), Ended: slices.Clone(l.ended)}
	for _, n := range slices.SortedFunc(maps.Keys(l.running), compareTasks) {
		report.Running = append(report.Running, mothferry.RunningTask{Task: n, Run: l.running[n].run, Percent: 50})
	}
	return report
}

// carryOut carries out the owner's pending commands.
func (w *livesWorld) carryOut() {
	out := w.s.out
	w.s.out = nil
	for _, c := range out {
		// A call may begin a while after it was decided.
		begins := time.Duration(rapid.IntRange(0, 3).Draw(w.t, "begins")) * 5 * time.Millisecond
		sent := w.s.now.Add(begins)
		switch v := c.(type) {
		case mfsched.Decision:
			w.t.Logf("%v %s %s %s %v", w.s.now.Sub(startTime), v.Message, v.Job, v.Worker, v.Fields)
		case mfsched.Commit:
			w.later(w.delay(), func() { w.s.step(mfsched.CommitDone{Number: v.Number}) })
		case mfsched.Start:
			answer := func(r mfsched.OrderResult, why mothferry.OrderRefusal) mfsched.Event {
				return mfsched.StartAnswered{Worker: v.At.Worker, Sent: sent, Task: v.Order.Task, Run: v.Order.Run, Result: r, Refusal: why}
			}
			known := w.known[v.At.Worker]
			w.call(v.At.Worker, begins, livesTimeout, func(l *life) mfsched.Event {
				if l != known {
					// Carried out, it could run beside another run: the task of a start that is
					// in flight when its worker's end is known starts elsewhere at once.
					return answer(mfsched.ResultUnknown, "")
				}
				return answer(w.start(l, v.Order))
			}, func(r mfsched.OrderResult) mfsched.Event { return answer(r, "") })
		case mfsched.Stop:
			answer := func(r mfsched.OrderResult) mfsched.Event {
				return mfsched.StopAnswered{Worker: v.At.Worker, Sent: sent, Task: v.Task, Run: v.Run, Result: r}
			}
			w.call(v.At.Worker, begins, livesTimeout, func(l *life) mfsched.Event {
				l.highest[v.Task] = max(l.highest[v.Task], v.Run)
				if r := l.running[v.Task]; r != nil && r.run <= v.Run && !r.stopping {
					r.stopping = true
					w.later(100*time.Millisecond, func() {
						if l.running[v.Task] == r {
							w.end(l, v.Task, mothferry.EndStopped)
						}
					})
				}
				return answer(mfsched.ResultDone)
			}, answer)
		case mfsched.Poll:
			known := w.known[v.At.Worker]
			w.call(v.At.Worker, begins, livesTimeout+v.Order.Wait, func(l *life) mfsched.Event {
				if l != known {
					// It would forget ends that the owner has not seen: the numbers of the
					// former incarnation's ends say nothing about its own.
					v.Order.LastEndSeen = 0
				}
				return mfsched.PollAnswered{Worker: v.At.Worker, Number: v.Number, Sent: sent, Report: w.poll(l, v.Order)}
			}, func(r mfsched.OrderResult) mfsched.Event {
				return mfsched.PollFailed{Worker: v.At.Worker, Number: v.Number, Sent: sent, Result: r}
			})
		}
	}
}

// readMachines reads the list of machines, which is composed at some time before its answer comes.
func (w *livesWorld) readMachines() {
	if w.listing {
		return
	}
	w.listing = true
	requested := w.s.now
	w.later(w.delay(), func() {
		var list []mothferry.Machine
		for _, m := range w.machines {
			listed := mothferry.Machine{Machine: m.id, Pool: service, State: mothferry.MachineDown}
			if m.life != nil {
				listed.State, listed.Worker = mothferry.MachineUp, m.life.id
			}
			if m.hidden && m.life != nil {
				listed.Worker = ""
			}
			list = append(list, listed)
		}
		w.later(w.delay(), func() {
			w.listing = false
			for _, e := range w.tracker.Ended(list, w.s.state.Loads(), requested) {
				e.ListedAt = requested
				w.s.step(e)
			}
		})
	})
}

// advance lets 10 ms pass.
func (w *livesWorld) advance() {
	w.s.now = w.s.now.Add(10 * time.Millisecond)
	for _, m := range w.machines {
		if m.life == nil {
			continue
		}
		w.expire(m.life)
		for _, n := range slices.SortedFunc(maps.Keys(m.life.running), compareTasks) {
			if done := m.life.running[n].doneAt; !done.IsZero() && !w.s.now.Before(done) {
				w.end(m.life, n, mothferry.EndDone)
			}
		}
	}
	var due []pendingCall
	w.pending = slices.DeleteFunc(w.pending, func(c pendingCall) bool {
		if c.at.After(w.s.now) {
			return false
		}
		due = append(due, c)
		return true
	})
	for _, c := range due {
		c.run()
		w.carryOut()
	}
	w.s.step(mfsched.Tick{})
	w.carryOut()
}

// No task may run twice at the same time, or be started after an end that is noted, whatever becomes
// of its workers: lives that end and begin again under an id, workers that are cut off or missing
// from lists while they go on, and orders, answers and lists that are late and overtake each other.
func TestLivesOfWorkers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &script{state: mfsched.New(limits(), 2, startTime, startTime), now: startTime}
		s.step(mfsched.ConfigChanged{Queues: map[mothferry.QueueID]mfsched.Queue{queue: {Service: service, MaxAttempts: 100}}})
		s.step(mfsched.JobsLoaded{})
		w := &livesWorld{t: t, s: s, known: map[mothferry.WorkerID]*life{}, done: map[mothferry.TaskName]noted{}, restarted: map[noted]bool{}}
		for i := range 4 {
			w.machines = append(w.machines, &livesMachine{id: mothferry.MachineID(fmt.Sprint("m-", i))})
			w.begin(w.machines[i])
		}
		lasting := submission(s.now, 2)
		lasting.Steps[0].Lasting, lasting.Steps[0].MayMiss = true, 1
		s.step(mfsched.JobFound{Job: lastingJob, Submission: lasting})
		for round := range 120 {
			if round%15 == 0 {
				job := submission(s.now, 5)
				s.step(mfsched.JobFound{Job: mothferry.JobID(fmt.Sprint("j", round)), Submission: job})
			}
			m := w.machines[rapid.IntRange(0, len(w.machines)-1).Draw(t, "machine")]
			switch rapid.IntRange(0, 11).Draw(t, "event") {
			case 0:
				if m.life != nil {
					w.crash(m)
				}
			case 1:
				if m.life != nil && !m.life.cutOff && !m.hidden {
					w.disappear(m)
				}
			}
			for range 15 {
				w.advance()
			}
			w.readMachines()
		}
		assert.Assert(t, len(w.done) > 0, "nothing is done")
	})
}
