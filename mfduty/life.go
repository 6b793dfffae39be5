package mfduty

import (
	"cmp"
	"slices"
	"time"

	"mothferry"
	"mothferry/mfsched"
)

// absentFor is how long no machine may show a life until it counts as over: the
// list is read several times by then, so that a life which began just after one
// reading is not mistaken.
const absentFor = time.Second

// Lives follows which life of a worker each machine has. The platform's list
// shows within a tenth of a second that a machine is down and has no worker,
// whereas a lease takes four to five seconds to lapse: tasks start elsewhere
// that much sooner. A worker that is only cut off keeps its place in the list.
type Lives struct {
	of     map[mothferry.MachineID]life
	absent map[mothferry.WorkerID]time.Time
}

// life is one life of a worker and the pool that it was in.
type life struct {
	worker mothferry.WorkerID
	pool   mothferry.ServiceID
}

// ending tells why a life is over by what its machine shows now.
func (l life) ending(m mothferry.Machine) mfsched.LifeEnd {
	switch {
	case m.State == mothferry.MachineMoving, m.State == mothferry.MachineUpkeep,
		m.State == mothferry.MachineUp && m.Pool != l.pool:
		return mfsched.LifePlanned
	default:
		return mfsched.LifeCrashed
	}
}

// Over takes in a list of machines and returns the lives that are over: their
// machine has another one, or none and is not up; or no machine has them. A machine on
// its way to another pool, in another pool, or at its upkeep has ended its life as planned.
func (l *Lives) Over(machines []mothferry.Machine, loads map[mothferry.WorkerID]mfsched.Load, now time.Time) []mfsched.WorkerOver {
	if l.of == nil {
		l.of, l.absent = map[mothferry.MachineID]life{}, map[mothferry.WorkerID]time.Time{}
	}
	var over []mfsched.WorkerOver
	present := map[mothferry.WorkerID]bool{}
	for _, m := range machines {
		present[m.Worker] = true
		old := l.of[m.Machine]
		if m.Worker == "" && !withoutWorker(m.State) {
			continue
		}
		if old.worker != "" && m.Worker != old.worker {
			over = append(over, mfsched.WorkerOver{Worker: old.worker, Cause: old.ending(m)})
		}
		l.of[m.Machine] = life{worker: m.Worker, pool: m.Pool}
	}
	return append(over, l.gone(present, loads, now)...)
}

// withoutWorker reports whether a machine in a state has no worker.
func withoutWorker(s mothferry.MachineState) bool {
	return s == mothferry.MachineDown || s == mothferry.MachineMoving || s == mothferry.MachineUpkeep
}

// gone returns the lives with work that no machine has shown for a while and that do not
// answer: a successor knows them only by what its predecessor stored.
func (l *Lives) gone(present map[mothferry.WorkerID]bool, loads map[mothferry.WorkerID]mfsched.Load, now time.Time) []mfsched.WorkerOver {
	var over []mfsched.WorkerOver
	for id, load := range loads {
		answers := load.Known && !load.Failing
		if present[id] || load.Tasks == 0 || answers {
			delete(l.absent, id)
			continue
		}
		since, known := l.absent[id]
		switch {
		case !known:
			l.absent[id] = now
		case now.Sub(since) >= absentFor:
			delete(l.absent, id)
			over = append(over, mfsched.WorkerOver{Worker: id, Cause: mfsched.LifeUnknown})
		}
	}
	slices.SortFunc(over, func(a, b mfsched.WorkerOver) int { return cmp.Compare(a.Worker, b.Worker) })
	return over
}
