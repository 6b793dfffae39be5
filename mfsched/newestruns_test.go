package mfsched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfsched"
)

// The log line on the end of a worker must name its youngest runs with their ages: with only
// the number of tasks, the runs ordered just before a crash had to be joined from hundreds of
// lines.
func TestWorkerEndLogNamesNewestRuns(t *testing.T) {
	s, _ := runningOn(t, "w")
	s.advance(300 * time.Millisecond)
	s.answerPoll("w", mothferry.PollReport{Running: []mothferry.RunningTask{{Task: mothferry.TaskName{Job: "j"}, Run: 1, Percent: 40}}})
	s.submit("k", 1)
	s.advance(50 * time.Millisecond)
	takeCommands[mfsched.Decision](s)
	s.step(mfsched.IncarnationEnded{Worker: "w", Cause: mfsched.IncarnationCrashed})
	for _, d := range takeCommands[mfsched.Decision](s) {
		if d.Message == "worker's life is over" {
			assert.DeepEqual(t, d.Fields["newest"], []string{"k.0.0.0 run 1 sent 0ms", "j.0.0.0 run 1 running 340ms"})
			return
		}
	}
	t.Fatal("the end of the worker's incarnation is not logged")
}
