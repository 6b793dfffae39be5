package mfstory

import (
	"fmt"
	"strings"

	"mothferry"
)

// Messages that a story is told from.
const (
	messageRefused     = "job is refused, it would be of no use"
	messageSubmitted   = "job is handed in"
	messageFinished    = "job is over"
	messagePlaced      = "tasks are placed"
	messageSlow        = "worker is slow"
	messageNotSlow     = "worker is no longer slow"
	messageStraggler   = "task is behind, starts elsewhere"
	messageCopyStarted = "copy of a task is started"
	messageCopyStopped = "copy is stopped"
	messageForwarded   = "call is passed on to a peer"
)

// Explain says in words what a job's story, in the order of time, tells of refusals,
// slow workers, copies and calls passed on. It is empty for a job that had none.
func Explain(job mothferry.JobID, story []Line) []string {
	t := explainer{slowWorkers: map[string]Line{}, copies: map[string]Line{}}
	for i, l := range story {
		t.addEvent(job, l, story[i+1:])
	}
	if len(t.lines) == 0 {
		return nil
	}
	return append(t.lines, t.outcome)
}

// explainer goes through a story.
type explainer struct {
	lines []string
	// slowWorkers has the last line on each worker that counts as slow.
	slowWorkers map[string]Line
	// copies are those started, by run and place of their task.
	copies   map[string]Line
	refusals int
	outcome  string
}

func (t *explainer) addLine(l Line, format string, arguments ...any) {
	t.lines = append(t.lines, l.formattedTime()+" "+fmt.Sprintf(format, arguments...))
}

func (t *explainer) addEvent(job mothferry.JobID, l Line, rest []Line) {
	worker := l.fieldText("worker")
	switch l.Message {
	case messageSlow:
		t.slowWorkers[worker] = l
		return
	case messageNotSlow:
		delete(t.slowWorkers, worker)
		return
	}
	if l.Fields["job"] != string(job) {
		return
	}
	if t.outcome == "" {
		t.outcome = "No line tells how the job ended."
	}
	switch l.Message {
	case messageRefused:
		t.addRefusal(l)
	case messageSubmitted:
		t.addSubmission(l)
	case messageForwarded:
		t.addForward(l)
	case messageStraggler:
		t.addLine(l, "Task %s (run %s) was behind on worker %s, %s. It was stopped there%s and starts again%s.",
			describeTask(l), l.fieldText("run"), worker, t.describeSpeed(worker), describeEstimates(l), describeRestart(l, rest))
	case messageCopyStarted:
		t.copies[l.fieldText("run")+" of "+describeTask(l)] = l
		t.addLine(l, "A copy of task %s was started on worker %s as run %s, beside %s.", describeTask(l), worker, l.fieldText("run"), t.describeOriginal(l))
	case messageCopyStopped:
		t.addCopyStopped(l)
	case messageFinished:
		t.outcome = fmt.Sprintf("%s The job is over: %s, %s after it was accepted.", l.formattedTime(), l.fieldText("state"), formatMilliseconds(l, "age_ms"))
	}
}

// addRefusal tells of one refusal: whose, why, and what its caller was told.
func (t *explainer) addRefusal(l Line) {
	t.refusals++
	t.addLine(l, "Refused at %s (refusal %d in these logs): a job of account %s in queue %s.", l.fieldText("daemon"), t.refusals, l.fieldText("account"), l.fieldText("queue"))
	t.lines = append(t.lines,
		"    Why: "+describeRefusal(l)+".",
		fmt.Sprintf("    Its work would have waited %s, and its steps take %s; its objective is %s. Owner %s had told so %s before.",
			formatMilliseconds(l, "wait_ms"), formatMilliseconds(l, "chain_ms"), formatMilliseconds(l, "aim_ms"), l.fieldText("owner"), formatMilliseconds(l, "wait_age_ms")),
		fmt.Sprintf("    Its caller was told that it has not run, and to come back after %s.", formatMilliseconds(l, "again_ms")))
	t.outcome = "No line tells that it was accepted after its last refusal."
}

// describeRefusal returns what a refusal's reason means.
func describeRefusal(l Line) string {
	switch l.fieldText("reason") {
	case "limit":
		return "limit: the account has as much running as its limit lets it have, and as much waiting as can be in time under that"
	case "share":
		share := ""
		if v, ok := l.fieldNumber("share_cores"); ok {
			share = fmt.Sprintf(" of %.1f cores", v)
		}
		return "share: the account's own work fills its due share" + share + " for longer than the job may wait; others' work is served within theirs"
	case "queue":
		return "queue: the queue as a whole can't serve it in time, whichever account it is of"
	case "?":
		return "the line has no reason; it is of a version that judged by the queue's wait alone"
	default:
		return l.fieldText("reason")
	}
}

