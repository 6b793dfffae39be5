package mfduty

import (
	"cmp"
	"slices"
	"time"

	"mothferry"
	"mothferry/mfsched"
)

// missingTimeout is how long an incarnation must be missing from the machine list to count as
// ended, and a machine to count as removed: the list is read several times by then, so that an
// incarnation that started just after one read is not taken for a missing one.
const missingTimeout = time.Second

// IncarnationTracker tracks which incarnation of a worker each machine runs. The platform's
// machine list shows within a tenth of a second that a machine is down and has no worker,
// whereas a lease takes four to five seconds to expire: tasks restart on other workers that
// much sooner. A worker that is only partitioned stays in the list.
type IncarnationTracker struct {
	current      map[mothferry.MachineID]incarnation
	missingSince map[mothferry.WorkerID]time.Time
}

// incarnation is an incarnation of a worker and the pool that it was listed in.
type incarnation struct {
	worker mothferry.WorkerID
	pool   mothferry.ServiceID
}

// endCause returns why an incarnation has ended, by the present state of its machine.
func (i incarnation) endCause(m mothferry.Machine) mfsched.IncarnationEndCause {
	switch {
	case m.State == mothferry.MachineMoving, m.State == mothferry.MachineMaintenance,
		m.State == mothferry.MachineUp && m.Pool != i.pool:
		return mfsched.IncarnationEndPlanned
	default:
		return mfsched.IncarnationCrashed
	}
}

// Ended records a machine list and returns the incarnations that have ended: their machine has
// another one, or has none and is not up, or no machine lists them. The end was planned if the
// machine moves, is in another pool, or is under maintenance.
func (t *IncarnationTracker) Ended(machines []mothferry.Machine, loads map[mothferry.WorkerID]mfsched.Load, now time.Time) []mfsched.IncarnationEnded {
	if t.current == nil {
		t.current, t.missingSince = map[mothferry.MachineID]incarnation{}, map[mothferry.WorkerID]time.Time{}
	}
	var ended []mfsched.IncarnationEnded
	present := map[mothferry.WorkerID]bool{}
	for _, m := range machines {
		present[m.Worker] = true
		previous := t.current[m.Machine]
		if m.Worker == "" && !withoutWorker(m.State) {
			continue
		}
		if previous.worker != "" && m.Worker != previous.worker {
			ended = append(ended, mfsched.IncarnationEnded{Worker: previous.worker, Cause: previous.endCause(m)})
		}
		t.current[m.Machine] = incarnation{worker: m.Worker, pool: m.Pool}
	}
	return append(ended, t.lost(present, loads, now)...)
}

// withoutWorker reports whether machines in a state have no worker.
func withoutWorker(s mothferry.MachineState) bool {
	return s == mothferry.MachineDown || s == mothferry.MachineMoving || s == mothferry.MachineMaintenance
}

// lost returns the incarnations with tasks that no machine has listed for missingTimeout and
// that are unresponsive: a new owner knows them only from what the previous owner stored.
func (t *IncarnationTracker) lost(present map[mothferry.WorkerID]bool, loads map[mothferry.WorkerID]mfsched.Load, now time.Time) []mfsched.IncarnationEnded {
	var ended []mfsched.IncarnationEnded
	for id, load := range loads {
		responsive := load.Known && !load.Unresponsive
		if present[id] || load.Tasks == 0 || responsive {
			delete(t.missingSince, id)
			continue
		}
		since, known := t.missingSince[id]
		switch {
		case !known:
			t.missingSince[id] = now
		case now.Sub(since) >= missingTimeout:
			delete(t.missingSince, id)
			ended = append(ended, mfsched.IncarnationEnded{Worker: id, Cause: mfsched.IncarnationEndUnknown})
		}
	}
	slices.SortFunc(ended, func(a, b mfsched.IncarnationEnded) int { return cmp.Compare(a.Worker, b.Worker) })
	return ended
}
