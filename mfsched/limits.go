package mfsched

import (
	"time"

	"mothferry"
	"mothferry/mfjournal"
)

// Limits holds the scheduler's configurable times and bounds.
type Limits struct {
	// LeaseDuration is how long a poll or a start extends a worker's lease.
	LeaseDuration time.Duration
	// MaxLease is the longest lease a worker grants, whatever was requested.
	MaxLease time.Duration
	// RenewLeasesFor is how long an owner continues to extend leases after the last commit
	// that it knows to be stored.
	RenewLeasesFor time.Duration
	// StopTimeout is how long a worker may take to stop a run.
	StopTimeout time.Duration
	// FinishedJobRetention is how long the state of a finished job can be queried.
	FinishedJobRetention time.Duration
	// UnavailableAfter is how long a lasting task may fail to serve before it counts as
	// unavailable.
	UnavailableAfter time.Duration
	// MaxRow is the largest value that the store takes; zero for that of current deployments.
	MaxRow mothferry.Bytes
	// MaxEndsListed is how many ends a poll lists at most; zero for no bound.
	MaxEndsListed int
}

// Lease times of an owner, unless a deployment needs others.
const (
	// DefaultLeaseDuration is short enough that the tasks of an unresponsive worker are
	// started elsewhere while they are still useful, and long enough for a takeover: an
	// owner's silence is noticed after 1.1 s, and its last poll may be a second older.
	DefaultLeaseDuration = 4500 * time.Millisecond
	// DefaultRenewLeasesFor covers a store outage of 4 s, and another 4.5 s until the leases
	// expire. A new owner waits that long for unresponsive workers.
	DefaultRenewLeasesFor = 4 * time.Second
)

// defaultMaxEndsListed is how many ends workers list per poll in current deployments.
const defaultMaxEndsListed = 500

// DefaultLimits returns the limits of current deployments, for experiments and tests.
func DefaultLimits() Limits {
	return Limits{
		LeaseDuration: DefaultLeaseDuration, MaxLease: 6 * time.Second, RenewLeasesFor: DefaultRenewLeasesFor,
		StopTimeout: 900 * time.Millisecond, FinishedJobRetention: 150 * time.Second, UnavailableAfter: 4500 * time.Millisecond,
		MaxEndsListed: defaultMaxEndsListed,
	}
}

// LeaseExpiryBound is how long after an owner's last commit leases that it requested may still
// run: it extends them for RenewLeasesFor, by LeaseDuration each time, and a worker's clock
// may be slow.
func (l Limits) LeaseExpiryBound() time.Duration {
	lease := time.Duration(float64(l.LeaseDuration) * (1 + maxClockDrift))
	return l.RenewLeasesFor + lease + leaseMargin
}

const (
	// maxClockDrift is the fraction by which a worker's clock may run slower than the local
	// one.
	maxClockDrift = 0.02
	// leaseMargin is added before a lease counts as expired, for the time a worker takes to
	// end its runs.
	leaseMargin = 200 * time.Millisecond
	// minCommitInterval is the minimum time between two commits. One transaction takes about
	// 5 ms; batching the decisions of 20 ms reduces calls at the cost of 10 ms on average
	// before a start, against objectives of seconds.
	minCommitInterval = 20 * time.Millisecond
	// renewInterval is how often an idle owner commits to keep its ownership.
	renewInterval = 350 * time.Millisecond
	// housekeepingInterval is how often conditions that depend on time alone are checked.
	housekeepingInterval = 50 * time.Millisecond
	// maxCommitJobs bounds the jobs of one commit: each takes about 0.5 kB, and handling it
	// takes little time compared with sending the commit.
	maxCommitJobs = 400
	// maxCommitOwnRows bounds the jobs of one commit that need a row of their own.
	maxCommitOwnRows = mfjournal.MaxOwnRows
	// maxCommitTasks bounds the tasks of one commit, so that the transaction has space for
	// what the journal moves along with them.
	maxCommitTasks = 5000
	// maxDeleteJobs bounds the jobs deleted at once: each has two rows in the inbox, and a
	// transaction takes 100 entries.
	maxDeleteJobs = 45
	// minPollInterval is the minimum time between two polls of a worker: one poll returns all
	// ends within it. Longer intervals cost fewer calls but delay jobs with chains of steps.
	minPollInterval = 20 * time.Millisecond
	// pollWait is how long a poll waits at a worker for an end if only lasting tasks run
	// there.
	pollWait = time.Second
	// busyPollWait is the same for workers with tasks that end by themselves. A lost poll
	// leaves the owner without a report for as long, and a worker with eight tasks of 0.6 s
	// answers within 0.1 s anyway.
	busyPollWait = 250 * time.Millisecond
	// idlePollWait is the same for workers without tasks.
	idlePollWait = 2 * time.Second
	// pollAnswerMargin is how much longer than its wait a poll may take, for transport and
	// processing.
	pollAnswerMargin = 100 * time.Millisecond
	// pollRetryDelay is the delay after a poll without answer.
	pollRetryDelay = 300 * time.Millisecond
	// stopRetryDelay is the delay before a stop order is sent again.
	stopRetryDelay = 500 * time.Millisecond
	// stopMargin is how long the end of a run may remain unseen after the stop is done: a poll
	// and its answer.
	stopMargin = 300 * time.Millisecond
	// refusalBackoff is how long a worker that refused an order gets no new work.
	refusalBackoff = 150 * time.Millisecond
	// fullPace is the pace of a task that is not throttled, in percent.
	fullPace = 100
)
