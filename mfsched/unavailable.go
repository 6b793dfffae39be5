package mfsched

import "time"

// logUnavailableTasks logs once, with possible reasons, each lasting task that has been
// unavailable for so long that it counts as missing.
func (s *State) logUnavailableTasks(now time.Time) {
	for _, j := range s.live {
		if !j.lasts {
			continue
		}
		for t := range j.tasks() {
			s.logUnavailableTask(t, now)
		}
	}
}

func (s *State) logUnavailableTask(t *task, now time.Time) {
	if !t.step.spec.Lasting || t.unavailableSince.IsZero() {
		t.unavailableLogged = false
		return
	}
	if t.unavailableLogged || now.Sub(t.unavailableSince) < s.Limits.UnavailableAfter {
		return
	}
	t.unavailableLogged = true
	d := Decision{Message: "lasting task is away", Job: t.job.id, Fields: map[string]any{
		"step": t.name.Step, "index": t.name.Index, "run": t.run, "phase": t.phase.String(), "percent": t.percent,
		"usable": len(s.usable(s.queueOf(t.job).Service, now)),
	}}
	if t.worker != nil {
		d.Worker = t.worker.at.Worker
		d.Fields["worker_failing"], d.Fields["worker_listed"] = t.worker.unresponsive, t.worker.listed
	}
	s.emit(d)
}

// String names a phase in logs.
func (p phase) String() string {
	return [...]string{"waiting", "planned", "sent", "running", "unclear", "stopping", "done"}[p]
}
