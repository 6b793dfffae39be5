package mfsched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfjob"
	"mothferry/mfsched"
)

// A task ended each worker that began it, 10 ms after its start, and was started again at
// once on the next one: 317 times in 92 s, and with it went the 13 to 21 other tasks of each
// worker. The worker's life was found to be over, all its tasks were given back to wait, and
// nothing remembered that a worker had crashed under them. The log had for one task
// "tasks are placed" on a worker, "worker does not answer" 20 ms later, "worker's life is
// over", and "tasks are placed" on another one, fourteen times in four seconds.
func TestTaskThatEndsItsWorkersIsGivenUp(t *testing.T) {
	s := newScript(t)
	s.submit("j", 1)
	starts, state := 0, mfjob.StateRunning
	for life := range 12 {
		id := mothferry.WorkerID("w-" + string(rune('a'+life)))
		s.list(id)
		s.pass(10 * time.Millisecond)
		s.look(id, mothferry.LookReport{})
		for range 30 {
			s.now = s.now.Add(10 * time.Millisecond)
			s.step(mfsched.Tick{})
			for _, c := range taken[mfsched.Commit](s) {
				if p, in := c.Progress["j"]; in {
					state = p.State
				}
				s.step(mfsched.CommitDone{Number: c.Number})
			}
			for _, o := range taken[mfsched.Start](s) {
				starts++
				s.answerStart(o, mfsched.ResultDone, "")
				s.step(mfsched.WorkerOver{Worker: id, Cause: mfsched.LifeCrashed})
			}
		}
	}
	assert.Assert(t, starts < 3+3, "started %d times, three of them after three workers had crashed", starts)
	assert.Equal(t, state, mfjob.StateFailed)
}

// crash ends a worker's life by a crash, and the next one of its machine is listed.
func (s *script) crash(id, next mothferry.WorkerID) {
	s.t.Helper()
	s.step(mfsched.WorkerOver{Worker: id, Cause: mfsched.LifeCrashed})
	s.list(next)
	s.pass(10 * time.Millisecond)
	s.look(next, mothferry.LookReport{})
}

// begun lets time pass and answers the orders to start that come.
func (s *script) begun(d time.Duration) []mfsched.Start {
	var starts []mfsched.Start
	for end := s.now.Add(d); s.now.Before(end); {
		s.pass(10 * time.Millisecond)
		for _, o := range taken[mfsched.Start](s) {
			starts = append(starts, o)
			s.answerStart(o, mfsched.ResultDone, "")
		}
	}
	return starts
}

// report answers the look at a worker with all that was begun there.
func (s *script) report(id mothferry.WorkerID, percent int, starts ...mfsched.Start) {
	s.t.Helper()
	var r mothferry.LookReport
	for _, o := range starts {
		r.Running = append(r.Running, mothferry.RunningTask{Task: o.Order.Task, Run: o.Order.Run, Percent: percent})
	}
	s.look(id, r)
}

// over returns the jobs that were concluded with a state.
func (s *script) over(state mfjob.State) []mothferry.JobID {
	var jobs []mothferry.JobID
	for _, d := range taken[mfsched.Decision](s) {
		if d.Message == "job is over" && d.Fields["state"] == state {
			jobs = append(jobs, d.Job)
		}
	}
	return jobs
}

// A worker that crashes takes a dozen tasks along that have nothing to do with it. Their
// worker is known to have borne them for long: they start again at once, all together. Only
// a second crash makes them be tried one at a time, and a third one gives none of them up.
func TestBystandersOfACrashStartAgain(t *testing.T) {
	s := newScript(t)
	s.list("w-0")
	s.pass(10 * time.Millisecond)
	s.look("w-0", mothferry.LookReport{})
	s.submit("j", 4)
	for crashes, next := range []mothferry.WorkerID{"w-1", "w-2", "w-3"} {
		starts := s.begun(300 * time.Millisecond)
		together := 4
		if crashes > 1 {
			together = 1
		}
		assert.Equal(t, len(starts), together)
		s.report(starts[0].At.Worker, 40, starts...)
		s.crash(starts[0].At.Worker, next)
		assert.Equal(t, len(s.over(mfjob.StateFailed)), 0)
	}
}

