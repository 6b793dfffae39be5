package mfsched

import (
	"time"

	"mothferry/mfjournal"
)

// Limits are the times and bounds that decisions keep to.
type Limits struct {
	// Hold is how long a look or a start extends a worker's lease.
	Hold time.Duration
	// HoldMax is the longest lease a worker gives, whatever was asked for.
	HoldMax time.Duration
	// ExtendFor is how long an owner goes on extending leases after the last
	// commit that it knows to be stored.
	ExtendFor time.Duration
	// StopWithin is how long a worker may take to stop a run.
	StopWithin time.Duration
	// KeepFinal is how long the state of a job that is over can be asked for.
	KeepFinal time.Duration
	// AtWorkWithin is how long a lasting task may be away before it counts as missing.
	AtWorkWithin time.Duration
	// EndsListed is how many ends a look lists at the most; zero for no bound.
	EndsListed int
}

// Leases of an owner, unless a deployment needs others.
const (
	// DefaultHold is short enough that a silent worker's tasks start elsewhere
	// while they are of use, and long enough for a takeover: an owner's silence is
	// noticed after 1.1 s, and its last look may be a second older.
	DefaultHold = 4500 * time.Millisecond
	// DefaultExtendFor rides out an outage of the store of 4 s, and 4.5 s more as
	// the leases run out. A successor waits that long for silent workers.
	DefaultExtendFor = 4 * time.Second
)

// usualEndsListed is how many ends the workers of today's deployments list at a time.
const usualEndsListed = 500

// UsualLimits are those of the users' deployments of today, for experiments
// and tests.
func UsualLimits() Limits {
	return Limits{
		Hold: DefaultHold, HoldMax: 6 * time.Second, ExtendFor: DefaultExtendFor,
		StopWithin: 900 * time.Millisecond, KeepFinal: 150 * time.Second, AtWorkWithin: 4500 * time.Millisecond,
		EndsListed: usualEndsListed,
	}
}

// LeaseTail is how long after an owner's last commit leases may still run that
// it asked for: it extends them for ExtendFor, by Hold each time, and a
// worker's clock may be slow.
func (l Limits) LeaseTail() time.Duration {
	hold := time.Duration(float64(l.Hold) * (1 + clockSlack))
	return l.ExtendFor + hold + leaseMargin
}

// Figures of the scheduler's own.
const (
	// clockSlack is how much slower than ours a worker's clock may run.
	clockSlack = 0.02
	// leaseMargin is added before a lease counts as lapsed, for the time a
	// worker takes to end what it ran.
	leaseMargin = 200 * time.Millisecond
	// commitGap is the shortest time between two commits. One transaction takes
	// some 5 ms; gathering 20 ms of decisions keeps calls few at the price of
	// 10 ms on average before a start, against objectives of seconds.
	commitGap = 20 * time.Millisecond
	// renewEvery is how often an idle owner commits to keep its ownership.
	renewEvery = 350 * time.Millisecond
	// choreGap is how often what depends on time alone is looked through.
	choreGap = 50 * time.Millisecond
	// maxCommitJobs bounds the jobs of one commit: some 0.5 kB each, and short beside the
	// time that it takes to be sent.
	maxCommitJobs = 400
	// maxCommitOwn bounds those of them that need a row of their own.
	maxCommitOwn = mfjournal.MaxOwnRows
	// maxCommitTasks bounds their tasks, so that a transaction has room for what the journal
	// moves beside them.
	maxCommitTasks = 5000
	// maxForget bounds the jobs forgotten at once: each has two rows in the
	// inbox, and a transaction takes 100 entries.
	maxForget = 45
	// lookGap is the shortest time between two looks at a worker: ends that
	// come within it are fetched by one look. Longer gaps cost calls less and
	// chains of steps more.
	lookGap = 20 * time.Millisecond
	// lookWait is how long a look waits at a worker for an end where only lasting tasks
	// run.
	lookWait = time.Second
	// busyLookWait is the same where tasks run that end by themselves. A look that is
	// lost blinds the owner for as long, and a worker with eight tasks of 0.6 s answers
	// within 0.1 s anyway.
	busyLookWait = 250 * time.Millisecond
	// idleLookWait is the same where nothing runs.
	idleLookWait = 2 * time.Second
	// answerSlack is how much longer than it waits a look may take, on its way and at its worker.
	answerSlack = 100 * time.Millisecond
	// lookRetry is the pause after a look without answer.
	lookRetry = 300 * time.Millisecond
	// stopRetry is the pause before an order to stop is sent again.
	stopRetry = 500 * time.Millisecond
	// stopMargin is how much longer than a stop may take its end may be unseen:
	// a look and its answer.
	stopMargin = 300 * time.Millisecond
	// refusedPause is how long a worker that refused an order gets no new work.
	refusedPause = 150 * time.Millisecond
	// fullPace is the pace of a task that is not slowed down, in percent.
	fullPace = 100
)