func (t *explainer) addSubmission(l Line) {
	if t.refusals == 0 {
		return
	}
	if l.fieldText("outcome") == "done" {
		t.addLine(l, "Handed in again at %s and accepted.", l.fieldText("daemon"))
		t.outcome = "No line tells how the job ended."
		return
	}
	t.addLine(l, "Handed in again at %s: outcome %s.", l.fieldText("daemon"), l.fieldText("outcome"))
}

func (t *explainer) addForward(l Line) {
	outcome := l.fieldText("outcome")
	if outcome == "no_peer" || outcome == "limit" {
		t.addLine(l, "%s could not pass the call (%s) on: %s.", l.fieldText("daemon"), l.fieldText("kind"), describeForward(outcome))
		return
	}
	t.addLine(l, "%s passed the call (%s) on to its peer %s, which took %s: %s.",
		l.fieldText("daemon"), l.fieldText("kind"), l.fieldText("peer"), formatMilliseconds(l, "took_ms"), describeForward(outcome))
}

// addCopyStopped tells which of two runs of a task was stopped, and whose end counts.
func (t *explainer) addCopyStopped(l Line) {
	var of string
	for name := range t.copies {
		run, task, _ := strings.Cut(name, " of ")
		if run == l.fieldText("run") && t.copies[name].fieldText("worker") == l.fieldText("worker") {
			of = task
		}
	}
	if of != "" {
		t.addLine(l, "The copy of task %s (run %s) on worker %s was stopped: %s. Its end doesn't count: that of the run beside it does.", of, l.fieldText("run"), l.fieldText("worker"), l.fieldText("why"))
		return
	}
	t.addLine(l, "Run %s on worker %s was stopped beside a copy: %s. Its end doesn't count: the copy's does.", l.fieldText("run"), l.fieldText("worker"), l.fieldText("why"))
}

// describeSpeed says how a worker compares, as last logged.
func (t *explainer) describeSpeed(worker string) string {
	l, found := t.slowWorkers[worker]
	if !found {
		return "which does not count as slow in these logs"
	}
	if l.Fields["hanging"] == true {
		return fmt.Sprintf("which counts as slow since %s, as its tasks stood still", l.formattedTime())
	}
	return fmt.Sprintf("which counts as slow since %s, at %s of the usual speed", l.formattedTime(), l.fieldText("speed"))
}

// describeEstimates says what the owner compared, if the line has it.
func describeEstimates(l Line) string {
	if _, found := l.fieldNumber("here_ms"); !found {
		return ""
	}
	return fmt.Sprintf(", where the rest would have taken %s against %s elsewhere,", formatMilliseconds(l, "here_ms"), formatMilliseconds(l, "there_ms"))
}

// describeOriginal names the run that a copy was started beside, and its worker's speed.
func (t *explainer) describeOriginal(l Line) string {
	beside := l.fieldText("beside")
	if _, found := t.slowWorkers[beside]; found {
		return beside + ", " + t.describeSpeed(beside)
	}
	return beside
}

// describeRestart names where the owner placed tasks of the same step next.
func describeRestart(behind Line, rest []Line) string {
	for _, l := range rest {
		if l.Message == messagePlaced && l.Fields["job"] == behind.Fields["job"] && l.fieldText("step") == behind.fieldText("step") {
			return fmt.Sprintf(" (next placed at %s, on %s)", l.formattedTime(), strings.Join(workersOf(l), ", "))
		}
	}
	return "; no line tells where"
}

// describeTask names a task by its step and index.
func describeTask(l Line) string {
	return "step " + l.fieldText("step") + " index " + l.fieldText("index")
}

// describeForward returns what the outcome of a call that was to be passed on means.
func describeForward(outcome string) string {
	switch outcome {
	case "done":
		return "done, the peer carried it out and its answer was the caller's"
	case "not_run":
		return "not_run, the peer refused and stored nothing"
	case "unknown":
		return "unknown, the peer may have stored it: look for the job in the peer's and the owner's lines"
	case "no_job":
		return "no_job, the peer's store has no such job"
	case "taken":
		return "taken, the id is another account's job"
	case "no_peer":
		return "no_peer, no peer that the store serves took it, and no peer did anything"
	case "limit":
		return "limit, too many calls were being passed on, and no peer was asked"
	default:
		return outcome
	}
}

func formatMilliseconds(l Line, field string) string { return l.fieldText(field) + " ms" }
