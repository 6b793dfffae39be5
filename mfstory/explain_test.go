package mfstory

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// logLine returns a log line at a second; fields are written as JSON's inside.
func logLine(second int, daemon, message, fields string) string {
	at := time.Date(2026, 1, 1, 0, 0, second, 0, time.UTC).Format(time.RFC3339)
	text, err := json.Marshal(message)
	if err != nil {
		panic(err)
	}
	return `{"fields":{"daemon":"` + daemon + `",` + fields + `},"level":"info","timestamp":"` + at + `","message":` + string(text) + "}\n"
}

func explained(t *testing.T, logs ...string) string {
	t.Helper()
	lines, err := Decode(strings.NewReader(strings.Join(logs, "")))
	assert.NilError(t, err)
	return strings.Join(Explain("j-1", JobLines("j-1", lines)), "\n")
}

func assertContains(t *testing.T, text string, wants ...string) {
	t.Helper()
	for _, want := range wants {
		assert.Check(t, strings.Contains(text, want), "%q is not in:\n%s", want, text)
	}
}

// An operator sees that a job was refused, but not for whose work or until when.
func TestRefusalIsExplained(t *testing.T) {
	refused := `"job":"j-1","queue":"quotes","account":"a-7","reason":"share","wait_ms":4177,"wait_age_ms":165,"chain_ms":538,"aim_ms":1460,"share_cores":12.5,"again_ms":3465,"owner":"host-c"`
	text := explained(t,
		logLine(1, "host-a", messageRefused, refused),
		logLine(2, "host-b", messageRefused, strings.ReplaceAll(refused, `"share",`, `"limit",`)))
	assertContains(t, text, "00:00:01.000 Refused at host-a (refusal 1", "account a-7 in queue quotes", "due share of 12.5 cores",
		"waited 4177 ms", "steps take 538 ms", "objective is 1460 ms", "host-c had told so 165 ms before", "has not run, and to come back after 3465 ms",
		"refusal 2", "as much running as its limit", "No line tells that it was accepted")
	text = explained(t,
		logLine(1, "host-a", messageRefused, strings.ReplaceAll(refused, `"share",`, `"queue",`)),
		logLine(5, "host-b", messageSubmitted, `"job":"j-1","account":"a-7","outcome":"done"`),
		logLine(6, "host-c", messageFinished, `"job":"j-1","state":"completed","age_ms":1234567`))
	assertContains(t, text, "the queue as a whole", "Handed in again at host-b and accepted", "The job is over: completed, 1234567 ms")
}

// Lines of a daemon of an earlier version lack the account and the reason.
func TestRefusalWithoutReasonIsExplained(t *testing.T) {
	text := explained(t, logLine(1, "host-a", messageRefused, `"job":"j-1","queue":"quotes","wait_ms":4177`))
	assertContains(t, text, "account ?", "has no reason", "come back after ? ms")
}

// A job is late by a worker that was found slow before the job came.
func TestStragglerRestartIsExplained(t *testing.T) {
	text := explained(t,
		logLine(1, "host-c", messageSlow, `"worker":"w-9","service":"s","speed":0.2`),
		logLine(1, "host-c", messageSlow, `"worker":"w-8","service":"s","speed":0.3`),
		logLine(2, "host-c", messageNotSlow, `"worker":"w-8","service":"s","speed":0.9`),
		logLine(3, "host-c", messagePlaced, `"job":"j-1","step":0,"workers":["w-9","w-8"]`),
		logLine(4, "host-c", messageStraggler, `"job":"j-1","worker":"w-9","step":0,"index":3,"run":1`),
		logLine(4, "host-c", messageStraggler, `"job":"j-1","worker":"w-8","step":0,"index":4,"run":1,"here_ms":4000,"there_ms":900`),
		logLine(5, "host-c", messagePlaced, `"job":"j-1","step":1,"workers":["w-4"]`),
		logLine(6, "host-c", messagePlaced, `"job":"j-1","step":0,"workers":["w-5"]`),
		logLine(8, "host-c", messageFinished, `"job":"j-1","state":"completed","age_ms":5000`))
	assertContains(t, text, "Task step 0 index 3 (run 1) was behind on worker w-9, which counts as slow since 00:00:01.000, at 0.2 of the usual speed",
		"next placed at 00:00:06.000, on w-5", "worker w-8, which does not count as slow in these logs. It was stopped there, where the rest would have taken 4000 ms against 900 ms elsewhere, and starts again", "The job is over: completed")
}

