package mfemulate

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"mothferry"
	"mothferry/mfsched"
)

// tracedDecision is a decision of an owner and when it was made.
type tracedDecision struct {
	at    time.Time
	epoch mothferry.Epoch
	mfsched.Decision
}

// maxTrace bounds the decisions that are kept to explain a violation, traceTime their age.
const (
	maxTrace  = 4000
	traceTime = 12 * time.Second
)

func (w *World) trace(epoch mothferry.Epoch, d mfsched.Decision) {
	if w.Late.enabled() {
		w.decisions = append(w.decisions, tracedDecision{w.now, epoch, d})
		if len(w.decisions) > 2*maxTrace {
			w.decisions = slices.Clone(w.decisions[maxTrace:])
		}
	}
}

// describeRun returns which owner ordered a run, by which way and when.
func (w *World) describeRun(r *run, on *worker) string {
	return fmt.Sprintf("run %d on %s of epoch %d via %s, decided %v, sent %v, carried out %v", r.number, on.listing.At.Worker,
		r.origin.epoch, r.origin.via, r.origin.decided.Sub(StartTime), r.origin.sent.Sub(StartTime), r.startedAt.Sub(StartTime))
}

// doneRun is the run that completed a task.
type doneRun struct {
	on          *worker
	description string
}

// recordDone records the run that completes a task.
func (w *World) recordDone(o *worker, name mothferry.TaskName, r *run) {
	if !w.Late.enabled() {
		return
	}
	if w.doneRuns == nil {
		w.doneRuns = map[mothferry.TaskName]doneRun{}
	}
	w.doneRuns[name] = doneRun{o, fmt.Sprintf("%s, done %v", w.describeRun(r, o), w.Now())}
}

// recordTwice records that a task starts on a worker though it has another run, or had one that
// completed it.
func (w *World) recordTwice(order mothferry.StartOrder, on *worker, other string, otherWorker *worker) {
	if w.Late.enabled() {
		second := w.describeRun(&run{number: order.Run, origin: w.origin, startedAt: w.now}, on)
		w.Twice = append(w.Twice, fmt.Sprintf("task %v: %s; %s\n%s", order.Task, other, second, w.explain(order.Task, otherWorker, on)))
	}
}

// explain returns the late decisions on a task's job and its workers.
func (w *World) explain(name mothferry.TaskName, workers ...*worker) string {
	var lines []string
	for _, d := range w.decisions {
		concerned := d.Job == name.Job || slices.ContainsFunc(workers, func(k *worker) bool { return d.Job == "" && d.Worker == k.listing.At.Worker })
		if concerned && w.now.Sub(d.at) < traceTime {
			lines = append(lines, fmt.Sprintf("  %v epoch %d: %s worker=%s %v", d.at.Sub(StartTime), d.epoch, d.Message, d.Worker, d.Fields))
		}
	}
	return strings.Join(lines, "\n")
}
