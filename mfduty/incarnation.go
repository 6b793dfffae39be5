package mfduty

import (
	"cmp"
	"slices"
	"time"

	"mothferry"
	"mothferry/mfsched"
)

// missingTimeout is how long no machine may show a life until it counts as over: the
// list is read several times by then, so that a life which began just after one
// reading is not mistaken.
const missingTimeout = time.Second

// IncarnationTracker follows which life of a worker each machine has. The platform's list
// shows within a tenth of a second that a machine is down and has no worker,
// whereas a lease takes four to five seconds to lapse: tasks start elsewhere
// that much sooner. A worker that is only cut off keeps its place in the list.
type IncarnationTracker struct {
	current      map[mothferry.MachineID]incarnation
	missingSince map[mothferry.WorkerID]time.Time
}

// incarnation is one life of a worker and the pool that it was in.
type incarnation struct {
	worker mothferry.WorkerID
	pool   mothferry.ServiceID
}

// endCause tells why a life is over by what its machine shows now.
func (l incarnation) endCause(m mothferry.Machine) mfsched.IncarnationEndCause {
	switch {
	case m.State == mothferry.MachineMoving, m.State == mothferry.MachineUpkeep,
		m.State == mothferry.MachineUp && m.Pool != l.pool:
		return mfsched.IncarnationEndPlanned
	default:
		return mfsched.IncarnationCrashed
	}
}

// Ended takes in a list of machines and returns the lives that are over: their
// machine has another one, or none and is not up; or no machine has them. A machine on
// its way to another pool, in another pool, or at its upkeep has ended its life as planned.
func (l *IncarnationTracker) Ended(machines []mothferry.Machine, loads map[mothferry.WorkerID]mfsched.Load, now time.Time) []mfsched.IncarnationEnded {
	if l.current == nil {
		l.current, l.missingSince = map[mothferry.MachineID]incarnation{}, map[mothferry.WorkerID]time.Time{}
	}
	var over []mfsched.IncarnationEnded
	present := map[mothferry.WorkerID]bool{}
	for _, m := range machines {
		present[m.Worker] = true
		old := l.current[m.Machine]
		if m.Worker == "" && !withoutWorker(m.State) {
			continue
		}
		if old.worker != "" && m.Worker != old.worker {
			over = append(over, mfsched.IncarnationEnded{Worker: old.worker, Cause: old.endCause(m)})
		}
		l.current[m.Machine] = incarnation{worker: m.Worker, pool: m.Pool}
	}
	return append(over, l.lost(present, loads, now)...)
}

// withoutWorker reports whether a machine in a state has no worker.
func withoutWorker(s mothferry.MachineState) bool {
	return s == mothferry.MachineDown || s == mothferry.MachineMoving || s == mothferry.MachineUpkeep
}

// lost returns the lives with work that no machine has shown for a while and that do not
// answer: a successor knows them only by what its predecessor stored.
func (l *IncarnationTracker) lost(present map[mothferry.WorkerID]bool, loads map[mothferry.WorkerID]mfsched.Load, now time.Time) []mfsched.IncarnationEnded {
	var over []mfsched.IncarnationEnded
	for id, load := range loads {
		answers := load.Known && !load.Failing
		if present[id] || load.Tasks == 0 || answers {
			delete(l.missingSince, id)
			continue
		}
		since, known := l.missingSince[id]
		switch {
		case !known:
			l.missingSince[id] = now
		case now.Sub(since) >= missingTimeout:
			delete(l.missingSince, id)
			over = append(over, mfsched.IncarnationEnded{Worker: id, Cause: mfsched.IncarnationEndUnknown})
		}
	}
	slices.SortFunc(over, func(a, b mfsched.IncarnationEnded) int { return cmp.Compare(a.Worker, b.Worker) })
	return over
}
