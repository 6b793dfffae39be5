package mfstraggler

import "time"

const (
	// MaxRestarts is how often a task may be restarted elsewhere as a straggler.
	MaxRestarts = 2
	// MaxCopies is how often a task of a speculative step may have a copy.
	MaxCopies = 1
	// minGain is how many times as long as elsewhere a task must take where it is: the work
	// done so far is lost, and both are estimates.
	minGain = 1.4
	// estimateError is the fraction by which an expected time may be wrong.
	estimateError = 0.2
)

// Straggler is a task that runs on a slow worker.
type Straggler struct {
	// Remaining is how long it still takes where it is, Elsewhere until it would end
	// elsewhere, stop and start included.
	Remaining, Elsewhere time.Duration
	// UntilLate is how long its job has until it is late, less what follows the task;
	// UntilTooLate the same until it is of no use.
	UntilLate, UntilTooLate time.Duration
}

// ShouldRestart reports whether the task should be restarted elsewhere: it ends clearly sooner
// there, and its caller gains by it. One that ends on time where it is stays, as its work
// would be lost for nothing; so does one that comes too late either way.
//
// Otherwise one or two tasks on slow machines would delay a whole job of a dozen tasks.
func (s Straggler) ShouldRestart() bool {
	if float64(s.Remaining) < minGain*float64(s.Elsewhere) {
		return false
	}
	remaining, elsewhere := float64(s.Remaining)*(1+estimateError), float64(s.Elsewhere)*(1-estimateError)
	switch {
	case remaining <= float64(s.UntilLate):
		return false
	case elsewhere <= float64(s.UntilLate):
		return true
	default:
		return remaining > float64(s.UntilTooLate) && elsewhere <= float64(s.UntilTooLate)
	}
}

// WaitForNormal reports whether a task should wait for free capacity on a normal worker rather
// than start now on one with the given speed. The wait is how long that capacity is expected
// to take.
//
// When the normal machines of a pool are full for the moment, its slow ones have free capacity
// because they are slow.
func WaitForNormal(estimate, wait time.Duration, speed float64) bool {
	if speed >= 1 || wait > maxWait {
		return false
	}
	return float64(wait) < float64(estimate)*(1/max(speed, minSpeed)-1)
}

const (
	// maxWait bounds the wait for a normal worker beside idle slow ones.
	maxWait = time.Second
	// minSpeed bounds the speeds by which estimates are divided.
	minSpeed = 0.05
)
