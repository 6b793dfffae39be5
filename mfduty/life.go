package mfduty

import (
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
	of     map[mothferry.MachineID]mothferry.WorkerID
	absent map[mothferry.WorkerID]time.Time
}

// Over takes in a list of machines and returns the lives that are over: their
// machine has another one, or none and is not up; or no machine has them.
func (l *Lives) Over(machines []mothferry.Machine, loads map[mothferry.WorkerID]mfsched.Load, now time.Time) []mothferry.WorkerID {
	if l.of == nil {
		l.of, l.absent = map[mothferry.MachineID]mothferry.WorkerID{}, map[mothferry.WorkerID]time.Time{}
	}
	var over []mothferry.WorkerID
	present := map[mothferry.WorkerID]bool{}
	for _, m := range machines {
		present[m.Worker] = true
		old := l.of[m.Machine]
		if old != "" && m.Worker != old && (m.Worker != "" || m.State != mothferry.MachineUp) {
			over = append(over, old)
		}
		if m.Worker != "" || m.State != mothferry.MachineUp {
			l.of[m.Machine] = m.Worker
		}
	}
	return append(over, l.gone(present, loads, now)...)
}

// gone returns the lives with work that no machine has shown for a while: a
// successor knows them only by what its predecessor stored.
func (l *Lives) gone(present map[mothferry.WorkerID]bool, loads map[mothferry.WorkerID]mfsched.Load, now time.Time) []mothferry.WorkerID {
	var over []mothferry.WorkerID
	for id, load := range loads {
		if present[id] || load.Tasks == 0 {
			delete(l.absent, id)
			continue
		}
		since, known := l.absent[id]
		switch {
		case !known:
			l.absent[id] = now
		case now.Sub(since) >= absentFor:
			delete(l.absent, id)
			over = append(over, id)
		}
	}
	slices.Sort(over)
	return over
}
