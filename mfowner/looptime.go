package mfowner

import (
	"runtime/metrics"
	"time"

	"mothferry"
	"mothferry/mfsched"
	"mothferry/mfusage"
)

// LoopPart is a part of the work of the owner's loop.
type LoopPart string

// Parts of the loop, besides the stages of a tick.
const (
	// PartIdle is the time in which the loop waits, and other goroutines may run.
	PartIdle     LoopPart = "idle"
	PartAnswers  LoopPart = "answers"
	PartReports  LoopPart = "reports"
	PartJobs     LoopPart = "jobs"
	PartMachines LoopPart = "machines"
	PartEncoding LoopPart = "encoding"
	PartOther    LoopPart = "other"
)

// loopTimes divides the time of the loop among its parts. The loop is in one part at any time.
type loopTimes struct {
	clock mothferry.Clock
	part  LoopPart
	since time.Time
	spent map[LoopPart]time.Duration
}

func newLoopTimes(clock mothferry.Clock) loopTimes {
	return loopTimes{clock: clock, part: PartIdle, since: clock.Now(), spent: map[LoopPart]time.Duration{}}
}

// enter begins a part and returns the one that it ends.
func (l *loopTimes) enter(part LoopPart) LoopPart {
	now := l.clock.Now()
	l.spent[l.part] += now.Sub(l.since)
	ended := l.part
	l.part, l.since = part, now
	return ended
}

// take returns the times since it was last called.
func (l *loopTimes) take() map[LoopPart]time.Duration {
	l.enter(l.part)
	spent := l.spent
	l.spent = make(map[LoopPart]time.Duration, len(spent))
	return spent
}

// partOf returns the part in which an event is handled. A tick begins with its first stage.
func partOf(e mfsched.Event) LoopPart {
	switch e.(type) {
	case mfsched.PollAnswered, mfsched.PollFailed:
		return PartReports
	case mfsched.StartAnswered, mfsched.StopAnswered, mfsched.AdviceAnswered:
		return PartAnswers
	case mfsched.JobFound, mfsched.JobFinished, mfsched.CancelRequested:
		return PartJobs
	case mfsched.IncarnationEnded, mfsched.WorkersToEvacuate, mfsched.FleetCapacityReported:
		return PartMachines
	default:
		return PartOther
	}
}

const (
	// minIdleFraction is the idle fraction of the loop's time below which it is saturated.
	minIdleFraction = 0.1
	// minSaturated is the number of summaries in a row that must find the loop saturated: reading
	// the jobs of a previous owner takes it for a moment, too.
	minSaturated = 2
)

// startCapacity is how many tasks a second the loop can start. The zero value is a loop that keeps
// up.
type startCapacity struct {
	saturated int
	// rate is zero while the loop keeps up.
	rate float64
}

// update applies the loop's idle time and the tasks that it started since the last summary.
func (c *startCapacity) update(idle, elapsed time.Duration, started int) {
	if elapsed <= 0 || idle.Seconds() >= minIdleFraction*elapsed.Seconds() {
		*c = startCapacity{}
		return
	}
	if c.saturated++; c.saturated >= minSaturated {
		c.rate = max(1, float64(started)/elapsed.Seconds())
	}
}

// queuedEvent is an event that waits for the loop.
type queuedEvent struct {
	mfsched.Event
	at time.Time
}

// stageTimes sums up the durations of one stage of tasks.
type stageTimes struct {
	count int
	sum   time.Duration
}

func (t *stageTimes) mean() time.Duration { return t.sum / time.Duration(max(1, t.count)) }

// processorTimes is what the process has used so far.
type processorTimes struct {
	// process is the processor time of all, collector the part of garbage collection, as far as it
	// is known, and cycles the number of its cycles.
	process, collector time.Duration
	cycles             uint64
}

func readProcessorTimes() processorTimes {
	var t processorTimes
	// Without a reading the field is zero, as mfusage logs at the start.
	t.process, _ = mfusage.ProcessorTime()
	samples := []metrics.Sample{{Name: "/cpu/classes/gc/total:cpu-seconds"}, {Name: "/gc/cycles/total:gc-cycles"}}
	metrics.Read(samples)
	if samples[0].Value.Kind() == metrics.KindFloat64 {
		t.collector = time.Duration(samples[0].Value.Float64() * float64(time.Second))
	}
	if samples[1].Value.Kind() == metrics.KindUint64 {
		t.cycles = samples[1].Value.Uint64()
	}
	return t
}
