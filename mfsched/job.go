package mfsched

import (
	"iter"
	"slices"
	"time"

	"mothferry"
	"mothferry/mfjob"
	"mothferry/mfspeed"
)

func (s *State) jobFound(e JobFound, now time.Time) {
	if known, ok := s.jobs[e.Job]; ok {
		s.resubmitted(known, e.Submission, now)
		return
	}
	if e.Progress != nil && e.Progress.State.Final() {
		s.jobFinished(JobFinished{Job: e.Job, State: e.Progress.State, Submission: e.Submission}, now)
		return
	}
	j := &job{id: e.Job, submission: e.Submission, state: mfjob.StateQueued, account: s.accountOf(e.Submission.Account)}
	j.flow = s.flowOf(s.queueOf(j).Service, e.Submission.Account)
	s.jobs[e.Job] = j
	s.live[e.Job] = j
	if err := e.Submission.CheckSteps(); err != nil {
		s.emit(Decision{Message: "stored job can't be laid out", Job: j.id, Fields: map[string]any{"error": err.Error()}})
		j.rowStored = e.Progress != nil
		s.finishJob(j, mfjob.StateFailed, now)
		return
	}
	j.criticalPath, j.lasts = e.Submission.CriticalPath(), e.Submission.Lasts()
	if e.Progress == nil && s.loaded {
		// With fair shares an account's jobs keep their order of arrival: later jobs within
		// the rate would otherwise delay earlier ones that hosts have admitted as on time.
		if j.overRate = !s.sharesEnabled() && !j.withinRate(now); j.overRate {
			s.emit(Decision{Message: "job is beyond its account's rate", Job: j.id, Fields: map[string]any{
				"account": e.Submission.Account, "rate": j.account.Weight, "queue": e.Submission.Queue,
			}})
		}
		s.recordArrival(j, now)
		if s.OnTaskStage != nil && !j.lasts {
			s.OnTaskStage(JobArriving, now.Sub(j.submission.Accepted))
		}
	}
	if e.Progress != nil {
		j.state, j.rowStored = e.Progress.State, true
		s.restore(j, *e.Progress, now)
	}
	s.upcoming[j.id] = j
	s.beginDue(j, now)
	if s.cancelledEarly[e.Job] || s.earlyCancels.covers(j) {
		delete(s.cancelledEarly, e.Job)
		s.cancel(e.Job, now)
	}
}

// tasks iterates over the tasks of all occurrences and steps, in order.
func (j *job) tasks() iter.Seq[*task] {
	return func(yield func(*task) bool) {
		for _, o := range j.occurrences {
			for _, p := range o.steps {
				for _, t := range p.tasks {
					if !yield(t) {
						return
					}
				}
			}
		}
	}
}

func newOccurrence(j *job, number int, now time.Time) *occurrence {
	o := &occurrence{number: number, scheduledAt: j.submission.ScheduledAt(number)}
	for i := range j.submission.Steps {
		spec := &j.submission.Steps[i]
		p := &step{name: StepName{Job: j.id, Occurrence: number, Step: i}, spec: spec, remaining: spec.Count, waiting: spec.Count}
		for x := range spec.Count {
			name := mothferry.TaskName{Job: j.id, Occurrence: number, Step: i, Index: x}
			p.tasks = append(p.tasks, &task{name: name, job: j, step: p, unavailableSince: now, pace: fullPace})
		}
		o.steps = append(o.steps, p)
	}
	return o
}

// restore sets a job to the progress that a previous owner stored. Runs that may be on a
// worker stay unresolved until that worker is fenced and polled.
func (s *State) restore(j *job, p mfjob.Progress, now time.Time) {
	j.begun = min(begunOccurrences(p), j.submission.Occurrences())
	j.started = j.begun > len(p.Occurrences)
	for k, steps := range p.Occurrences {
		if p.Number(k) >= j.begun {
			break
		}
		o := newOccurrence(j, p.Number(k), now)
		j.occurrences = append(j.occurrences, o)
		for i, stored := range steps[:min(len(steps), len(o.steps))] {
			s.restoreStep(o.steps[i], stored, now)
		}
	}
	j.dropDoneOccurrences()
}

// begunOccurrences returns how many occurrences have begun. Older programs listed all occurrences of
// a job, also those that had not.
func begunOccurrences(p mfjob.Progress) int {
	begun := p.Begun()
	for p.Open == nil && begun > 0 && untouched(p.Occurrences[begun-1]) {
		begun--
	}
	return begun
}

