package mfroute

import (
	"time"

	"mothferry"
	"mothferry/mfplacement"
)

// Result is how a dispatch to a runner ended, as far as the runner's health goes.
type Result int

// Results of a dispatch.
const (
	// ResultAnswered is a whole answer, whatever its status.
	ResultAnswered Result = iota
	// ResultBusy is the runner's refusal for want of a slot.
	ResultBusy
	// ResultLeaving is the runner's refusal because it is stopping.
	ResultLeaving
	// ResultConnectFailed means that no connection could be opened.
	ResultConnectFailed
	// ResultLost means that the connection failed after it was open.
	ResultLost
	// ResultNeutral says nothing about the runner: the caller left, its
	// deadline passed, or this daemon's own network or TLS set-up failed.
	ResultNeutral
)

// Ejection's bounds of time. A runner that restarts is back in seconds, so
// the first ejection is short; each further one in a row doubles it.
const (
	firstEjection = 250 * time.Millisecond
	maxEjection   = 15 * time.Second
)

// ejectAfterLosses is how many lost connections in a row eject a runner. One alone
// may be the fault of a single request; a failed connect ejects at once.
const ejectAfterLosses = 3

// busyBackoff is how long a runner that refused for want of a slot is not
// chosen again.
const busyBackoff = 20 * time.Millisecond

// runner is one runner as this daemon sees it.
type runner struct {
	placement mfplacement.Runner
	// inFlight counts this daemon's requests there, and share its own slots.
	inFlight int
	share    int
	// connections is this daemon's part of the runner's connections.
	connections int
	// window bounds inFlight while the runner is new or back from ejection, so
	// that a runner which fails again costs few requests. It starts at one and
	// grows with each answer, and with the time since began, the first request
	// sent: answers alone would hold back a service whose requests are slow.
	window      int
	firstSentAt time.Time
	// peersInFlight is what the other daemons last said they had in flight.
	peersInFlight int
	// reportedLeaving is the runner's own word, which outruns the published placement.
	reportedLeaving bool
	// consecutiveLosses counts lost connections, and ejections those in a row.
	consecutiveLosses    int
	consecutiveEjections int
	ejectedUntil         time.Time
	busyUntil            time.Time
}

// usable reports whether new requests may be sent to the runner at all.
func (r *runner) usable(now time.Time) bool {
	return r.placement.State == mfplacement.StateServing && !r.reportedLeaving && !now.Before(r.ejectedUntil)
}

// windowGrowthInterval is the time in which the window of a runner grows by one without an answer.
const windowGrowthInterval = 25 * time.Millisecond

// inFlightLimit returns how many requests this daemon may have in flight there,
// whatever its share.
func (r *runner) inFlightLimit(now time.Time) int {
	window := r.window
	if !r.firstSentAt.IsZero() {
		window += int(now.Sub(r.firstSentAt) / windowGrowthInterval)
	}
	return min(window, r.connections)
}

// freeInShare returns how many more requests fit into this daemon's own share.
func (r *runner) freeInShare(now time.Time) int {
	return min(r.share, r.inFlightLimit(now)) - r.inFlight
}

// idleSlots estimates how many slots of the runner nobody uses.
func (r *runner) idleSlots() int {
	return int(r.placement.Slots) - r.inFlight - r.peersInFlight
}

// freeOwnSlots returns how many more requests this daemon may send there within its share.
func (r *runner) freeOwnSlots(now time.Time, exclude map[mothferry.TaskID]bool) int {
	if !r.usable(now) || exclude[r.placement.Task] || now.Before(r.busyUntil) {
		return 0
	}
	return r.freeInShare(now)
}

// borrowableSlots returns how many slots there seem to be used by nobody.
func (r *runner) borrowableSlots(now time.Time, exclude map[mothferry.TaskID]bool) int {
	if !r.usable(now) || exclude[r.placement.Task] || now.Before(r.busyUntil) || r.inFlight >= r.inFlightLimit(now) {
		return 0
	}
	return r.idleSlots()
}

// recordResult takes the end of a dispatch into the runner's health.
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

// eject keeps requests away from the runner for a while, with jitter so that
// the daemons do not all come back to it at the same moment.
func (r *runner) eject(now time.Time, random mothferry.Random) {
	if now.Before(r.ejectedUntil) {
		return
	}
	pause := min(firstEjection<<min(r.consecutiveEjections, 16), maxEjection)
	pause += time.Duration(random.Float64() * float64(pause) / 2)
	r.ejectedUntil = now.Add(pause)
	r.consecutiveEjections++
	r.consecutiveLosses = 0
	r.window, r.firstSentAt = 1, time.Time{}
}
