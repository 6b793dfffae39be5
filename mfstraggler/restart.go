package mfstraggler

import "time"

const (
	// MaxRestarts is how often a task may start again elsewhere for being behind.
	MaxRestarts = 2
	// MaxCopies is how often a task of a speculative step may have a copy.
	MaxCopies = 1
	// minGain is how much longer a task must take where it is than elsewhere: what was
	// done is lost, and both are estimates.
	minGain = 1.4
	// estimateError is the part of an expected time that it may be wrong by.
	estimateError = 0.2
)

// Straggler is a task that runs on a slow worker.
type Straggler struct {
	// Remaining is how long it still takes where it is, There until it would end elsewhere, with
	// all that stopping and starting take.
	Remaining, Elsewhere time.Duration
	// UntilLate is how long its job has until it is late, after what follows the task;
	// LateLeft until it is of no use.
	UntilLate, UntilTooLate time.Duration
}

// ShouldRestart reports whether the task should start again elsewhere: it ends clearly sooner there,
// and its caller gains by it. One that ends in time where it is stays, as what it has done
// would be lost for nothing; so does one that comes too late either way.
//
// The load it answers: jobs of a dozen tasks each, one or two of which sit on slow machines
// and hold the job up.
func (b Straggler) ShouldRestart() bool {
	if float64(b.Remaining) < minGain*float64(b.Elsewhere) {
		return false
	}
	here, there := float64(b.Remaining)*(1+estimateError), float64(b.Elsewhere)*(1-estimateError)
	switch {
	case here <= float64(b.UntilLate):
		return false
	case there <= float64(b.UntilLate):
		return true
	default:
		return here > float64(b.UntilTooLate) && there <= float64(b.UntilTooLate)
	}
}

// WaitForNormal reports whether a task should wait for room on a usual worker rather than start
// on one of some speed now. Wait is how long that room is expected to take.
//
// The load it answers: the usual machines of a pool are full for the moment, and its slow ones
// have room because they are slow.
func WaitForNormal(estimate, wait time.Duration, speed float64) bool {
	if speed >= 1 || wait > maxWait {
		return false
	}
	return float64(wait) < float64(estimate)*(1/max(speed, minSpeed)-1)
}

const (
	// maxWait bounds the wait for a usual worker beside idle slow ones.
	maxWait = time.Second
	// minSpeed bounds what is made of a speed.
	minSpeed = 0.05
)
