package mfsched

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// maxLoggedRuns bounds the runs that the log names when a worker's incarnation ends.
const maxLoggedRuns = 4

// age returns how long a worker is known to have stayed alive under a run: from when its start
// was sent to the worker's last clock reading. It is zero if there was none since.
func (t *task) age() time.Duration {
	if t.worker == nil || t.lastStartSent.IsZero() {
		return 0
	}
	return max(0, t.worker.clockReadAt.Sub(t.lastStartSent))
}

// newestRuns describes the youngest runs on a worker, by known age. A run that crashes its
// worker is among them if it does so soon after its start; a worker that ends for reasons of
// its own has old and new ones.
func (w *worker) newestRuns() []string {
	runs := w.tasksWhere(func(t *task) bool { return t.phase != phasePlanned })
	slices.SortStableFunc(runs, func(a, b *task) int { return cmp.Compare(a.age(), b.age()) })
	var out []string
	for _, t := range runs[:min(maxLoggedRuns, len(runs))] {
		n := t.name
		out = append(out, fmt.Sprintf("%s.%d.%d.%d run %d %s %dms", n.Job, n.Occurrence, n.Step, n.Index, t.run, t.phase, t.age().Milliseconds()))
	}
	return out
}
