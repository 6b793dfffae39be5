package mfsched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mothferry"
	"mothferry/mfjob"
	"mothferry/mfsched"
)

// inheritedStep returns a job with one lasting step whose tasks have the given stored
// progress.
func inheritedStep(at time.Time, tasks ...mfjob.TaskProgress) mfsched.JobFound {
	job := submission(at, len(tasks))
	job.Steps[0].Lasting, job.Steps[0].MayMiss = true, 1
	return mfsched.JobFound{Job: "j", Submission: job, Progress: &mfjob.Progress{
		State: mfjob.StateRunning, Occurrences: [][]mfjob.StepProgress{{{Tasks: tasks}}},
	}}
}

func oneRun(index int, run mothferry.RunNumber) mothferry.PollReport {
	return mothferry.PollReport{Running: []mothferry.RunningTask{{Task: mothferry.TaskName{Job: "j", Index: index}, Run: run, Percent: 100}}}
}

// storedTask returns what the pending commit stores of a task, and answers the commit.
func (s *script) storedTask(index int) (mfjob.TaskProgress, bool) {
	s.now = s.now.Add(30 * time.Millisecond)
	s.step(mfsched.Tick{})
	var stored mfjob.TaskProgress
	found := false
	for _, c := range takeCommands[mfsched.Commit](s) {
		if p, ok := c.Progress["j"]; ok {
			stored, found = p.Occurrences[0][0].Tasks[index], true
		}
		s.step(mfsched.CommitDone{Number: c.Number})
	}
	return stored, found
}

// A new owner whose record of a task is outdated must not start the task beside its newer run,
// or stop that run.
func TestRunNewerThanRecordIsAdopted(t *testing.T) {
	records := map[string]mfjob.TaskProgress{
		"elsewhere": {Run: 1, Worker: "w-1"},
		"nowhere":   {Run: 1},
		"no run":    {},
	}
	for name, record := range records {
		for _, order := range [][]mothferry.WorkerID{{"w-1", "w-2"}, {"w-2", "w-1"}} {
			t.Run(name+" "+string(order[0])+" first", func(t *testing.T) {
				s := newScript(t)
				s.step(inheritedStep(s.now, record))
				s.listWorker("w-1")
				s.listWorker("w-2")
				s.advance(10 * time.Millisecond)
				reports := map[mothferry.WorkerID]mothferry.PollReport{"w-1": {}, "w-2": oneRun(0, 2)}
				for _, id := range order {
					s.answerPoll(id, reports[id])
				}
				stored, found := s.storedTask(0)
				assert.Assert(t, found)
				assert.DeepEqual(t, stored, mfjob.TaskProgress{Run: 2, Worker: "w-2"})
				s.advance(500 * time.Millisecond)
				assert.Equal(t, len(takeCommands[mfsched.Start](s)), 0)
				assert.Equal(t, len(takeCommands[mfsched.Stop](s)), 0)
			})
		}
	}
}

// A task that is planned again must not be started when its run is found before the plan is
// stored.
func TestRunFoundBeforePlannedStartIsAdopted(t *testing.T) {
	for _, run := range []mothferry.RunNumber{1, 2, 3} {
		s := newScript(t)
		s.step(inheritedStep(s.now, mfjob.TaskProgress{Run: 1, Worker: "w-1"}))
		s.listWorker("w-1")
		s.listWorker("w-2")
		s.advance(10 * time.Millisecond)
		s.answerPoll("w-1", mothferry.PollReport{})
		s.now = s.now.Add(30 * time.Millisecond)
		s.step(mfsched.Tick{})
		commits := takeCommands[mfsched.Commit](s)
		assert.Equal(t, len(commits), 1)
		assert.Equal(t, commits[0].Progress["j"].Occurrences[0][0].Tasks[0].Run, mothferry.RunNumber(2))
		s.answerPoll("w-2", oneRun(0, run))
		s.step(mfsched.CommitDone{Number: commits[0].Number})
		stored, _ := s.storedTask(0)
		assert.DeepEqual(t, stored, mfjob.TaskProgress{Run: run, Worker: "w-2"})
		s.advance(500 * time.Millisecond)
		assert.Equal(t, len(takeCommands[mfsched.Start](s)), 0, "run %d", run)
		assert.Equal(t, len(takeCommands[mfsched.Stop](s)), 0, "run %d", run)
	}
}

