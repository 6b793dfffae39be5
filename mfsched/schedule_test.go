package mfsched_test

import (
	"math"
	"runtime"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfjob"
	"mothferry/mfsched"
)

// maxRowBytes is the largest value that the store takes.
const maxRowBytes = 65536

// scheduled returns a job whose steps run repeat times.
func scheduled(first time.Time, interval time.Duration, repeat, tasks int) mfjob.Submission {
	s := submission(first, tasks)
	s.First, s.Interval, s.Repeat = first, interval, repeat
	return s
}

// taskHost is a worker that completes each run a set time after its start.
type taskHost struct {
	s        *script
	id       mothferry.WorkerID
	duration time.Duration
	running  map[mothferry.TaskName]taskRun
	ended    []mothferry.EndedTask
	// starts counts the starts of each task.
	starts map[mothferry.TaskName]int
	// startedAt holds when each task started last.
	startedAt map[mothferry.TaskName]time.Time
}

type taskRun struct {
	run mothferry.RunNumber
	end time.Time
}

func newTaskHost(s *script, id mothferry.WorkerID, duration time.Duration) *taskHost {
	return &taskHost{
		s: s, id: id, duration: duration, running: map[mothferry.TaskName]taskRun{},
		starts: map[mothferry.TaskName]int{}, startedAt: map[mothferry.TaskName]time.Time{},
	}
}

// advance lets time pass; the worker answers all orders.
func (h *taskHost) advance(d time.Duration) {
	for end := h.s.now.Add(d); h.s.now.Before(end); {
		h.s.advance(10 * time.Millisecond)
		for _, c := range takeCommands[mfsched.Start](h.s) {
			name := c.Order.Task
			h.starts[name]++
			h.startedAt[name] = h.s.now
			h.running[name] = taskRun{run: c.Order.Run, end: h.s.now.Add(h.duration)}
			h.s.step(mfsched.StartAnswered{Worker: h.id, Task: name, Run: c.Order.Run, Result: mfsched.ResultDone})
		}
		h.endRuns()
		for _, p := range takeCommands[mfsched.Poll](h.s) {
			h.s.step(mfsched.PollAnswered{Worker: h.id, Number: p.Number, Sent: h.s.now, Report: h.report()})
		}
		h.s.out = nil
	}
}

func (h *taskHost) endRuns() {
	for name, r := range h.running {
		if !r.end.After(h.s.now) {
			delete(h.running, name)
			h.ended = append(h.ended, mothferry.EndedTask{
				Number: mothferry.EndNumber(len(h.ended) + 1), Task: name, Run: r.run, Cause: mothferry.EndDone,
			})
		}
	}
}

func (h *taskHost) report() mothferry.PollReport {
	report := mothferry.PollReport{Clock: mothferry.WorkerClock(h.s.now.Sub(startTime) + time.Hour), Ended: h.ended}
	for name, r := range h.running {
		report.Running = append(report.Running, mothferry.RunningTask{Task: name, Run: r.run, Percent: 50})
	}
	return report
}

// takeOver replaces the scheduler by that of a new owner, which knows what is stored.
func (h *taskHost) takeOver(id mothferry.JobID, job mfjob.Submission) {
	next := newScript(h.s.t)
	next.now, next.committed = h.s.now, h.s.committed
	found := mfsched.JobFound{Job: id, Submission: reread(h.s.t, job)}
	if stored, ok := h.s.committed[id]; ok {
		p, err := mfjob.DecodeProgress(mfjob.EncodeProgress(stored))
		assert.NilError(h.s.t, err)
		found.Progress = &p
	}
	next.step(found)
	next.step(mfsched.JobsLoaded{})
	next.listWorker(h.id)
	h.s = next
}

// reread returns a submission as it is read from its row.
func reread(t *testing.T, s mfjob.Submission) mfjob.Submission {
	t.Helper()
	data, err := mfjob.EncodeSubmission(s)
	assert.NilError(t, err)
	out, err := mfjob.DecodeSubmission(data)
	assert.NilError(t, err)
	return out
}

