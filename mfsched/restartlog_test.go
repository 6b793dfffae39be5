package mfsched_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfsched"
)

func decisions(s *script, message string) []mfsched.Decision {
	var found []mfsched.Decision
	for _, d := range takeCommands[mfsched.Decision](s) {
		if d.Message == message {
			found = append(found, d)
		}
	}
	return found
}

// A task that starts again has a line that tells of its former run: its worker, its relay, when it
// was sent and answered, and how it is known to have ended.
func TestRestartIsLoggedWithFormerRun(t *testing.T) {
	s, start := newScriptWithStart(t)
	takeCommands[mfsched.Decision](s)
	s.advance(40 * time.Millisecond)
	s.step(mfsched.StartAnswered{
		Worker: "w-1", Sent: s.now.Add(-40 * time.Millisecond), Relay: "r-1", Task: start.Order.Task, Run: 1, Result: mfsched.ResultDone,
	})
	s.advance(10 * time.Millisecond)
	s.answerPoll("w-1", mothferry.PollReport{Ended: []mothferry.EndedTask{{Number: 1, Task: start.Order.Task, Run: 1, Cause: mothferry.EndFailed}}})
	s.advance(100 * time.Millisecond)
	lines := decisions(s, "task starts again")
	assert.Equal(t, len(lines), 1)
	f := lines[0].Fields
	assert.Equal(t, lines[0].Job, mothferry.JobID("j-1"))
	assert.Equal(t, fmt.Sprint(f["run"], f["former_run"], f["former_worker"], f["relay"], f["answer"], f["released"], f["sends"]),
		fmt.Sprint(2, 1, "w-1", "r-1", "done", "end_listed", 1))
	for _, name := range []string{"sent_ms", "answered_ms", "seen_ms", "released_ms"} {
		assert.Assert(t, f[name] != nil, name)
	}
}

// Placement is logged with each run and its worker, so that a run's name leads to its owner.
func TestPlacementIsLoggedWithRuns(t *testing.T) {
	s := newScript(t)
	s.step(mfsched.JobsLoaded{})
	s.listWorker("w-1")
	s.advance(20 * time.Millisecond)
	s.answerPoll("w-1", mothferry.PollReport{})
	s.submit("j-1", 4)
	s.advance(100 * time.Millisecond)
	lines := decisions(s, "tasks are placed")
	assert.Equal(t, len(lines), 1)
	assert.DeepEqual(t, lines[0].Fields["runs"], []string{"0-3 run 1 on w-1"})
}

// A start without an answer has a line, which names its relay.
func TestUnansweredStartIsLogged(t *testing.T) {
	s, start := newScriptWithStart(t)
	takeCommands[mfsched.Decision](s)
	s.step(mfsched.StartAnswered{Worker: "w-1", Sent: s.now, Relay: "r-1", Task: start.Order.Task, Run: 1, Result: mfsched.ResultUnknown})
	lines := decisions(s, "start was answered late or not at all")
	assert.Equal(t, len(lines), 1)
	assert.Equal(t, fmt.Sprint(lines[0].Fields["relay"], lines[0].Fields["answer"], lines[0].Fields["run"]), fmt.Sprint("r-1", "unknown", 1))
}

// Guards against logs that grow with the number of restarts: when a pool is lost thousands of
// tasks start again at once.
func TestRestartLinesAreBounded(t *testing.T) {
	s := newScript(t)
	s.step(mfsched.JobsLoaded{})
	for i := range 40 {
		id := mothferry.WorkerID(fmt.Sprintf("w-%02d", i))
		s.listWorker(id)
		s.advance(10 * time.Millisecond)
		s.answerPoll(id, mothferry.PollReport{})
	}
	s.submit("j-1", 320)
	s.advance(100 * time.Millisecond)
	starts := takeCommands[mfsched.Start](s)
	assert.Equal(t, len(starts), 320)
	takeCommands[mfsched.Decision](s)
	for _, c := range starts {
		s.step(mfsched.StartAnswered{Worker: c.At.Worker, Sent: s.now, Task: c.Order.Task, Run: 1, Result: mfsched.ResultRefused, Refusal: mothferry.RefusalCapacity})
	}
	s.advance(150 * time.Millisecond)
	s.advance(100 * time.Millisecond)
	lines := decisions(s, "task starts again")
	assert.Equal(t, len(lines), 200)
}
