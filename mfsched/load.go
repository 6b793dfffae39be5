package mfsched

import (
	"cmp"

	"mothferry"
)

// Load is what one life of a worker runs.
type Load struct {
	Service mothferry.ServiceID
	// Known says that the worker has told this owner what it runs.
	Known bool
	// Tasks counts all tasks that are, or may be, there; Lasting those that last.
	Tasks   int
	Lasting int
	// Failing says that the worker did not answer last.
	Failing bool
	// Used is the part of its cores that tasks have asked for, from 0 to 1.
	Used float64
	// Speed is how fast it is known to be against its peers: 1 unless it counts as slow,
	// zero if nothing is known.
	Speed float64
}

// Slow reports whether the worker is known to be slower than its peers.
func (l Load) Slow() bool { return l.Speed > 0 && l.Speed < 1 }

// Compare orders loads by how little is lost if the machine goes.
func (l Load) Compare(o Load) int {
	return cmp.Or(cmp.Compare(l.Lasting, o.Lasting), cmp.Compare(l.Used, o.Used))
}

// Loads returns what each known life of a worker runs.
func (s *State) Loads() map[mothferry.WorkerID]Load {
	loads := map[mothferry.WorkerID]Load{}
	for id, w := range s.workers {
		l := Load{Service: w.Service, Known: w.fenced, Tasks: len(w.tasks), Failing: w.unresponsive}
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
