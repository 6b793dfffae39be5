package mfduty

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mothferry"
	"mothferry/mfsched"
)

const (
	// missingTimeout is how long an incarnation must be missing from the machine list to count as
	// ended: the list is read several times by then, so that an incarnation that started just
	// after one read is not taken for a missing one.
	missingTimeout = time.Second
	// removedTimeout is how long a machine must be missing from the machine list to count as
	// removed: by then leases on it have expired.
	removedTimeout = 10 * time.Second
	// maxFormerWorkers is how many former workers of a machine are remembered.
	maxFormerWorkers = 8
)

// IncarnationTracker tracks which incarnation of a worker each machine runs. The platform's
// machine list shows within a tenth of a second that a machine is down and has no worker,
// whereas a lease takes four to five seconds to expire: tasks restart on other workers that
// much sooner. A worker that is only partitioned stays in the list.
type IncarnationTracker struct {
	current map[mothferry.MachineID]incarnation
	// former holds the workers that each machine had before others, the newest last.
	former map[mothferry.MachineID][]mothferry.WorkerID
	// listedAt is when the last list was requested that had a machine.
	listedAt map[mothferry.MachineID]time.Time
	// missingSince is when the first list was requested that accounted for all machines without
	// a worker, and since when no list has had it.
	missingSince map[mothferry.WorkerID]time.Time
}

// incarnation is an incarnation of a worker and the pool that it was listed in.
type incarnation struct {
	worker mothferry.WorkerID
	pool   mothferry.ServiceID
	// last is the newest worker that the machine had; it may have ended.
	last mothferry.WorkerID
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

// Ended records a machine list that was requested at requestedAt and returns the incarnations that
// have ended: their machine has another one, or has none and is not up, or no machine can have
// them. The end was planned if the machine moves, is in another pool, or is under maintenance.
func (t *IncarnationTracker) Ended(machines []mothferry.Machine, loads map[mothferry.WorkerID]mfsched.Load, requestedAt time.Time) []mfsched.IncarnationEnded {
	if t.current == nil {
		t.current, t.missingSince = map[mothferry.MachineID]incarnation{}, map[mothferry.WorkerID]time.Time{}
		t.listedAt, t.former = map[mothferry.MachineID]time.Time{}, map[mothferry.MachineID][]mothferry.WorkerID{}
	}
	var ended []mfsched.IncarnationEnded
	present, inOrder := map[mothferry.WorkerID]bool{}, true
	for _, m := range machines {
		present[m.Worker] = true
		previous := t.current[m.Machine]
		if m.Worker == "" && !withoutWorker(m.State) {
			continue
		}
		if slices.Contains(t.former[m.Machine], m.Worker) {
			// The list is older than the one that showed the present worker.
			inOrder = false
			continue
		}
		if previous.worker != "" && m.Worker != previous.worker {
			ended = append(ended, mfsched.IncarnationEnded{Worker: previous.worker, Cause: previous.endCause(m)})
		}
		t.replace(m)
	}
	allAccounted := t.accountsForAll(machines, requestedAt) && inOrder
	return append(ended, t.lost(present, loads, allAccounted, requestedAt)...)
}

// replace records what a machine runs now. A worker without one after it may start again under its id.
func (t *IncarnationTracker) replace(m mothferry.Machine) {
	i := t.current[m.Machine]
	if i.last != "" && m.Worker != "" && m.Worker != i.last {
		former := append(t.former[m.Machine], i.last)
		t.former[m.Machine] = former[max(0, len(former)-maxFormerWorkers):]
	}
	t.current[m.Machine] = incarnation{worker: m.Worker, pool: m.Pool, last: cmp.Or(m.Worker, i.last)}
}

// accountsForAll reports whether each known machine is in a list, with a worker or in a state
// without one, so that a worker which isn't in the list runs on none of them. A machine that was
// removed is not known any more.
func (t *IncarnationTracker) accountsForAll(machines []mothferry.Machine, requestedAt time.Time) bool {
	all := len(machines) > 0
	for _, m := range machines {
		t.listedAt[m.Machine] = requestedAt
		all = all && (m.Worker != "" || withoutWorker(m.State))
	}
	for id, at := range t.listedAt {
		switch missing := requestedAt.Sub(at); {
		case missing >= removedTimeout:
			delete(t.listedAt, id)
		case missing > 0:
			all = false
		}
	}
	return all
}

// withoutWorker reports whether machines in a state have no worker.
func withoutWorker(s mothferry.MachineState) bool {
	return s == mothferry.MachineDown || s == mothferry.MachineMoving || s == mothferry.MachineMaintenance
}

// lost returns the incarnations with tasks that a new owner knows only from what the previous owner
// stored, whose entry is gone, and that no machine can have, by lists requested missingTimeout apart that
// account for all machines. A list that leaves a machine open shows nothing. Of a worker that has
// answered this owner only its machine, or its lease, shows the end.
func (t *IncarnationTracker) lost(present map[mothferry.WorkerID]bool, loads map[mothferry.WorkerID]mfsched.Load, allAccounted bool, requestedAt time.Time) []mfsched.IncarnationEnded {
	maps.DeleteFunc(t.missingSince, func(id mothferry.WorkerID, _ time.Time) bool {
		_, known := loads[id]
		return !known
	})
	var ended []mfsched.IncarnationEnded
	for id, load := range loads {
		if present[id] || load.Listed || load.Tasks == 0 || load.Known {
			delete(t.missingSince, id)
			continue
		}
		if !allAccounted {
			continue
		}
		since, known := t.missingSince[id]
		switch {
		case !known:
			t.missingSince[id] = requestedAt
		case requestedAt.Sub(since) >= missingTimeout:
			delete(t.missingSince, id)
			ended = append(ended, mfsched.IncarnationEnded{Worker: id, Cause: mfsched.IncarnationEndUnknown})
		}
	}
	slices.SortFunc(ended, func(a, b mfsched.IncarnationEnded) int { return cmp.Compare(a.Worker, b.Worker) })
	return ended
}
