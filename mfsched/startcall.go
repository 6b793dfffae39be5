package mfsched

import "mothferry"

// startCall identifies the calls that order a worker to start one run.
type startCall struct {
	worker mothferry.WorkerID
	run    runID
}

// startCalls counts the calls under way that order runs which have been released since.
//
// Such a call may yet reach its worker, or a later incarnation under its id, which has seen neither
// the end of the run nor a stop of it. Until the call has ended its task must not start elsewhere,
// whatever else is known: it ends when it has been sent or never will be.
type startCalls struct {
	calls map[startCall]int
	// byTask is the sum of the calls of each task.
	byTask map[mothferry.TaskName]int
}

func newStartCalls() startCalls {
	return startCalls{calls: map[startCall]int{}, byTask: map[mothferry.TaskName]int{}}
}

// add records the calls under way for a run that is about to be released.
func (c *startCalls) add(t *task) {
	if n := t.startsInFlight(); n > 0 {
		c.calls[startCall{worker: t.worker.at.Worker, run: runID{task: t.name, run: t.run}}] += n
		c.byTask[t.name] += n
	}
}

// ended records that a call has ended.
func (c *startCalls) ended(id mothferry.WorkerID, r runID) {
	call := startCall{worker: id, run: r}
	if _, known := c.calls[call]; !known {
		return
	}
	if c.calls[call]--; c.calls[call] == 0 {
		delete(c.calls, call)
	}
	if c.byTask[r.task]--; c.byTask[r.task] == 0 {
		delete(c.byTask, r.task)
	}
}