// Guards against an owner that lays out all repetitions of a schedule at once, exceeds its memory
// and is killed, as is each owner after it.
func TestMemoryOfScheduleDoesNotGrowWithRepetitions(t *testing.T) {
	const maxBytes = 2 << 20
	// Without subtests, so that the first failure ends the test before memory runs out.
	for _, repeat := range []int{10, 100_000, math.MaxInt64} {
		h := newTaskHost(newScript(t), "w-1", 600*time.Millisecond)
		h.s.listWorker(h.id)
		job := scheduled(startTime, time.Minute, repeat, 2)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		h.s.step(mfsched.JobFound{Job: "j", Submission: job})
		runtime.ReadMemStats(&after)
		allocated := after.TotalAlloc - before.TotalAlloc
		assert.Assert(t, allocated < maxBytes, "%d repetitions: %d bytes", repeat, allocated)
		h.advance(90 * time.Second)
		assert.Equal(t, len(h.starts), 4, "%d repetitions: two occurrences of two tasks are due", repeat)
		assert.Assert(t, len(mfjob.EncodeProgress(h.s.committed["j"])) < maxRowBytes)
	}
}

// Guards against an occurrence of an endless schedule that starts early, twice or never, over
// changes of the owner.
func TestEndlessScheduleRunsEachOccurrenceOnce(t *testing.T) {
	const interval = time.Second
	h := newTaskHost(newScript(t), "w-1", 600*time.Millisecond)
	h.s.listWorker(h.id)
	first := startTime.Add(500 * time.Millisecond)
	job := scheduled(first, interval, math.MaxInt64, 2)
	h.s.step(mfsched.JobFound{Job: "j", Submission: reread(t, job)})
	for range 6 {
		h.advance(7300 * time.Millisecond)
		h.takeOver("j", job)
	}
	h.advance(2 * time.Second)
	due := int(h.s.now.Sub(first)/interval) + 1
	for k := range due {
		for x := range 2 {
			name := mothferry.TaskName{Job: "j", Occurrence: k, Index: x}
			assert.Equal(t, h.starts[name], 1, "%v", name)
			assert.Assert(t, !h.startedAt[name].Before(first.Add(time.Duration(k)*interval)), "%v starts early", name)
		}
	}
	assert.Equal(t, len(h.starts), 2*due)
	assert.Assert(t, len(mfjob.EncodeProgress(h.s.committed["j"])) < 1000)
	assert.Equal(t, h.s.committed["j"].State, mfjob.StateRunning)
}

// Guards against an owner that lays out all missed occurrences of an overdue schedule at once, and
// against progress that its row does not take.
func TestOverdueScheduleOpensBoundedOccurrences(t *testing.T) {
	for _, tasks := range []int{1, 7, mfjob.MaxTasks} {
		t.Run(strconv.Itoa(tasks), func(t *testing.T) {
			h := newTaskHost(newScript(t), "w-0123456789abcdef", time.Second)
			h.s.listWorker(h.id)
			job := scheduled(time.Unix(0, 0), time.Millisecond, math.MaxInt64, tasks)
			h.s.step(mfsched.JobFound{Job: "j", Submission: job})
			for range 50 {
				h.advance(300 * time.Millisecond)
				stored := h.s.committed["j"]
				open := 0
				for _, o := range stored.Occurrences {
					for _, st := range o {
						open += len(st.Tasks)
					}
				}
				assert.Assert(t, open <= mfjob.MaxTasks, "%d open tasks", open)
				assert.Assert(t, len(mfjob.EncodeProgress(stored)) <= maxRowBytes)
			}
			assert.Assert(t, len(h.starts) > 100, "%d", len(h.starts))
			for name, count := range h.starts {
				assert.Equal(t, count, 1, "%v", name)
			}
		})
	}
}

// Guards against small jobs that wait beside a schedule that is far behind.
func TestOverdueScheduleLeavesOtherJobsOnTime(t *testing.T) {
	h := newTaskHost(newScript(t), "w-1", 600*time.Millisecond)
	h.s.listWorker(h.id)
	h.s.step(mfsched.JobFound{Job: "endless", Submission: scheduled(time.Unix(0, 0), 0, math.MaxInt64, 2)})
	h.advance(2 * time.Second)
	for k := range 10 {
		id := mothferry.JobID("small-" + strconv.Itoa(k))
		h.s.step(mfsched.JobFound{Job: id, Submission: submission(h.s.now, 3)})
		h.advance(time.Second)
		for x := range 3 {
			assert.Equal(t, h.starts[mothferry.TaskName{Job: id, Index: x}], 1, "%s, task %d", id, x)
		}
	}
}

