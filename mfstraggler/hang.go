package mfstraggler

import "time"

const (
	// hangPercents is how many times the usual time of a percent a task stands still that
	// hangs: a slow worker's advances at a sixth of the speed, and a task that takes several
	// times its estimate again so.
	hangPercents = 40
	// minHangTime is the least time, some looks long.
	minHangTime = 500 * time.Millisecond
)

// HangTimeout returns after how long without progress a task of an estimate hangs on a worker of
// some speed, if it is known that such tasks advance.
//
// The load it answers: workers that answer looks and never end a part of their tasks.
func HangTimeout(estimate time.Duration, speed float64) time.Duration {
	return max(minHangTime, time.Duration(hangPercents*float64(estimate)/100/max(speed, minSpeed)))
}

const (
	// minHangs is how many tasks must hang on a worker lately before it can be at fault.
	minHangs = 1.5
	// minJobs is of how many jobs they must be, and those that tell of its speed: one whose
	// tasks hang, or take long, anywhere says nothing of the worker.
	minJobs = 2
	// minHangsOverMean is how many times as many as on the mean worker of its pool that must be:
	// what hangs on most workers is the tasks' fault.
	minHangsOverMean = 2.5
)

// Pool is what is known of all workers of a service.
type Pool struct {
	Workers int
	// Hangs counts the tasks that hung on them lately.
	Hangs float64
}

// WorkerAtFault reports whether a worker of the pool on which some tasks, of so many jobs, hung lately is to
// blame for them.
func (p Pool) WorkerAtFault(hangs float64, jobs int) bool {
	return jobs >= minJobs && hangs >= minHangs && hangs*float64(p.Workers) >= minHangsOverMean*p.Hangs
}
