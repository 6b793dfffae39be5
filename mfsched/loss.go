package mfsched

import (
	"time"

	"mothferry"
	"mothferry/mfdecay"
)

// The load it answers: a twentieth of all calls to workers gets no answer, and orders
// among them are carried out seconds later. What goes wrong: a lost look leaves its
// worker unseen until its time-out, and as a busy worker is looked at several times a
// second a quarter to two fifths of a pool are without new work at any moment; a lost start
// holds its whole job up, and half of all jobs with a dozen tasks have one. One notices
// by usable workers that are far fewer than those listed while none of them has ended.

// Figures for calls that are lost.
const (
	// lossDecayTime is how long a lost look counts.
	lossDecayTime = 3 * time.Second
	// lossyShare is from which part of lost looks on two are under way at a worker, and
	// leastLost how many there must be: single ones are lost whenever a worker or a
	// connection ends.
	lossyShare   = 0.01
	minLostPolls = 2.0
	// secondPollDelay is how long after one look the second one is sent, so that both do
	// not return for the same end.
	secondPollDelay = 50 * time.Millisecond
	// lossyPollWait is how long a look at a busy worker waits for an end while looks are
	// lost: one that is lost is overdue besideAfter later.
	lossyPollWait = 100 * time.Millisecond
	// maxOpenPolls bounds the looks under way at a worker.
	maxOpenPolls = 8
	// maxStartSends is how often one run is ordered before it is stopped instead.
	maxStartSends = 3
	// minOverdueAfter is after how long an order or a look should have had its answer, which
	// takes 4 ms; overdueFactor times the mean of late counts if that is more. The first
	// call is still waited for: on a full link answers come late, and what a worker has
	// answered must not be dropped. With calls given up after that time, on hosts with
	// links of 2 Mbit/s, tasks were started again whose end their worker had listed.
	minOverdueAfter = 250 * time.Millisecond
	overdueFactor   = 6
	// latencyWeight is that of one answer in the mean.
	latencyWeight = 0.03
)

// sentStart is an order to start a run.
type sentStart struct {
	task *task
	run  mothferry.RunNumber
	at   time.Time
}

// losses is what came lately of looks at workers that are alive.
type losses struct {
	answered, lost mfdecay.Sum
	// latency is the mean time until an order was answered.
	latency time.Duration
}

// observeLatency takes in how long the answer to an order took.
func (l *losses) observeLatency(took time.Duration) {
	l.latency += time.Duration(latencyWeight * float64(took-l.latency))
}

// overdueAfter is after how long an answer is overdue.
func (l *losses) overdueAfter() time.Duration { return max(minOverdueAfter, overdueFactor*l.latency) }

// lossy reports whether looks are being lost.
func (l *losses) lossy(now time.Time) bool {
	answered, lost := l.answered.Value(lossDecayTime, now), l.lost.Value(lossDecayTime, now)
	return lost >= minLostPolls && lost > lossyShare*(answered+lost)
}

// countAnswer takes in that a worker has answered a look. A worker that did not
// answer before is alive, so that what it did not answer was lost.
func (s *State) countAnswer(w *worker, sent, now time.Time) {
	s.losses.answered.Add(1, lossDecayTime, now)
	if w.unresponsive {
		s.losses.lost.Add(1, lossDecayTime, now)
	}
	if sent.After(w.answeredPollSent) {
		w.answeredPollSent = sent
	}
}

// pollLost reports whether a look without answer says nothing of its worker, which has
// answered one that was sent later.
func (s *State) pollLost(w *worker, sent, now time.Time) bool {
	if sent.IsZero() || sent.After(w.answeredPollSent) {
		return false
	}
	s.losses.lost.Add(1, lossDecayTime, now)
	return true
}

// mayPoll reports whether a look may be sent though others are under way. Those that are
// overdue do not count, up to a bound. While looks are lost there are two at a busy
// worker, as one of two is answered nearly always.
func (w *worker) mayPoll(lossy bool, overdue time.Duration, now time.Time) bool {
	if len(w.openPolls) == 0 {
		return true
	}
	if w.unresponsive || !w.fenced || len(w.openPolls) >= maxOpenPolls {
		return false
	}
	most := 1
	if lossy && w.hasFiniteTasks() {
		most, overdue = 2, secondPollDelay
	}
	fresh := 0
	for _, l := range w.openPolls {
		if now.Sub(l.sent) < l.wait+overdue {
			fresh++
		}
	}
	return fresh < most && now.Sub(w.pollSent) >= secondPollDelay
}

// hasFiniteTasks reports whether a task runs on the worker that ends by itself.
func (w *worker) hasFiniteTasks() bool {
	for _, t := range w.tasks {
		if !t.step.spec.Lasting {
			return true
		}
	}
	return false
}

// resendOverdueStarts orders runs again whose orders are overdue.
func (s *State) resendOverdueStarts(now time.Time) {
	overdue := s.losses.overdueAfter()
	due := 0
	for due < len(s.pendingStarts) && now.Sub(s.pendingStarts[due].at) >= overdue {
		due++
	}
	old := s.pendingStarts[:due]
	s.pendingStarts = s.pendingStarts[due:]
	for _, r := range old {
		if r.task.phase == phaseSent && r.task.run == r.run && r.task.lastStartSent.Equal(r.at) {
			s.resendStart(r.task, now)
		}
	}
}

// resendStart orders a run again whose order has no answer, under the same number and on
// the same worker: one that has begun it answers as if it had just done so, and of two
// orders that are carried out late the second does nothing. To stop the run and begin
// another one instead costs its job two round trips more, and the work that was done if
// only the answer was lost.
func (s *State) resendStart(t *task, now time.Time) {
	w := t.worker
	if !t.job.account.stillAdmits(t.step.spec.Need) {
		return
	}
	if t.startsSent >= maxStartSends || !w.listed || w.unresponsive || w.Draining || s.toEvacuate[w.at.Worker] || t.job.state.Final() {
		return
	}
	s.sendStart(t, now)
}

// resentStartRefused takes in that a run was refused that had been ordered before. The
// earlier order may have been carried out, may be later, and its end may not be seen
// yet: the run is stopped, and a look after that tells.
func (s *State) resentStartRefused(t *task, why mothferry.OrderRefusal, now time.Time) {
	if t.phase != phaseSent {
		return
	}
	t.phase = phaseUnresolved
	s.resendStop(t, now)
	s.emit(Decision{Message: "start was refused after one without answer", Job: t.job.id, Worker: t.worker.at.Worker, Fields: map[string]any{
		"step": t.name.Step, "index": t.name.Index, "run": t.run, "refusal": why, "sends": t.startsSent,
	}})
}