// Guards against a job that is shown as completed before its last occurrence, or never.
func TestScheduleCompletesWithItsLastOccurrence(t *testing.T) {
	const repeat = 1500
	h := newTaskHost(newScript(t), "w-1", 100*time.Millisecond)
	h.s.listWorker(h.id)
	job := scheduled(startTime, 20*time.Millisecond, repeat, 2)
	h.s.step(mfsched.JobFound{Job: "j", Submission: job})
	for len(h.starts) < 2*repeat && h.s.now.Sub(startTime) < 5*time.Minute {
		assert.Assert(t, h.s.committed["j"].State != mfjob.StateCompleted)
		h.advance(50 * time.Millisecond)
	}
	h.advance(time.Second)
	assert.Equal(t, len(h.starts), 2*repeat)
	assert.Equal(t, h.s.committed["j"].State, mfjob.StateCompleted)
}

// Guards against an owner that stops at a stored job that no program accepts any more: a step has
// more tasks in one occurrence than a row holds, or depends on a step that does not exist.
func TestStoredJobThatCannotBeLaidOutFailsAlone(t *testing.T) {
	for name, invalidate := range map[string]func(*mfjob.Submission){
		"too many tasks":  func(s *mfjob.Submission) { s.Steps[0].Count = mfjob.MaxTasks + 1 },
		"no tasks":        func(s *mfjob.Submission) { s.Steps[0].Count = -1 },
		"no steps":        func(s *mfjob.Submission) { s.Steps = nil },
		"unknown step":    func(s *mfjob.Submission) { s.Steps[0].After = []int{3} },
		"wrapped product": func(s *mfjob.Submission) { s.Steps[0].Count, s.Repeat = 1<<32, 1<<32 },
	} {
		t.Run(name, func(t *testing.T) {
			h := newTaskHost(newScript(t), "w-1", 600*time.Millisecond)
			h.s.listWorker(h.id)
			job := submission(startTime, 1)
			invalidate(&job)
			h.s.step(mfsched.JobFound{Job: "bad", Submission: job})
			h.s.step(mfsched.JobFound{Job: "good", Submission: submission(startTime, 3)})
			h.advance(2 * time.Second)
			assert.Equal(t, h.s.committed["bad"].State, mfjob.StateFailed)
			assert.Equal(t, h.s.committed["good"].State, mfjob.StateCompleted)
		})
	}
}

// Guards against an owner that repeats, or skips, occurrences that a program of an older format has
// stored: it listed all of them, done, under way and not due yet.
func TestSuccessorReadsProgressThatListsAllOccurrences(t *testing.T) {
	h := newTaskHost(newScript(t), "w-1", 600*time.Millisecond)
	h.s.listWorker(h.id)
	job := scheduled(startTime.Add(-2500*time.Millisecond), time.Second, 5, 1)
	h.s.step(mfsched.JobFound{Job: "j", Submission: job, Progress: &mfjob.Progress{State: mfjob.StateRunning, Occurrences: [][]mfjob.StepProgress{
		{{Done: true}},
		{{Tasks: []mfjob.TaskProgress{{Run: 1, Worker: "w-1"}}}},
		{{Tasks: []mfjob.TaskProgress{{}}}},
		{{Tasks: []mfjob.TaskProgress{{}}}},
		{{}},
	}}})
	h.running[mothferry.TaskName{Job: "j", Occurrence: 1}] = taskRun{run: 1, end: startTime.Add(time.Second)}
	h.advance(5 * time.Second)
	for k, starts := range []int{0, 0, 1, 1, 1} {
		name := mothferry.TaskName{Job: "j", Occurrence: k}
		assert.Equal(t, h.starts[name], starts, "%v", name)
		assert.Assert(t, starts == 0 || !h.startedAt[name].Before(job.ScheduledAt(k)), "%v starts early", name)
	}
	assert.Equal(t, h.s.committed["j"].State, mfjob.StateCompleted)
}