func untouched(steps []mfjob.StepProgress) bool {
	return !slices.ContainsFunc(steps, func(p mfjob.StepProgress) bool {
		return p.Done || slices.ContainsFunc(p.Tasks, func(t mfjob.TaskProgress) bool { return t != mfjob.TaskProgress{} })
	})
}

func (s *State) restoreStep(st *step, p mfjob.StepProgress, now time.Time) {
	for x, t := range st.tasks {
		switch {
		case p.Done:
			t.job.started = true
			s.finishTask(t, now)
		case x < len(p.Tasks):
			s.restoreTask(t, p.Tasks[x], now)
		}
	}
}

func (s *State) restoreTask(t *task, p mfjob.TaskProgress, now time.Time) {
	t.run, t.failures, t.checkpoint = p.Run, p.Failures, p.Checkpoint
	t.crashes = p.Crashes
	if p.Run > 0 {
		t.job.started = true
	}
	if p.Done {
		s.finishTask(t, now)
		return
	}
	if p.Worker == "" {
		// A previous owner may have started the task just before the takeover.
		s.delayRestart(t, now)
		return
	}
	s.assign(t, s.workerOrPlaceholder(p.Worker), phaseUnresolved)
	t.confirmedAt, t.inheritedAt = now, now
	if p.Current > 0 {
		t.run, t.highestOtherRun = p.Current, p.Run
	}
	if p.CopyWorker != "" {
		s.restoreCopy(t, p, now)
	}
}

// finishTask marks a task as done and releases its worker and that of its copy.
func (s *State) finishTask(t *task, now time.Time) {
	if t.phase == phaseDone {
		return
	}
	if t.copyTask != nil {
		s.release(t.copyTask, now)
	}
	s.release(t, now)
	t.step.waiting--
	t.phase = phaseDone
	t.step.remaining--
}

// assign binds a task to a worker and reserves the capacity that it needs.
func (s *State) assign(t *task, w *worker, p phase) {
	if t.phase == phaseWaiting {
		t.step.waiting--
	}
	t.worker, t.phase, t.reservedOn, t.checkpointAhead = w, p, nil, false
	w.tasks.add(t)
	w.used = w.used.Add(t.step.spec.Reservation())
	t.job.account.addUsage(t.step.spec.Need)
	t.job.flow.used = t.job.flow.used.Add(t.step.spec.Need)
}

// release frees a task's capacity on its worker. The task waits again, unless it is a copy or
// its own copy takes its place.
func (s *State) release(t *task, now time.Time) {
	if t.worker == nil {
		return
	}
	t.worker.recordLateStart(t, now)
	s.startCalls.add(t)
	t.worker.tasks.remove(t)
	t.worker.used = t.worker.used.Sub(t.step.spec.Reservation())
	t.job.account.removeUsage(t.step.spec.Need)
	t.job.flow.used = t.job.flow.used.Sub(t.step.spec.Need)
	if t.copyOf != nil {
		t.worker, t.phase = nil, phaseDone
		t.copyOf.copyTask = nil
		return
	}
	t.worker, t.phase = nil, phaseWaiting
	t.step.waiting++
	t.percent, t.tailLatency, t.stopAnsweredAt, t.stopSentAt, t.confirmedAt = 0, 0, time.Time{}, time.Time{}, time.Time{}
	t.pace, t.inheritedAt, t.startsSent = fullPace, time.Time{}, 0
	t.startsPending, t.startsAnswered, t.lastStartSent, t.startAnsweredAt = 0, 0, time.Time{}, time.Time{}
	t.relay, t.startResult, t.startResultAt = "", "", time.Time{}
	t.track = mfspeed.Track{}
	if t.copyTask != nil {
		s.promoteCopy(t)
	}
}

func (s *State) markDirty(j *job) {
	if !j.dirty {
		j.dirty = true
		s.dirty = append(s.dirty, j)
	}
}

// cancel ends a job at its caller's request and stops all its runs.
func (s *State) cancel(id mothferry.JobID, now time.Time) {
	j, ok := s.jobs[id]
	if !ok {
		s.cancelledEarly[id] = true
		return
	}
	if j.state.Final() {
		return
	}
	s.finishJob(j, mfjob.StateCancelled, now)
}