// Of the tasks that were begun just before a crash one may have caused it. Each is tried on
// a worker that gets nothing else until it is proven; the one that does it again is given up, and
// no other.
func TestTasksBegunBeforeACrashAreTriedAlone(t *testing.T) {
	s := newScript(t)
	s.list("w-0")
	s.pass(10 * time.Millisecond)
	s.look("w-0", mothferry.LookReport{})
	s.submit("j", 1)
	s.submit("k", 1)
	assert.Equal(t, len(s.begun(60*time.Millisecond)), 2)
	s.crash("w-0", "w-1")
	s.submit("l", 1)

	first := s.begun(60 * time.Millisecond)
	assert.Equal(t, len(first), 1, "one task in question at a time, and nothing beside it: %v", first)
	s.begun(100 * time.Millisecond)
	s.report("w-1", 40, first...)
	second := s.begun(60 * time.Millisecond)
	assert.Assert(t, len(second) >= 1)
	guilty := second[0].Order.Task.Job
	assert.Assert(t, guilty != first[0].Order.Task.Job)
	s.crash("w-1", "w-2")
	if guilty == "l" {
		t.Fatal("what was begun after the crash has no need of a trial")
	}
	assert.DeepEqual(t, s.over(mfjob.StateFailed), []mothferry.JobID{guilty})
}

// crashBesideFullWorkers returns a scheduler whose worker w-1 crashed just after job j began
// there, and the runs on each of the other workers, which are fully occupied.
func crashBesideFullWorkers(t *testing.T, full ...mothferry.WorkerID) (*script, map[mothferry.WorkerID][]mfsched.Start) {
	t.Helper()
	s := newScript(t)
	others := map[mothferry.WorkerID][]mfsched.Start{}
	for _, id := range full {
		s.list(id)
		s.pass(10 * time.Millisecond)
		s.look(id, mothferry.LookReport{})
		s.submit(jobID("on-"+string(id)), 16)
		others[id] = s.begun(300 * time.Millisecond)
		assert.Equal(t, len(others[id]), 16)
		s.report(id, 40, others[id]...)
	}
	s.list("w-1")
	s.pass(10 * time.Millisecond)
	s.look("w-1", mothferry.LookReport{})
	s.submit("j", 1)
	suspects := s.begun(60 * time.Millisecond)
	assert.Equal(t, len(suspects), 1)
	assert.Equal(t, suspects[0].At.Worker, mothferry.WorkerID("w-1"))
	s.crash("w-1", "w-2")
	return s, others
}

// startDelay returns the time until the next task is started while the others keep running.
func (s *script) startDelay(others map[mothferry.WorkerID][]mfsched.Start) time.Duration {
	s.t.Helper()
	since := s.now
	for len(s.begun(100*time.Millisecond)) == 0 {
		for id, starts := range others {
			s.report(id, 60, starts...)
		}
		assert.Assert(s.t, s.now.Sub(since) < time.Minute)
	}
	return s.now.Sub(since)
}

// Guards against a second crash in a busy service from an immediate trial of the run that was
// ordered last before the first.
func TestLikeliestCauseOfACrashWaitsForLightLoad(t *testing.T) {
	s, others := crashBesideFullWorkers(t, "w-a", "w-b")
	for range 30 {
		assert.Equal(t, len(s.begun(100*time.Millisecond)), 0)
		for id, starts := range others {
			s.report(id, 60, starts...)
		}
	}
	s.pass(100 * time.Millisecond)
	for id, starts := range others {
		var report mothferry.LookReport
		for i, o := range starts {
			report.Ended = append(report.Ended, mothferry.EndedTask{Number: mothferry.EndNumber(i + 1), Task: o.Order.Task, Run: o.Order.Run, Cause: mothferry.EndDone})
		}
		s.look(id, report)
	}
	assert.Equal(t, len(s.begun(300*time.Millisecond)), 1)
}

// Guards against a task that never starts again because its service stays busy.
func TestTrialInABusyServiceIsNotPostponedIndefinitely(t *testing.T) {
	s, others := crashBesideFullWorkers(t, "w-a", "w-b")
	waited := s.startDelay(others)
	assert.Assert(t, waited > 9*time.Second && waited < 11*time.Second, "%v", waited)
}

// Guards against a task that waits for the full delay although its service has free cores.
func TestTrialInAHalfIdleServiceIsNotPostponedForLong(t *testing.T) {
	s, others := crashBesideFullWorkers(t, "w-a")
	waited := s.startDelay(others)
	assert.Assert(t, waited < 3*time.Second, "%v", waited)
}

// Machines are moved between pools and taken down for upkeep all day long, at times with a
// short task on them. Taken for crashes, those ends would give sound tasks up.
func TestPlannedEndsAreNoCrashes(t *testing.T) {
	s := newScript(t)
	s.submit("j", 1)
	for life := range 8 {
		id := mothferry.WorkerID("w-" + string(rune('a'+life)))
		s.list(id)
		s.pass(10 * time.Millisecond)
		s.look(id, mothferry.LookReport{})
		assert.Equal(t, len(s.begun(60*time.Millisecond)), 1)
		s.step(mfsched.WorkerOver{Worker: id, Cause: mfsched.LifePlanned})
	}
	assert.Equal(t, len(s.over(mfjob.StateFailed)), 0)
}

