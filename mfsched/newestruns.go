package mfsched

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// maxLoggedRuns bounds the runs that the log names of a worker whose life is over.
const maxLoggedRuns = 4

// age is how long a worker is known to have lived on under a run: from when it was
// ordered to the worker's last sign of life. It is zero if there was none since.
func (t *task) age() time.Duration {
	if t.worker == nil || t.lastStartSent.IsZero() {
		return 0
	}
	return max(0, t.worker.clockReadAt.Sub(t.lastStartSent))
}

// newestRuns names the runs on a worker that it is known to have borne for the shortest
// time. What ends a worker is among them if it acts soon after its start; a worker that
// ends for reasons of its own has old and new ones.
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
