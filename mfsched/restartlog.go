package mfsched

import (
	"fmt"
	"time"

	"mothferry"
)

// releaseReason is how a run is known to have ended, so that its task may start again.
type releaseReason string

// Reasons for releasing a run.
const (
	releasedEndListed      releaseReason = "end_listed"
	releasedRefused        releaseReason = "start_refused"
	releasedMissingAtFirst releaseReason = "missing_in_first_answer"
	releasedStopAnswered   releaseReason = "missing_after_stop"
	releasedLifeEnded      releaseReason = "worker_ended"
	releasedLeaseExpired   releaseReason = "lease_expired"
	releasedNotStored      releaseReason = "plan_not_stored"
	releasedNotSent        releaseReason = "plan_not_sent"
)

const (
	// maxRestartLines bounds the lines of a restartLog in each restartLogWindow.
	maxRestartLines  = 200
	restartLogWindow = time.Second
	// slowStartAnswer is how long after a start was sent its answer is logged.
	slowStartAnswer = 250 * time.Millisecond
)

// formerRun is what is known of the run of a task before its present one.
type formerRun struct {
	run      mothferry.RunNumber
	worker   mothferry.WorkerID
	relay    mothferry.DaemonID
	sends    int
	sentAt   time.Time
	answered OrderResult
	// answeredAt is when a start was last answered, confirmedAt when the run was first known to
	// exist.
	answeredAt, confirmedAt time.Time
	phase                   phase
	inherited               bool
	released                releaseReason
	releasedAt              time.Time
}

// rememberRun keeps what is known of a task's run that is about to be released, unless no start
// was ever sent for it.
func (t *task) rememberRun(reason releaseReason, now time.Time) {
	if t.phase == phasePlanned || t.worker == nil {
		return
	}
	t.former = &formerRun{
		run: t.run, worker: t.worker.at.Worker, relay: t.relay, sends: t.startsSent, sentAt: t.lastStartSent,
		answered: t.startResult, answeredAt: t.startResultAt, confirmedAt: t.confirmedAt, phase: t.phase,
		inherited: t.startsSent == 0, released: reason, releasedAt: now,
	}
}

// restartLog bounds the lines about restarts of tasks.
type restartLog struct {
	since          time.Time
	lines, omitted int
}

// allow reports whether another line may be logged, and how many were omitted before it.
func (r *restartLog) allow(now time.Time) (omitted int, allowed bool) {
	if now.Sub(r.since) >= restartLogWindow {
		r.since, r.lines = now, 0
	}
	if r.lines >= maxRestartLines {
		r.omitted++
		return 0, false
	}
	r.lines++
	omitted, r.omitted = r.omitted, 0
	return omitted, true
}

// logRestart logs that a task starts again, with the history of its former run.
func (s *State) logRestart(t *task, now time.Time) {
	former := t.former
	if former == nil {
		return
	}
	t.former = nil
	omitted, allowed := s.restartLog.allow(now)
	if !allowed {
		return
	}
	fields := map[string]any{
		"occurrence": t.name.Occurrence, "step": t.name.Step, "index": t.name.Index, "run": t.run,
		"former_run": former.run, "former_worker": former.worker, "former_phase": former.phase.String(),
		"released": former.released, "released_ms": now.Sub(former.releasedAt).Milliseconds(),
	}
	if omitted > 0 {
		fields["omitted"] = omitted
	}
	if former.inherited {
		fields["inherited"] = true
	} else {
		fields["sends"], fields["sent_ms"] = former.sends, now.Sub(former.sentAt).Milliseconds()
	}
	if former.relay != "" {
		fields["relay"] = former.relay
	}
	if former.answered != "" {
		fields["answer"], fields["answered_ms"] = former.answered, now.Sub(former.answeredAt).Milliseconds()
	}
	if !former.confirmedAt.IsZero() {
		fields["seen_ms"] = now.Sub(former.confirmedAt).Milliseconds()
	}
	s.emit(Decision{Message: "task starts again", Job: t.job.id, Worker: t.worker.at.Worker, Fields: fields})
}

// logSlowStart logs the answer to a start order that took long or did not arrive.
func (s *State) logSlowStart(t *task, e StartAnswered, now time.Time) {
	if e.Result != ResultUnknown && (e.Sent.IsZero() || now.Sub(e.Sent) < slowStartAnswer) {
		return
	}
	omitted, allowed := s.restartLog.allow(now)
	if !allowed {
		return
	}
	fields := map[string]any{
		"occurrence": e.Task.Occurrence, "step": e.Task.Step, "index": e.Task.Index, "run": e.Run, "answer": e.Result,
		"took_ms": now.Sub(e.Sent).Milliseconds(), "sends": t.startsSent, "phase": t.phase.String(),
	}
	if e.Relay != "" {
		fields["relay"] = e.Relay
	}
	if omitted > 0 {
		fields["omitted"] = omitted
	}
	s.emit(Decision{Message: "start was answered late or not at all", Job: t.job.id, Worker: e.Worker, Fields: fields})
}

// describePlaced lists the planned runs of tasks of one step in the order of their indexes, adjacent
// ones on the same worker together: "0-4 run 1 on w-1".
func describePlaced(placed []*task) []string {
	var out []string
	for first := 0; first < len(placed); {
		t, last := placed[first], first
		for last+1 < len(placed) && continues(placed[last], placed[last+1]) {
			last++
		}
		indexes := fmt.Sprint(t.name.Index)
		if last > first {
			indexes += fmt.Sprintf("-%d", placed[last].name.Index)
		}
		out = append(out, fmt.Sprintf("%s run %d on %s", indexes, t.run, t.worker.at.Worker))
		first = last + 1
	}
	return out
}

func continues(a, b *task) bool {
	return b.name.Index == a.name.Index+1 && b.worker == a.worker && b.run == a.run
}
