package mfsched

import (
	"time"

	"mothferry"
	"mothferry/mfdecay"
)

// Lost calls. When a twentieth of all calls to workers gets no answer, and some of those
// calls are carried out seconds later, a lost poll leaves its worker unobserved until the
// time-out. A busy worker is polled several times a second, so that a quarter to two fifths of
// a pool get no new work at any moment. A lost start delays its whole job, and half of all
// jobs with a dozen tasks have one. It shows as usable workers that are far fewer than those
// listed while none of them has ended.

const (
	// lossDecayTime is the decay time of the counts of answered and lost polls.
	lossDecayTime = 3 * time.Second
	// lossyShare is the fraction of lost polls above which two polls are in flight to a
	// worker, minLostPolls how many must be lost: single polls are lost whenever a worker or a
	// connection ends.
	lossyShare   = 0.01
	minLostPolls = 2.0
	// secondPollDelay is how long after one poll the second one is sent, so that both do not
	// return for the same end.
	secondPollDelay = 50 * time.Millisecond
	// lossyPollWait is how long a poll of a busy worker waits for an end while polls are lost:
	// a lost one is overdue secondPollDelay later.
	lossyPollWait = 100 * time.Millisecond
	// maxOpenPolls bounds the polls in flight to a worker.
	maxOpenPolls = 8
	// maxStartSends is how often the start of one run is sent before the run is stopped
	// instead.
	maxStartSends = 3
	// minOverdueAfter is the shortest time after which the answer to an order or a poll is
	// overdue; it usually takes 4 ms. overdueFactor times the mean latency counts if that is
	// longer. The first call is still waited for: on a saturated link answers come late, and
	// what a worker has answered must not be dropped. With calls abandoned after that time, on
	// hosts with links of 2 Mbit/s, tasks were restarted whose end their worker had listed.
	minOverdueAfter = 250 * time.Millisecond
	overdueFactor   = 6
	// latencyWeight is the weight of one answer in the mean latency.
	latencyWeight = 0.03
)

// sentStart is a start order that was sent.
type sentStart struct {
	task *task
	run  mothferry.RunNumber
	at   time.Time
}

// losses counts recent polls of workers that are alive, answered and lost.
type losses struct {
	answered, lost mfdecay.Sum
	// latency is the mean time until an order was answered.
	latency time.Duration
}

// observeLatency records how long the answer to an order took.
func (l *losses) observeLatency(took time.Duration) {
	l.latency += time.Duration(latencyWeight * float64(took-l.latency))
}

// overdueAfter returns the time after which an answer is overdue.
func (l *losses) overdueAfter() time.Duration { return max(minOverdueAfter, overdueFactor*l.latency) }

// lossy reports whether polls are being lost.
func (l *losses) lossy(now time.Time) bool {
	answered, lost := l.answered.Value(lossDecayTime, now), l.lost.Value(lossDecayTime, now)
	return lost >= minLostPolls && lost > lossyShare*(answered+lost)
}

// countAnswer records that a worker has answered a poll. A worker that did not answer before
// is alive, so that the poll without an answer was lost.
func (s *State) countAnswer(w *worker, sent, now time.Time) {
	s.losses.answered.Add(1, lossDecayTime, now)
	if w.unresponsive {
		s.losses.lost.Add(1, lossDecayTime, now)
	}
	if sent.After(w.answeredPollSent) {
		w.answeredPollSent = sent
	}
}

// pollLost reports whether a poll without an answer says nothing about its worker, which has
// answered one that was sent later. It counts such a poll as lost.
func (s *State) pollLost(w *worker, sent, now time.Time) bool {
	if sent.IsZero() || sent.After(w.answeredPollSent) {
		return false
	}
	s.losses.lost.Add(1, lossDecayTime, now)
	return true
}

// mayPoll reports whether a poll may be sent though others are in flight. Those that are
// overdue do not count, up to maxOpenPolls. While polls are lost a busy worker has two, as one
// of two is answered nearly always.
func (w *worker) mayPoll(lossy bool, overdue time.Duration, now time.Time) bool {
	if len(w.openPolls) == 0 {
		return true
	}
	if w.unresponsive || !w.fenced || len(w.openPolls) >= maxOpenPolls {
		return false
	}
	maxFresh := 1
	if lossy && w.hasFiniteTasks() {
		maxFresh, overdue = 2, secondPollDelay
	}
	fresh := 0
	for _, p := range w.openPolls {
		if now.Sub(p.sent) < p.wait+overdue {
			fresh++
		}
	}
	return fresh < maxFresh && now.Sub(w.pollSent) >= secondPollDelay
}

// hasFiniteTasks reports whether the worker has a task that ends by itself.
func (w *worker) hasFiniteTasks() bool {
	for _, t := range w.tasks {
		if !t.step.spec.Lasting {
			return true
		}
	}
	return false
}

// resendOverdueStarts sends the starts again whose answers are overdue.
func (s *State) resendOverdueStarts(now time.Time) {
	overdue := s.losses.overdueAfter()
	count := 0
	for count < len(s.pendingStarts) && now.Sub(s.pendingStarts[count].at) >= overdue {
		count++
	}
	overdueStarts := s.pendingStarts[:count]
	s.pendingStarts = s.pendingStarts[count:]
	for _, r := range overdueStarts {
		if r.task.phase == phaseSent && r.task.run == r.run && r.task.lastStartSent.Equal(r.at) {
			s.resendStart(r.task, now)
		}
	}
}

// resendStart sends a start again that has no answer, with the same run number and to the same
// worker: a worker that has started the run answers as if it had just done so, and of two
// orders that are carried out late the second does nothing. To stop the run and start another
// one instead costs its job two round trips more, and the work done so far if only the answer
// was lost.
func (s *State) resendStart(t *task, now time.Time) {
	w := t.worker
	if s.awaitsFormerRun(t) || !t.job.account.stillAdmits(t.step.spec.Need) {
		return
	}
	if t.startsSent >= maxStartSends || !w.listed || w.unresponsive || w.Draining || s.toEvacuate[w.at.Worker] || t.job.state.Final() {
		return
	}
	s.sendStart(t, now)
}

// doubtfulRefusal handles the refusal of a run that had been ordered before, was reported, or is
// said to have ended or to be stopped already. An order may have been carried out, or may be
// later, and the run's end may not be seen yet: the run is stopped unless it was reported, and a
// later poll shows what became of it.
func (s *State) doubtfulRefusal(t *task, why mothferry.OrderRefusal, now time.Time) {
	if t.phase != phaseSent {
		return
	}
	t.phase = phaseUnresolved
	s.resendStop(t, now)
	s.emit(Decision{Message: "start was refused after one without answer", Job: t.job.id, Worker: t.worker.at.Worker, Fields: map[string]any{
		"step": t.name.Step, "index": t.name.Index, "run": t.run, "refusal": why, "sends": t.startsSent,
	}})
}