// Of two runs of one task an operator can't tell which one's end counted.
func TestCopyIsExplained(t *testing.T) {
	started := []string{
		logLine(1, "host-c", messagePlaced, `"job":"j-1","step":0,"workers":["w-1"]`),
		logLine(2, "host-c", messageSlow, `"worker":"w-1","service":"s","speed":0.25`),
		logLine(3, "host-c", messageCopyStarted, `"job":"j-1","worker":"w-2","step":0,"index":3,"run":2,"beside":"w-1"`),
	}
	text := explained(t, append(started, logLine(4, "host-c", messageCopyStopped, `"job":"j-1","worker":"w-1","run":1,"why":"the other run has ended"`))...)
	assertContains(t, text, "A copy of task step 0 index 3 was started on worker w-2 as run 2, beside w-1, which counts as slow since 00:00:02.000, at 0.25",
		"Run 1 on worker w-1 was stopped beside a copy: the other run has ended. Its end doesn't count: the copy's does", "No line tells how the job ended")
	started[1] = logLine(2, "host-c", messageSlow, `"worker":"w-1","service":"s","speed":1,"hanging":true`)
	text = explained(t, append(started, logLine(4, "host-c", messageCopyStopped, `"job":"j-1","worker":"w-2","run":2,"why":"the other run has ended"`))...)
	assertContains(t, text, "The copy of task step 0 index 3 (run 2) on worker w-2 was stopped", "that of the run beside it does", "as its tasks stood still")
}

// A call that a peer took has its lines at a host that its caller never asked.
func TestForwardedCallIsExplained(t *testing.T) {
	text := explained(t,
		logLine(1, "host-a", messageForwarded, `"job":"j-1","peer":"host-b","kind":"accept","outcome":"unknown","took_ms":400`),
		logLine(2, "host-a", messageForwarded, `"job":"j-1","peer":"","kind":"state","outcome":"no_peer","took_ms":0`),
		logLine(3, "host-a", messageForwarded, `"job":"j-1","peer":"host-b","kind":"cancel","outcome":"moon","took_ms":1`))
	assertContains(t, text, "host-a passed the call (accept) on to its peer host-b, which took 400 ms: unknown, the peer may have stored it",
		"host-a could not pass the call (state) on: no_peer, no peer that the store serves took it, and no peer did anything", "(cancel)", "moon")
}

func TestOrdinaryJobHasNoExplanation(t *testing.T) {
	text := explained(t,
		logLine(1, "host-a", messageSubmitted, `"job":"j-1","outcome":"done"`),
		logLine(2, "host-c", messageRefused, `"job":"j-2","account":"a"`),
		logLine(3, "host-c", messageFinished, `"job":"j-1","state":"completed","age_ms":5`))
	assert.Equal(t, text, "")
}

// A long story from many daemons is told in the order of the files.
func TestExplanationIsOrderedByTime(t *testing.T) {
	text := explained(t,
		logLine(9, "host-c", messageFinished, `"job":"j-1","state":"failed","age_ms":5`),
		logLine(2, "host-b", messageForwarded, `"job":"j-1","peer":"host-c","kind":"accept","outcome":"done","took_ms":4`),
		logLine(1, "host-a", messageRefused, `"job":"j-1","account":"a","reason":"limit"`))
	assert.Assert(t, strings.Index(text, "Refused") < strings.Index(text, "passed the call"), text)
	assert.Assert(t, strings.HasSuffix(text, "The job is over: failed, 5 ms after it was accepted."), text)
}

func FuzzDecode(f *testing.F) {
	f.Add(logLine(1, "host-a", messageCopyStarted, `"job":"j-1","worker":["w"],"run":{"x":1},"workers":[1,null]`))
	f.Add(logLine(1, "host-a", messageCopyStopped, `"job":"j-1","worker":null,"why":7`))
	f.Fuzz(func(_ *testing.T, text string) {
		lines, err := Decode(strings.NewReader(text))
		if err != nil {
			return
		}
		Explain("j-1", JobLines("j-1", lines))
	})
}