// finishJob gives a job its final state and stops its remaining runs.
func (s *State) finishJob(j *job, state mfjob.State, now time.Time) {
	j.state, j.finishedAt = state, now
	s.markDirty(j)
	delete(s.live, j.id)
	delete(s.upcoming, j.id)
	s.finishedJobs = append(s.finishedJobs, j)
	for t := range j.tasks() {
		if t.copyTask != nil {
			s.stop(t.copyTask, now)
		}
		if t.assigned() {
			s.stop(t, now)
		}
	}
	end := s.endOf(j)
	s.emit(JobEnd{Queue: j.submission.Queue, Account: j.submission.Account, End: end})
	s.emit(Decision{Message: "job is over", Job: j.id, Fields: map[string]any{
		"state": state, "queue": j.submission.Queue, "account": j.submission.Account, "end": end, "age_ms": now.Sub(j.submission.Accepted).Milliseconds(),
	}})
}

// endOf classifies how a job ended by its queue's objective. For a job with occurrences the
// last one counts.
func (s *State) endOf(j *job) End {
	switch j.state {
	case mfjob.StateFailed:
		return EndFailed
	case mfjob.StateCancelled:
		return EndCancelled
	}
	start := j.submission.Accepted
	if last := j.submission.ScheduledAt(j.submission.Occurrences() - 1); !last.IsZero() {
		start = last
	}
	q := s.queueOf(j)
	objective := mfjob.Objective(q.Stretch, q.Latency, j.criticalPath)
	switch duration := j.finishedAt.Sub(start); {
	case duration <= objective:
		return EndInTime
	case duration <= mfjob.TooLateFactor*objective:
		return EndLate
	default:
		return EndTooLate
	}
}

// stop orders a task's worker to end its run. The run counts as present until its end is
// known.
func (s *State) stop(t *task, now time.Time) {
	if t.phase == phasePlanned {
		// The start order was never sent and never will be.
		s.release(t, now)
		s.markDirty(t.job)
		return
	}
	t.phase = phaseStopping
	t.stopSentAt = now
	s.emit(Stop{At: t.worker.at, Task: t.name, Run: t.run})
}

// progressOf returns the progress of a job that has to be stored.
func progressOf(j *job) mfjob.Progress {
	p := mfjob.Progress{State: j.state, Account: j.submission.Account}
	if j.state.Final() {
		return p
	}
	if j.submission.LongSchedule() {
		p.Open = &mfjob.OpenOccurrences{Begun: j.begun}
		for _, o := range j.occurrences {
			p.Occurrences = append(p.Occurrences, progressOfOccurrence(o))
			p.Open.Numbers = append(p.Open.Numbers, o.number)
		}
		return p
	}
	for number := range j.begun {
		if o := j.occurrence(number); o != nil {
			p.Occurrences = append(p.Occurrences, progressOfOccurrence(o))
			continue
		}
		p.Occurrences = append(p.Occurrences, doneOccurrence(j))
	}
	return p
}

func progressOfOccurrence(o *occurrence) []mfjob.StepProgress {
	steps := make([]mfjob.StepProgress, 0, len(o.steps))
	for _, st := range o.steps {
		steps = append(steps, progressOfStep(st))
	}
	return steps
}

func doneOccurrence(j *job) []mfjob.StepProgress {
	steps := make([]mfjob.StepProgress, len(j.submission.Steps))
	for i := range steps {
		steps[i].Done = true
	}
	return steps
}

func progressOfStep(st *step) mfjob.StepProgress {
	if st.remaining == 0 {
		return mfjob.StepProgress{Done: true}
	}
	out := mfjob.StepProgress{Tasks: make([]mfjob.TaskProgress, 0, len(st.tasks))}
	for _, t := range st.tasks {
		stored := t.progress()
		if !stored.Done {
			stored.Checkpoint = t.checkpoint
		}
		out.Tasks = append(out.Tasks, stored)
	}
	return out
}

// progress returns the progress of a task that has to be stored, without its checkpoint.
func (t *task) progress() mfjob.TaskProgress {
	stored := mfjob.TaskProgress{
		Done: t.phase == phaseDone, Run: t.highestRun(), Failures: t.failures, Crashes: t.crashes.Stored(),
	}
	if t.step.spec.Lasting {
		stored.Failures = min(stored.Failures, mfjob.MaxStoredFailures)
	}
	if t.worker != nil {
		stored.Worker = t.worker.at.Worker
	}
	if t.worker != nil && t.run != t.highestRun() {
		stored.Current = t.run
	}
	if t.copyTask != nil {
		stored.Copy, stored.CopyWorker = t.copyTask.run, t.copyTask.worker.at.Worker
	}
	return stored
}
