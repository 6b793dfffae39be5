package mfjob

import (
	"encoding/json"
	"slices"
	"strconv"

	"github.com/gravitational/trace"

	"mothferry"
)

// Versions of the stored forms. Rows of a newer version are refused, so that an
// older program never drops what it does not know.
const (
	// submissionAccountVersion is that of a job of a client account. Without one it is written in
	// the first version, which older programs read.
	submissionAccountVersion = 2
	submissionPlainVersion   = 1
	// progressCopyVersion is that of progress in which a task has a copy, or still runs under a lower
	// number than its copy had; progressVersion that of a job of a client account, progressCrashVersion
	// that of progress with crashes. With none it is written in the first version, which older programs read.
	progressCopyVersion    = 4
	progressAccountVersion = 3
	progressCrashVersion   = 2
	progressPlainVersion   = 1
)

// ErrNewerFormat reports a stored record that a newer program wrote.
type ErrNewerFormat struct {
	Version int
	// Known is the newest version that this program reads.
	Known int
}

// Error implements error.
func (e *ErrNewerFormat) Error() string {
	return "stored record has format " + strconv.Itoa(e.Version) + ", this program reads up to " + strconv.Itoa(e.Known)
}

type storedSubmission struct {
	Format int `json:"format"`
	Submission
}

// EncodeSubmission returns the stored form of a submission.
func EncodeSubmission(s Submission) ([]byte, error) {
	stored := storedSubmission{Format: submissionPlainVersion, Submission: s}
	if s.Account != "" {
		stored.Format = submissionAccountVersion
	}
	data, err := json.Marshal(stored)
	return data, trace.Wrap(err)
}

// DecodeSubmission reads the stored form of a submission.
func DecodeSubmission(data []byte) (Submission, error) {
	var s storedSubmission
	if err := json.Unmarshal(data, &s); err != nil {
		return Submission{}, trace.Wrap(err)
	}
	if s.Format > submissionAccountVersion {
		return Submission{}, &ErrNewerFormat{Version: s.Format, Known: submissionAccountVersion}
	}
	return s.Submission, nil
}

// TaskProgress is what must last of one task.
type TaskProgress struct {
	Done bool
	// Run is the highest number given to a start of the task.
	Run mothferry.RunNumber
	// Failures counts the runs that ended failed.
	Failures int
	// Worker is the life of a worker that may run it now; empty for none.
	Worker     mothferry.WorkerID
	Checkpoint mothferry.Checkpoint
	Crashes    Crashes
	// Current is the number of the run at Worker, zero if that is Run. Copy is the number of a
	// second run beside it, and CopyWorker the life that may run it; empty for none.
	Current, Copy mothferry.RunNumber
	CopyWorker    mothferry.WorkerID
}

// Crashes counts the workers that ended while a run of a task was, or may have been, there.
type Crashes struct {
	// Known counts those that are known to have crashed, Early those of them that did so
	// soon after the run began.
	Known, Early int
	// Unseen counts those that nobody has heard of since, or that were leaving: they may
	// have crashed.
	Unseen int
}

func (t TaskProgress) hasCrashes() bool { return t.Crashes != Crashes{} }

func (t TaskProgress) hasCopy() bool { return t.CopyWorker != "" || t.Current != 0 }

// StepProgress is what must last of one step.
type StepProgress struct {
	Done  bool
	Tasks []TaskProgress
}

// Progress is what must last of a job besides its submission.
type Progress struct {
	State State
	// Account is that of the job, by which it is told who may look the job up.
	Account mothferry.AccountID
	// Occurrences holds the steps of each occurrence; empty for a job that is over.
	Occurrences [][]StepProgress
	// AfterSegment is the number of the newest segment of the shard's log when this was written; zero
	// for what is in the log itself. Older programs read by it which of the two is newer.
	AfterSegment uint64
}

type storedProgress struct {
	Format int   `json:"format"`
	State  State `json:"state"`
	// Account is empty for a job of none.
	Account mothferry.AccountID `json:"account,omitempty"`
	Steps   [][]storedStep      `json:"steps,omitempty"`
	After   uint64              `json:"after,omitempty"`
}

type storedStep struct {
	Done  bool              `json:"done,omitempty"`
	Tasks []json.RawMessage `json:"tasks,omitempty"`
}

// EncodeProgress returns the stored form of a job's progress. An owner encodes up to
// 4,000 a second: each job is stored anew with each of its tasks that starts or ends.
func EncodeProgress(p Progress) []byte {
	b := append([]byte(`{"format":`), strconv.Itoa(p.version())...)
	b = append(b, `,"state":`...)
	b = AppendText(b, string(p.State))
	if p.Account != "" {
		b = append(b, `,"account":`...)
		b = AppendText(b, string(p.Account))
	}
	if len(p.Occurrences) > 0 && !p.State.Final() {
		b = append(b, `,"steps":`...)
		b = appendList(b, p.Occurrences, func(b []byte, o []StepProgress) []byte { return appendList(b, o, appendStep) })
	}
	if p.AfterSegment > 0 {
		b = append(b, `,"after":`...)
		b = strconv.AppendUint(b, p.AfterSegment, 10)
	}
	return append(b, '}')
}