// An orphaned run must still be stopped if it is older, found late, found after its task was
// ordered, or its job is finished.
func TestOtherOrphanedRunsAreStopped(t *testing.T) {
	name := mothferry.TaskName{Job: "j"}
	inherit := func(record mfjob.TaskProgress) *script {
		s := newScript(t)
		s.step(inheritedStep(s.now, record))
		s.listWorker("w-1")
		s.listWorker("w-2")
		s.advance(10 * time.Millisecond)
		return s
	}
	stopped := func(s *script) []mfsched.Stop {
		stops := takeCommands[mfsched.Stop](s)
		for i := range stops {
			stops[i].At.Address = ""
		}
		return stops
	}
	expected := func(run mothferry.RunNumber) []mfsched.Stop {
		return []mfsched.Stop{{At: mothferry.WorkerAddress{Worker: "w-2"}, Task: name, Run: run}}
	}

	older := inherit(mfjob.TaskProgress{Run: 2, Worker: "w-1"})
	older.answerPoll("w-2", oneRun(0, 1))
	older.answerPoll("w-1", oneRun(0, 2))
	assert.DeepEqual(t, stopped(older), expected(1))

	later := inherit(mfjob.TaskProgress{Run: 1, Worker: "w-1"})
	later.answerPoll("w-1", oneRun(0, 1))
	later.answerPoll("w-2", mothferry.PollReport{})
	later.advance(50 * time.Millisecond)
	later.answerPoll("w-2", oneRun(0, 2))
	assert.DeepEqual(t, stopped(later), expected(2))

	ordered := inherit(mfjob.TaskProgress{Run: 1, Worker: "w-1"})
	ordered.answerPoll("w-1", mothferry.PollReport{})
	ordered.advance(60 * time.Millisecond)
	assert.Equal(t, len(takeCommands[mfsched.Start](ordered)), 1)
	ordered.answerPoll("w-2", oneRun(0, 3))
	assert.DeepEqual(t, stopped(ordered), expected(3))

	finished := inherit(mfjob.TaskProgress{Run: 1, Worker: "w-1"})
	finished.step(mfsched.CancelRequested{Job: "j"})
	stopped(finished)
	finished.answerPoll("w-2", oneRun(0, 2))
	assert.DeepEqual(t, stopped(finished), expected(2))
}

// A reported run must not be stopped, or its task started beside it, by a new owner that has
// not ordered the task to start before.
func TestTakeoverWithStaleRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const tasks, workers = 3, 4
		id := func(i int) mothferry.WorkerID { return mothferry.WorkerID("w-" + string(rune('1'+i))) }
		s := &script{t: nil, state: mfsched.New(limits(), 2, startTime, startTime.Add(limits().LeaseExpiryBound())), now: startTime}
		s.step(mfsched.ConfigChanged{Queues: map[mothferry.QueueID]mfsched.Queue{queue: {Service: service, MaxAttempts: 2}}})
		var record []mfjob.TaskProgress
		at := map[int]int{}
		run := map[int]mothferry.RunNumber{}
		for i := range tasks {
			known := mothferry.RunNumber(rapid.IntRange(0, 3).Draw(t, "known"))
			p := mfjob.TaskProgress{Run: known}
			where := rapid.IntRange(0, workers).Draw(t, "on record")
			if known > 0 && where < workers {
				p.Worker = id(where)
			}
			record = append(record, p)
			newer := mothferry.RunNumber(rapid.IntRange(0, 2).Draw(t, "newer"))
			at[i], run[i] = rapid.IntRange(0, workers).Draw(t, "at"), known+newer
			if newer == 0 && p.Worker != "" {
				at[i] = where
			}
			if run[i] == 0 {
				at[i] = workers
			}
		}
		s.step(inheritedStep(s.now, record...))
		s.step(mfsched.JobsLoaded{})
		for w := range workers {
			s.listWorker(id(w))
		}
		var commits []mfsched.Commit
		ordered, shown := map[int]bool{}, map[int]bool{}
		check := func() {
			commits = append(commits, takeCommands[mfsched.Commit](s)...)
			for _, o := range takeCommands[mfsched.Start](s) {
				i := o.Order.Task.Index
				assert.Assert(t, !shown[i] || ordered[i], "task %d is started on %s and runs on %d", i, o.At.Worker, at[i])
				ordered[i] = true
			}
			for _, o := range takeCommands[mfsched.Stop](s) {
				i := o.Task.Index
				assert.Assert(t, ordered[i] || o.Run != run[i] || o.At.Worker != id(at[i]), "task %d is stopped, run %d on %s", i, o.Run, o.At.Worker)
			}
		}
		for range rapid.IntRange(10, 60).Draw(t, "events") {
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				s.now = s.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * time.Millisecond)
				s.step(mfsched.Tick{})
			case 1:
				if len(commits) > 0 {
					s.step(mfsched.CommitDone{Number: commits[0].Number})
					commits = commits[1:]
				}
			case 2:
				polls := takeCommands[mfsched.Poll](s)
				if len(polls) == 0 {
					continue
				}
				n := rapid.IntRange(0, len(polls)-1).Draw(t, "poll")
				for i, p := range polls {
					if i != n {
						s.out = append(s.out, p)
					}
				}
				report := mothferry.PollReport{Clock: mothferry.WorkerClock(s.now.Sub(startTime) + time.Hour)}
				for i := range tasks {
					if at[i] < workers && id(at[i]) == polls[n].At.Worker {
						report.Running = append(report.Running, oneRun(i, run[i]).Running...)
						shown[i] = true
					}
				}
				s.step(mfsched.PollAnswered{Worker: polls[n].At.Worker, Number: polls[n].Number, Sent: s.now, Report: report})
			}
			check()
		}
	})
}
