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

// lostToEject is how many lost connections in a row eject a runner. One alone
// may be the fault of a single request; a failed connect ejects at once.
const lostToEject = 3

// busyPause is how long a runner that refused for want of a slot is not
// chosen again.
const busyPause = 20 * time.Millisecond

// runner is one runner as this daemon sees it.
type runner struct {
	placed mfplacement.Runner
	// inFlight counts this daemon's requests there, and share its own slots.
	inFlight int
	share    int
	// connections is this daemon's part of the runner's connections.
	connections int
	// window bounds inFlight while the runner is new or back from ejection, so
	// that a runner which fails again costs few requests. It starts at one and
	// grows with each answer, and with the time since began, the first request
	// sent: answers alone would hold back a service whose requests are slow.
	window int
	began  time.Time
	// others is what the other daemons last said they had in flight.
	others int
	// leaving is the runner's own word, which outruns the published placement.
	leaving bool
	// lost counts lost connections, and ejections those in a row.
	lost         int
	ejections    int
	ejectedUntil time.Time
	busyUntil    time.Time
}

// usable reports whether new requests may be sent to the runner at all.
func (r *runner) usable(now time.Time) bool {
	return r.placed.State == mfplacement.StateServing && !r.leaving && !now.Before(r.ejectedUntil)
}

// windowStep is the time in which the window of a runner grows by one without an answer.
const windowStep = 25 * time.Millisecond

// bound returns how many requests this daemon may have in flight there,
// whatever its share.
func (r *runner) bound(now time.Time) int {
	window := r.window
	if !r.began.IsZero() {
		window += int(now.Sub(r.began) / windowStep)
	}
	return min(window, r.connections)
}

// free returns how many more requests fit into this daemon's own share.
func (r *runner) free(now time.Time) int {
	return min(r.share, r.bound(now)) - r.inFlight
}

// spare estimates how many slots of the runner nobody uses.
func (r *runner) spare() int {
	return int(r.placed.Slots) - r.inFlight - r.others
}

// ownRoom returns how many more requests this daemon may send there within its share.
func (r *runner) ownRoom(now time.Time, exclude map[mothferry.TaskID]bool) int {
	if !r.usable(now) || exclude[r.placed.Task] || now.Before(r.busyUntil) {
		return 0
	}
	return r.free(now)
}

// borrowRoom returns how many slots there seem to be used by nobody.
func (r *runner) borrowRoom(now time.Time, exclude map[mothferry.TaskID]bool) int {
	if !r.usable(now) || exclude[r.placed.Task] || now.Before(r.busyUntil) || r.inFlight >= r.bound(now) {
		return 0
	}
	return r.spare()
}

// note takes the end of a dispatch into the runner's health.
func (r *runner) note(result Result, now time.Time, random mothferry.Random) {
	switch result {
	case ResultAnswered:
		r.lost, r.ejections = 0, 0
		r.window = min(r.window+1, int(r.placed.Slots))
	case ResultBusy:
		r.busyUntil = now.Add(busyPause)
	case ResultLeaving:
		r.leaving = true
	case ResultConnectFailed:
		r.eject(now, random)
	case ResultLost:
		r.lost++
		if r.lost >= lostToEject {
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
	pause := min(firstEjection<<min(r.ejections, 16), maxEjection)
	pause += time.Duration(random.Float64() * float64(pause) / 2)
	r.ejectedUntil = now.Add(pause)
	r.ejections++
	r.lost = 0
	r.window, r.began = 1, time.Time{}
}
