package mfstraggler

import "time"

const (
	// hangPercents is how many percent a task normally completes in the time without progress
	// after which it counts as hung. A slow worker's tasks advance at a sixth of the speed,
	// and a task that takes several times its estimate is slower again by that factor.
	hangPercents = 40
	// MinHangTime is the shortest such time, a few polls long.
	MinHangTime = 500 * time.Millisecond
)

// HangTimeout returns after how long without progress a task with the given estimate counts as
// hung on a worker with the given speed, if such tasks are known to advance. It detects
// workers that answer polls but never end some of their tasks.
func HangTimeout(estimate time.Duration, speed float64) time.Duration {
	return max(MinHangTime, time.Duration(hangPercents*float64(estimate)/100/max(speed, minSpeed)))
}

const (
	// minHangs is how many tasks must have hung on a worker recently before it can be at
	// fault.
	minHangs = 1.5
	// minJobs is how many jobs these tasks must belong to, and the runs that show a worker's
	// speed: a job whose tasks hang, or take long, on any worker says nothing about this one.
	minJobs = 2
	// minHangsOverMean is how many times the mean number of hung tasks on its pool's workers a
	// worker must reach: if tasks hang on most workers, the tasks are at fault.
	minHangsOverMean = 2.5
)

// Pool holds the number of workers of a service and the hung tasks on them.
type Pool struct {
	Workers int
	// Hangs counts the tasks that hung on them recently.
	Hangs float64
}

// WorkerAtFault reports whether a worker of the pool is at fault for the tasks that hung on it
// recently, which belong to so many jobs.
func (p Pool) WorkerAtFault(hangs float64, jobs int) bool {
	return jobs >= minJobs && hangs >= minHangs && hangs*float64(p.Workers) >= minHangsOverMean*p.Hangs
}