// A lasting task sees many workers end in its time. Once it has been at work for some
// seconds the crashes before that say nothing of it any more.
func TestLastingTaskAtWorkIsCleared(t *testing.T) {
	s := newScript(t)
	job := submission(s.now, 1)
	job.Steps[0].Lasting = true
	s.step(mfsched.JobFound{Job: "j", Submission: job})
	s.list("w-0")
	s.pass(10 * time.Millisecond)
	s.look("w-0", mothferry.LookReport{})
	for life := range 8 {
		id, next := mothferry.WorkerID("w-"+string(rune('0'+life))), mothferry.WorkerID("w-"+string(rune('1'+life)))
		starts := s.begun(2500 * time.Millisecond)
		assert.Assert(t, len(starts) > 0)
		s.report(id, 100, starts[0])
		s.crash(id, next)
	}
	assert.Equal(t, len(s.over(mfjob.StateFailed)), 0)
}

// A worker that a task has ended may be silent for so long that its leases lapse before
// the list of machines shows the crash: the crash counts all the same.
func TestCrashBehindALapsedLeaseCounts(t *testing.T) {
	s := newScript(t)
	s.submit("j", 1)
	starts := map[mothferry.RunNumber]bool{}
	for life := range 8 {
		id := mothferry.WorkerID("w-" + string(rune('a'+life)))
		s.list(id)
		s.pass(10 * time.Millisecond)
		s.look(id, mothferry.LookReport{})
		for _, o := range s.begun(60 * time.Millisecond) {
			starts[o.Order.Run] = true
		}
		for range 90 {
			s.begun(100 * time.Millisecond)
			for _, l := range taken[mfsched.Look](s) {
				s.step(mfsched.LookFailed{Worker: l.At.Worker, Number: l.Number, Sent: s.now, Result: mfsched.ResultUnknown})
			}
		}
		s.step(mfsched.WorkerOver{Worker: id, Cause: mfsched.LifeCrashed})
	}
	assert.DeepEqual(t, s.over(mfjob.StateFailed), []mothferry.JobID{"j"})
	assert.Assert(t, len(starts) > 2 && len(starts) < 6, "%d runs", len(starts))
}

// The owner is lost between two crashes. Its successor knows of the first by what is
// stored, and gives the task up after the next one that counts.
func TestSuccessorKnowsOfCrashes(t *testing.T) {
	s := newScript(t)
	found := restored(s.now)
	found.Progress.Occurrences[0][0].Tasks[0] = mfjob.TaskProgress{Run: 1, Crashes: mfjob.Crashes{Known: 1, Early: 1}}
	s.step(found)
	s.list("w-0")
	s.pass(10 * time.Millisecond)
	s.look("w-0", mothferry.LookReport{})
	assert.Equal(t, len(s.begun(60*time.Millisecond)), 1)
	s.crash("w-0", "w-1")
	assert.DeepEqual(t, s.over(mfjob.StateFailed), []mothferry.JobID{"j"})
}

// A worker that was silent for long is found to have crashed after the jobs that lapsed there
// are over and forgotten. Counted against them, the crash had their rows written anew, for good.
func TestCrashStoresNothingOfJobsThatAreOver(t *testing.T) {
	s, _ := runningOn(t, "w")
	for range 120 {
		s.pass(50 * time.Millisecond)
		for _, l := range taken[mfsched.Look](s) {
			s.step(mfsched.LookFailed{Worker: "w", Number: l.Number, Sent: s.now, Result: mfsched.ResultUnknown})
		}
	}
	s.step(mfsched.CancelFound{Job: "j"})
	s.pass(limits().KeepFinal + time.Second)
	taken[mfsched.Commit](s)
	s.step(mfsched.WorkerOver{Worker: "w", Cause: mfsched.LifeCrashed})
	for range 100 {
		s.now = s.now.Add(10 * time.Millisecond)
		s.step(mfsched.Tick{})
		for _, c := range taken[mfsched.Commit](s) {
			assert.Equal(t, len(c.Progress), 0, "%v", c.Progress)
			s.step(mfsched.CommitDone{Number: c.Number})
		}
	}
}

