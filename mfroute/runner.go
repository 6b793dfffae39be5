package mfroute

import (
	"time"

	"mothferry"
	"mothferry/mfplacement"
)

// Result is the outcome of an attempt as far as it concerns the runner's health.
type Result int

// Results of an attempt.
const (
	// ResultAnswered is a complete answer, whatever its status.
	ResultAnswered Result = iota
	// ResultBusy means that the runner refused because it had no free slot.
	ResultBusy
	// ResultLeaving means that the runner refused because it is stopping.
	ResultLeaving
	// ResultConnectFailed means that no connection could be opened.
	ResultConnectFailed
	// ResultLost means that the connection failed after it was opened.
	ResultLost
	// ResultNeutral is no evidence about the runner: the caller disconnected, its deadline
	// passed, or this daemon's own network or TLS setup failed.
	ResultNeutral
)

// Limits of the ejection time. A runner that restarts is back in seconds, so the first
// ejection is short; each further one in a row doubles it.
const (
	firstEjection = 250 * time.Millisecond
	maxEjection   = 15 * time.Second
)

// ejectAfterLosses is how many consecutive lost connections eject a runner. A single loss may
// be caused by one request; a failed connect ejects immediately.
const ejectAfterLosses = 3

// busyBackoff is how long a runner that refused because it had no free slot is not chosen
// again.
const busyBackoff = 20 * time.Millisecond

// runner is the state of one runner as seen by this daemon.
type runner struct {
	placement mfplacement.Runner
	// inFlight counts this daemon's requests at the runner, share is this daemon's part of its
	// slots.
	inFlight int
	share    int
	// connections is this daemon's part of the runner's connection limit.
	connections int
	// window bounds inFlight while the runner is new or back from ejection, so that a runner
	// that fails again costs few requests. It starts at one and grows with each answer and
	// with the time since firstSentAt, when the first request was sent: growth by answers
	// alone would throttle a service whose requests are slow.
	window      int
	firstSentAt time.Time
	// peersInFlight is the number of requests in flight that the other daemons last reported.
	peersInFlight int
	// reportedLeaving is set by the runner's own refusal, which arrives before the published
	// placement.
	reportedLeaving bool
	// consecutiveLosses and consecutiveEjections count without an answer in between.
	consecutiveLosses    int
	consecutiveEjections int
	ejectedUntil         time.Time
	busyUntil            time.Time
}

// usable reports whether new requests may be sent to the runner at all.
func (r *runner) usable(now time.Time) bool {
	return r.placement.State == mfplacement.StateServing && !r.reportedLeaving && !now.Before(r.ejectedUntil)
}

// windowGrowthInterval is the time in which a runner's window grows by one without an answer.
const windowGrowthInterval = 25 * time.Millisecond

// inFlightLimit returns how many requests this daemon may have in flight at the runner,
// regardless of its share.
func (r *runner) inFlightLimit(now time.Time) int {
	window := r.window
	if !r.firstSentAt.IsZero() {
		window += int(now.Sub(r.firstSentAt) / windowGrowthInterval)
	}
	return min(window, r.connections)
}

// freeInShare returns how many more requests fit into this daemon's share.
func (r *runner) freeInShare(now time.Time) int {
	return min(r.share, r.inFlightLimit(now)) - r.inFlight
}

// idleSlots estimates how many slots of the runner no daemon uses.
func (r *runner) idleSlots() int {
	return int(r.placement.Slots) - r.inFlight - r.peersInFlight
}

// freeOwnSlots returns how many more requests this daemon may send to the runner within its
// share.
func (r *runner) freeOwnSlots(now time.Time, exclude map[mothferry.TaskID]bool) int {
	if !r.usable(now) || exclude[r.placement.Task] || now.Before(r.busyUntil) {
		return 0
	}
	return r.freeInShare(now)
}

// borrowableSlots returns how many slots of the runner appear to be unused by all daemons.
func (r *runner) borrowableSlots(now time.Time, exclude map[mothferry.TaskID]bool) int {
	if !r.usable(now) || exclude[r.placement.Task] || now.Before(r.busyUntil) || r.inFlight >= r.inFlightLimit(now) {
		return 0
	}
	return r.idleSlots()
}

// recordResult updates the runner's health with the result of an attempt.
func (r *runner) recordResult(result Result, now time.Time, random mothferry.Random) {
	switch result {
	case ResultAnswered:
		r.consecutiveLosses, r.consecutiveEjections = 0, 0
		r.window = min(r.window+1, int(r.placement.Slots))
	case ResultBusy:
		r.busyUntil = now.Add(busyBackoff)
	case ResultLeaving:
		r.reportedLeaving = true
	case ResultConnectFailed:
		r.eject(now, random)
	case ResultLost:
		r.consecutiveLosses++
		if r.consecutiveLosses >= ejectAfterLosses {
			r.eject(now, random)
		}
	case ResultNeutral:
	}
}

// eject excludes the runner for a while, with jitter so that the daemons do not all return to
// it at the same time.
func (r *runner) eject(now time.Time, random mothferry.Random) {
	if now.Before(r.ejectedUntil) {
		return
	}
	duration := min(firstEjection<<min(r.consecutiveEjections, 16), maxEjection)
	duration += time.Duration(random.Float64() * float64(duration) / 2)
	r.ejectedUntil = now.Add(duration)
	r.consecutiveEjections++
	r.consecutiveLosses = 0
	r.window, r.firstSentAt = 1, time.Time{}
}
