package mfsched

import (
	"cmp"

	"mothferry"
)

// Load is the load of one incarnation of a worker.
type Load struct {
	Service mothferry.ServiceID
	// Listed says that the worker's entry is there.
	Listed bool
	// Known says that the worker has reported to this owner what it runs.
	Known bool
	// Tasks counts all tasks that are, or may be, there; Lasting the lasting ones.
	Tasks   int
	Lasting int
	// Unresponsive says that the worker did not answer the last poll.
	Unresponsive bool
	// Used is the fraction of its cores that tasks reserve, from 0 to 1.
	Used float64
	// Speed is the worker's speed relative to its peers: 1 unless the worker is degraded, zero
	// if it is unknown.
	Speed float64
}

// Slow reports whether the worker is known to be slower than its peers.
func (l Load) Slow() bool { return l.Speed > 0 && l.Speed < 1 }

// Compare orders loads by the loss if the machine is taken away, the smallest loss first.
func (l Load) Compare(o Load) int {
	return cmp.Or(cmp.Compare(l.Lasting, o.Lasting), cmp.Compare(l.Used, o.Used))
}

// Loads returns the load of each worker's known incarnation.
func (s *State) Loads() map[mothferry.WorkerID]Load {
	loads := map[mothferry.WorkerID]Load{}
	for id, w := range s.workers {
		l := Load{Service: w.Service, Listed: w.listed, Known: w.fenced, Tasks: len(w.tasks), Unresponsive: w.unresponsive}
		for _, t := range w.tasks {
			if t.step.spec.Lasting {
				l.Lasting++
			}
		}
		if w.Capacity.Cores > 0 {
			l.Used = float64(w.used.Cores) / float64(w.Capacity.Cores)
		}
		if w.slowStatus.Speed.Runs > 0 {
			l.Speed = w.slowStatus.RelativeSpeed()
		}
		loads[id] = l
	}
	return loads
}