// version is the first one that holds all that there is.
func (p Progress) version() int {
	if p.anyTask(TaskProgress.hasCopy) {
		return progressCopyVersion
	}
	if p.Account != "" {
		return progressAccountVersion
	}
	if p.anyTask(TaskProgress.hasCrashes) {
		return progressCrashVersion
	}
	return progressPlainVersion
}

// anyTask reports whether what is stored of some task has a property.
func (p Progress) anyTask(property func(TaskProgress) bool) bool {
	if p.State.Final() {
		return false
	}
	for _, o := range p.Occurrences {
		for _, s := range o {
			if slices.ContainsFunc(s.Tasks, property) {
				return true
			}
		}
	}
	return false
}

// appendList appends a JSON array.
func appendList[T any](b []byte, items []T, item func(b []byte, of T) []byte) []byte {
	b = append(b, '[')
	for i := range items {
		if i > 0 {
			b = append(b, ',')
		}
		b = item(b, items[i])
	}
	return append(b, ']')
}

func appendStep(b []byte, s StepProgress) []byte {
	switch {
	case s.Done:
		return append(b, `{"done":true}`...)
	case len(s.Tasks) == 0:
		return append(b, `{}`...)
	}
	b = append(b, `{"tasks":`...)
	b = appendList(b, s.Tasks, appendTask)
	return append(b, '}')
}

func appendTask(b []byte, t TaskProgress) []byte {
	done := 0
	if t.Done {
		done = 1
	}
	b = append(b, '[')
	b = strconv.AppendInt(b, int64(done), 10)
	if t.Run != 0 {
		b = append(b, ',')
		b = strconv.AppendInt(b, int64(t.Run), 10)
		b = append(b, ',')
		b = strconv.AppendInt(b, int64(t.Failures), 10)
	}
	// Fields at the end are left out as long as all after them are empty.
	crashes := t.hasCrashes() || t.hasCopy()
	checkpoint := t.Checkpoint != "" || crashes
	if t.Run != 0 && (t.Worker != "" || checkpoint) {
		b = append(b, ',')
		b = AppendText(b, string(t.Worker))
		if checkpoint {
			b = append(b, ',')
			b = AppendText(b, string(t.Checkpoint))
		}
	}
	if t.Run != 0 && crashes {
		for _, count := range [...]int{t.Crashes.Known, t.Crashes.Early, t.Crashes.Unseen} {
			b = append(b, ',')
			b = strconv.AppendInt(b, int64(count), 10)
		}
	}
	if t.Run != 0 && t.hasCopy() {
		for _, run := range [...]mothferry.RunNumber{t.Current, t.Copy} {
			b = append(b, ',')
			b = strconv.AppendInt(b, int64(run), 10)
		}
		b = append(b, ',')
		b = AppendText(b, string(t.CopyWorker))
	}
	return append(b, ']')
}

// AppendText appends a JSON string. Ids are plain text, which stands for itself.
func AppendText(b []byte, s string) []byte {
	for i := range len(s) {
		if s[i] < ' ' || s[i] > '~' || s[i] == '"' || s[i] == '\\' {
			return appendEscaped(b, s)
		}
	}
	b = append(b, '"')
	b = append(b, s...)
	return append(b, '"')
}

func appendEscaped(b []byte, s string) []byte {
	text, err := json.Marshal(s)
	if err != nil {
		// A string always has a JSON form; an empty text stands in for the impossible.
		return append(b, `""`...)
	}
	return append(b, text...)
}

// DecodeProgress reads the stored form of a job's progress.
func DecodeProgress(data []byte) (Progress, error) {
	var stored storedProgress
	if err := json.Unmarshal(data, &stored); err != nil {
		return Progress{}, trace.Wrap(err)
	}
	if stored.Format > progressCopyVersion {
		return Progress{}, &ErrNewerFormat{Version: stored.Format, Known: progressCopyVersion}
	}
	p := Progress{State: stored.State, Account: stored.Account, AfterSegment: stored.After}
	for _, o := range stored.Steps {
		var steps []StepProgress
		for _, s := range o {
			step, err := decodeStep(s)
			if err != nil {
				return Progress{}, err
			}
			steps = append(steps, step)
		}
		p.Occurrences = append(p.Occurrences, steps)
	}
	return p, nil
}

func decodeStep(s storedStep) (StepProgress, error) {
	out := StepProgress{Done: s.Done}
	for _, raw := range s.Tasks {
		t, err := decodeTask(raw)
		if err != nil {
			return StepProgress{}, err
		}
		out.Tasks = append(out.Tasks, t)
	}
	return out, nil
}

func decodeTask(raw json.RawMessage) (TaskProgress, error) {
	var t TaskProgress
	var done int
	fields := []any{&done, &t.Run, &t.Failures, &t.Worker, &t.Checkpoint, &t.Crashes.Known, &t.Crashes.Early, &t.Crashes.Unseen, &t.Current, &t.Copy, &t.CopyWorker}
	if err := json.Unmarshal(raw, &fields); err != nil {
		return t, trace.Wrap(err)
	}
	t.Done = done == 1
	return t, nil
}
