package mfowner

import (
	"fmt"
	"time"

	"github.com/apex/log"

	"mothferry/mfsched"
)

// activityInterval is how often the owner logs a summary of its activity and of the load of
// its shard. One line per second replaces counting thousands of lines.
const activityInterval = time.Second

// activity counts what the owner did since the last summary.
type activity struct {
	since            time.Time
	commits          int
	rows             int
	maxCommitLatency time.Duration
	rounds           int
	// maxQueue is the largest number of events that waited for the loop, maxQueueWait the longest
	// time that one of them did.
	maxQueue     int
	maxQueueWait time.Duration
	// stages holds the durations of the stages of tasks.
	stages map[mfsched.TaskStage]*stageTimes
	// cpuBefore is the processor time that the process had used by then.
	cpuBefore processorTimes
	// omittedBefore is how many checkpoints had been left out of rows by then.
	omittedBefore int
}

func (a *activity) committed(took time.Duration) {
	a.commits++
	a.maxCommitLatency = max(a.maxCommitLatency, took)
}

func (a *activity) queued(length int, wait time.Duration) {
	a.maxQueue, a.maxQueueWait = max(a.maxQueue, length), max(a.maxQueueWait, wait)
}

// started returns the number of tasks that were started.
func (a *activity) started() int {
	if t := a.stages[mfsched.TaskPlanned]; t != nil {
		return t.count
	}
	return 0
}

// taskStageEnded records how long a stage of a task took.
func (s *session) taskStageEnded(stage mfsched.TaskStage, took time.Duration) {
	if s.owner.OnTaskStage != nil {
		s.owner.OnTaskStage(stage, took)
	}
	if s.activity.stages == nil {
		s.activity.stages = map[mfsched.TaskStage]*stageTimes{}
	}
	t := s.activity.stages[stage]
	if t == nil {
		t = &stageTimes{}
		s.activity.stages[stage] = t
	}
	t.count++
	t.sum += took
}

// addLoopFields adds where the loop's time, the processor's and that of tasks went.
func (s *session) addLoopFields(fields log.Fields, cpu processorTimes) {
	a := &s.activity
	fields["queue"], fields["queue_wait_ms"] = a.maxQueue, a.maxQueueWait.Milliseconds()
	fields["cpu_ms"], fields["gc_cpu_ms"], fields["gc"] = (cpu.process - a.cpuBefore.process).Milliseconds(), (cpu.collector - a.cpuBefore.collector).Milliseconds(), cpu.cycles-a.cpuBefore.cycles
	effort := s.state.TakeEffort()
	fields["candidates"], fields["workers_compared"] = effort.Candidates, effort.Workers
	for stage, t := range a.stages {
		fields["task_"+string(stage)] = fmt.Sprintf("%d of %d ms", t.count, t.mean().Milliseconds())
	}
}

// logActivity logs the summary when it is due, unless there are no live jobs.
func (s *session) logActivity(now time.Time) {
	a := &s.activity
	if a.since.IsZero() {
		a.since, a.cpuBefore = now, readProcessorTimes()
	}
	a.rounds++
	if now.Sub(a.since) < activityInterval {
		return
	}
	if s.owner.OnSlowWorkers != nil {
		s.owner.OnSlowWorkers(s.state.SlowWorkers())
	}
	cpu := readProcessorTimes()
	spent := s.times.take()
	if s.owner.OnLoopTime != nil {
		s.owner.OnLoopTime(spent, a.maxQueueWait)
	}
	s.startCapacity.update(spent[PartIdle], now.Sub(a.since), a.started())
	g := s.state.Gauge(now)
	if s.owner.OnGauge != nil {
		s.owner.OnGauge(g)
	}
	if g.Live > 0 {
		fields := log.Fields{
			"epoch": s.state.Epoch, "ms": now.Sub(a.since).Milliseconds(), "commits": a.commits, "rows": a.rows,
			"longest_commit_ms": a.maxCommitLatency.Milliseconds(), "rounds": a.rounds, "jobs": g.Live, "unstored": g.Dirty,
		}
		if omitted := s.journal.Omitted - a.omittedBefore; omitted > 0 {
			fields["checkpoints_omitted"] = omitted
		}
		for part, took := range spent {
			fields["loop_"+string(part)+"_ms"] = took.Milliseconds()
		}
		if a := g.Advice; a.Waiting+a.Unanswered > 0 {
			fields["advice"] = fmt.Sprintf("waiting %d unanswered %d wait %d ms", a.Waiting, a.Unanswered, a.Wait.Milliseconds())
		}
		if g.RowFull > 0 {
			fields["row_full"] = g.RowFull
		}
		s.addLoopFields(fields, cpu)
		for service, p := range g.Pools {
			fields[string(service)] = fmt.Sprintf("workers %d usable %d cores %.2f memory %.2f waiting %d running %d", p.Listed, p.Usable, p.Cores, p.Memory, p.Waiting, p.Running)
		}
		s.owner.Log.WithFields(fields).Info("shard activity")
	}
	*a = activity{since: now, omittedBefore: s.journal.Omitted, cpuBefore: cpu}
}
