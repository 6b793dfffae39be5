package mfsched

import (
	"time"

	"mothferry/mfjournal"
)

// Limits are the times and bounds that decisions keep to.
type Limits struct {
	// LeaseDuration is how long a look or a start extends a worker's lease.
	LeaseDuration time.Duration
	// MaxLease is the longest lease a worker gives, whatever was asked for.
	MaxLease time.Duration
	// RenewLeasesFor is how long an owner goes on extending leases after the last
	// commit that it knows to be stored.
	RenewLeasesFor time.Duration
	// StopTimeout is how long a worker may take to stop a run.
	StopTimeout time.Duration
	// FinishedJobRetention is how long the state of a job that is over can be asked for.
	FinishedJobRetention time.Duration
	// UnavailableAfter is how long a lasting task may be away before it counts as missing.
	UnavailableAfter time.Duration
	// MaxEndsListed is how many ends a look lists at the most; zero for no bound.
	MaxEndsListed int
}

// Leases of an owner, unless a deployment needs others.
const (
	// DefaultLeaseDuration is short enough that a silent worker's tasks start elsewhere
	// while they are of use, and long enough for a takeover: an owner's silence is
	// noticed after 1.1 s, and its last look may be a second older.
	DefaultLeaseDuration = 4500 * time.Millisecond
	// DefaultRenewLeasesFor rides out an outage of the store of 4 s, and 4.5 s more as
	// the leases run out. A successor waits that long for silent workers.
	DefaultRenewLeasesFor = 4 * time.Second
)

// defaultMaxEndsListed is how many ends the workers of today's deployments list at a time.
const defaultMaxEndsListed = 500

// DefaultLimits are those of the users' deployments of today, for experiments
// and tests.
func DefaultLimits() Limits {
	return Limits{
		LeaseDuration: DefaultLeaseDuration, MaxLease: 6 * time.Second, RenewLeasesFor: DefaultRenewLeasesFor,
		StopTimeout: 900 * time.Millisecond, FinishedJobRetention: 150 * time.Second, UnavailableAfter: 4500 * time.Millisecond,
		MaxEndsListed: defaultMaxEndsListed,
	}
}

// LeaseExpiryBound is how long after an owner's last commit leases may still run that
// it asked for: it extends them for ExtendFor, by Hold each time, and a
// worker's clock may be slow.
func (l Limits) LeaseExpiryBound() time.Duration {
	hold := time.Duration(float64(l.LeaseDuration) * (1 + maxClockDrift))
	return l.RenewLeasesFor + hold + leaseMargin
}

// Figures of the scheduler's own.
const (
	// maxClockDrift is how much slower than ours a worker's clock may run.
	maxClockDrift = 0.02
	// leaseMargin is added before a lease counts as lapsed, for the time a
	// worker takes to end what it ran.
	leaseMargin = 200 * time.Millisecond
	// minCommitInterval is the shortest time between two commits. One transaction takes
	// some 5 ms; gathering 20 ms of decisions keeps calls few at the price of
	// 10 ms on average before a start, against objectives of seconds.
	minCommitInterval = 20 * time.Millisecond
	// renewInterval is how often an idle owner commits to keep its ownership.
	renewInterval = 350 * time.Millisecond
	// housekeepingInterval is how often what depends on time alone is looked through.
	housekeepingInterval = 50 * time.Millisecond
	// maxCommitJobs bounds the jobs of one commit: some 0.5 kB each, and short beside the
	// time that it takes to be sent.
	maxCommitJobs = 400
	// maxCommitOwnRows bounds those of them that need a row of their own.
	maxCommitOwnRows = mfjournal.MaxOwnRows
	// maxCommitTasks bounds their tasks, so that a transaction has room for what the journal
	// moves beside them.
	maxCommitTasks = 5000
	// maxDeleteJobs bounds the jobs forgotten at once: each has two rows in the
	// inbox, and a transaction takes 100 entries.
	maxDeleteJobs = 45
	// minPollInterval is the shortest time between two looks at a worker: ends that
	// come within it are fetched by one look. Longer gaps cost calls less and
	// chains of steps more.
	minPollInterval = 20 * time.Millisecond
	// pollWait is how long a look waits at a worker for an end where only lasting tasks
	// run.
	pollWait = time.Second
	// busyPollWait is the same where tasks run that end by themselves. A look that is
	// lost blinds the owner for as long, and a worker with eight tasks of 0.6 s answers
	// within 0.1 s anyway.
	busyPollWait = 250 * time.Millisecond
	// idlePollWait is the same where nothing runs.
	idlePollWait = 2 * time.Second
	// pollAnswerMargin is how much longer than it waits a look may take, on its way and at its worker.
	pollAnswerMargin = 100 * time.Millisecond
	// pollRetryDelay is the pause after a look without answer.
	pollRetryDelay = 300 * time.Millisecond
	// stopRetryDelay is the pause before an order to stop is sent again.
	stopRetryDelay = 500 * time.Millisecond
	// stopMargin is how much longer than a stop may take its end may be unseen:
	// a look and its answer.
	stopMargin = 300 * time.Millisecond
	// refusalBackoff is how long a worker that refused an order gets no new work.
	refusalBackoff = 150 * time.Millisecond
	// fullPace is the pace of a task that is not slowed down, in percent.
	fullPace = 100
)