// A successor must not read that a worker may have crashed which its owner has heard of since.
func TestWorkerThatAnswersAgainIsStoredAsAlive(t *testing.T) {
	s, _ := runningOn(t, "w")
	s.step(mfsched.WorkersLeaving{Workers: map[mothferry.WorkerID]bool{"w": true}})
	var stored mfjob.Crashes
	pass := func(result func(l mfsched.Look) mfsched.Event) {
		for range 700 {
			s.now = s.now.Add(10 * time.Millisecond)
			s.step(mfsched.Tick{})
			for _, c := range taken[mfsched.Commit](s) {
				if p, in := c.Progress["j"]; in {
					stored = p.Occurrences[0][0].Tasks[0].Crashes
				}
				s.step(mfsched.CommitDone{Number: c.Number})
			}
			for _, l := range taken[mfsched.Look](s) {
				s.step(result(l))
			}
		}
	}
	pass(func(l mfsched.Look) mfsched.Event {
		return mfsched.LookFailed{Worker: "w", Number: l.Number, Sent: s.now, Result: mfsched.ResultUnknown}
	})
	assert.Equal(t, stored, mfjob.Crashes{Unseen: 1})
	pass(func(l mfsched.Look) mfsched.Event {
		return mfsched.LookAnswered{Worker: "w", Number: l.Number, Sent: s.now, Report: mothferry.LookReport{Clock: mothferry.WorkerClock(2 * time.Hour)}}
	})
	assert.Equal(t, stored, mfjob.Crashes{})
}

// Half a lasting job's tasks were stopped at work, two within 0.4 s where one may be away. Four
// workers had crashed beside one of its tasks, under tasks of other jobs: it had run on each
// for longer than what ends its workers does, and a lasting task is there whenever a worker
// crashes. Its job was given up, and the others of its step were told to stop: "task is given up,
// workers crash under it" with crashes 4 and early 0, on three days of three that were looked at.
func TestLastingJobIsNotGivenUpForCrashesBesideIt(t *testing.T) {
	s := newScript(t)
	s.list("w-keep")
	s.pass(10 * time.Millisecond)
	s.look("w-keep", mothferry.LookReport{})
	s.list("w-0")
	s.pass(10 * time.Millisecond)
	s.look("w-0", mothferry.LookReport{})
	job := submission(s.now, 2)
	job.Steps[0].Lasting, job.Steps[0].PerWorker, job.Steps[0].MayMiss = true, 1, 1
	s.step(mfsched.JobFound{Job: "j", Submission: job})
	starts := s.begun(60 * time.Millisecond)
	assert.Equal(t, len(starts), 2)
	for life := range 8 {
		id, next := mothferry.WorkerID("w-"+string(rune('0'+life))), mothferry.WorkerID("w-"+string(rune('1'+life)))
		for _, o := range starts {
			s.report(o.At.Worker, 100, o)
		}
		s.pass(300 * time.Millisecond)
		for _, o := range starts {
			if o.At.Worker == id {
				s.report(id, 100, o)
			}
		}
		s.crash(id, next)
		starts = s.begun(300 * time.Millisecond)
		assert.Equal(t, len(starts), 1, "after %d crashes", life+1)
		assert.Equal(t, len(taken[mfsched.Stop](s)), 0, "after %d crashes", life+1)
	}
	assert.Equal(t, len(s.over(mfjob.StateFailed)), 0)
}

// A lasting task that ends each worker that begins it can't be given up: the others of its
// step are at work. It is tried again with pauses, so that it ends one worker in some
// seconds and not six a second; a task that could run is not away for longer than its users bear.
func TestLastingTaskThatEndsItsWorkersIsTriedWithPauses(t *testing.T) {
	s := newScript(t)
	job := submission(s.now, 1)
	job.Steps[0].Lasting = true
	s.step(mfsched.JobFound{Job: "j", Submission: job})
	life := 0
	id := func() mothferry.WorkerID { return mothferry.WorkerID("w-" + string(rune('a'+life))) }
	s.list(id())
	var at []time.Time
	for s.now.Before(start.Add(20 * time.Second)) {
		s.now = s.now.Add(10 * time.Millisecond)
		s.step(mfsched.Tick{})
		s.store()
		for _, l := range taken[mfsched.Look](s) {
			s.step(mfsched.LookAnswered{Worker: l.At.Worker, Number: l.Number, Sent: s.now, Report: mothferry.LookReport{Clock: mothferry.WorkerClock(s.now.Sub(start) + time.Hour)}})
		}
		for _, o := range taken[mfsched.Start](s) {
			at = append(at, s.now)
			s.answerStart(o, mfsched.ResultDone, "")
			s.step(mfsched.WorkerOver{Worker: id(), Cause: mfsched.LifeCrashed})
			life++
			s.list(id())
		}
	}
	assert.Equal(t, len(s.over(mfjob.StateFailed)), 0)
	assert.Assert(t, len(at) >= 5 && len(at) <= 9, "started %d times in 20 s", len(at))
	for i := 4; i < len(at); i++ {
		gap := at[i].Sub(at[i-1])
		assert.Assert(t, gap >= 3*time.Second && gap <= 6*time.Second, "started %v after the last time", gap)
	}
}
