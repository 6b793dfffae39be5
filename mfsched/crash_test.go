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
				s.step(mfsched.WorkerOver{Worker: id})
			}
		}
	}
	assert.Assert(t, starts < 3+3, "started %d times, three of them after three workers had crashed", starts)
	assert.Equal(t, state, mfjob.StateFailed)
}
