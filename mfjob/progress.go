package mfjob

import (
	"encoding/json"
	"slices"
	"strconv"

	"github.com/gravitational/trace"

	"mothferry"
)

// Versions of the stored formats. Rows of a newer version are refused, so that an
// older program never drops fields that it does not know.
const (
	// submissionScheduleVersion is the version for jobs with a long schedule, which older
	// programs would lay out in full, submissionAccountVersion the one for jobs of a client
	// account. Other jobs are written in the first version, which older programs read.
	submissionScheduleVersion = 3
	submissionAccountVersion  = 2
	submissionPlainVersion    = 1
	// progressScheduleVersion is the version for progress that lists only the open occurrences.
	// progressCopyVersion is the version for progress in which a task has a speculative copy,
	// or still runs under a lower number than its copy had; progressAccountVersion the one for
	// jobs of a client account, progressCrashVersion the one for progress with crashes. Other
	// progress is written in the first version, which older programs read.
	progressScheduleVersion = 5
	progressCopyVersion     = 4
	progressAccountVersion  = 3
	progressCrashVersion    = 2
	progressPlainVersion    = 1
)

// ErrNewerFormat reports a stored record that a newer program wrote.
type ErrNewerFormat struct {
	Version int
	// Known is the newest version that this program reads.
	Known int
}

// Error implements error.
func (e *ErrNewerFormat) Error() string {
	return "decode stored record: format " + strconv.Itoa(e.Version) + " is newer than supported format " + strconv.Itoa(e.Known)
}

// ErrMismatchedNumbers reports stored progress that does not number each of its occurrences.
type ErrMismatchedNumbers struct{ Numbers, Occurrences int }

// Error implements error.
func (e *ErrMismatchedNumbers) Error() string {
	return "decode stored progress: " + strconv.Itoa(e.Numbers) + " numbers for " + strconv.Itoa(e.Occurrences) + " occurrences"
}

type storedSubmission struct {
	Format int `json:"format"`
	Submission
}

// EncodeSubmission returns the stored format of a submission.
func EncodeSubmission(s Submission) ([]byte, error) {
	stored := storedSubmission{Format: submissionPlainVersion, Submission: s}
	switch {
	case s.LongSchedule():
		stored.Format = submissionScheduleVersion
	case s.Account != "":
		stored.Format = submissionAccountVersion
	}
	data, err := json.Marshal(stored)
	return data, trace.Wrap(err)
}

// DecodeSubmission decodes the stored format of a submission.
func DecodeSubmission(data []byte) (Submission, error) {
	var s storedSubmission
	if err := json.Unmarshal(data, &s); err != nil {
		return Submission{}, trace.Wrap(err)
	}
	if s.Format > submissionScheduleVersion {
		return Submission{}, &ErrNewerFormat{Version: s.Format, Known: submissionScheduleVersion}
	}
	s.bound()
	return s.Submission, nil
}

// bound reduces needs and estimates beyond the limits, which older programs accepted. Such tasks
// still fit no machine.
func (s *Submission) bound() {
	for i := range s.Steps {
		t := &s.Steps[i]
		t.Need.Cores = min(t.Need.Cores, MaxNeed.Cores)
		t.Need.Memory = min(t.Need.Memory, MaxNeed.Memory)
		t.Need.Accelerators = min(t.Need.Accelerators, MaxNeed.Accelerators)
		t.Estimate = min(t.Estimate, MaxEstimate)
	}
}

// TaskProgress is the persistent state of one task.
type TaskProgress struct {
	Done bool
	// Run is the highest number given to a start of the task.
	Run mothferry.RunNumber
	// Failures counts the runs that ended failed.
	Failures int
	// Worker is the incarnation of a worker that may run the task now; empty for none.
	Worker     mothferry.WorkerID
	Checkpoint mothferry.Checkpoint
	Crashes    Crashes
	// Current is the number of the run at Worker, zero if that is Run. Copy is the number of a
	// speculative copy of it, and CopyWorker the incarnation that may run the copy; empty for
	// none.
	Current, Copy mothferry.RunNumber
	CopyWorker    mothferry.WorkerID
}

// Crashes counts the worker incarnations that ended while they ran, or may have run, a task.
type Crashes struct {
	// Known counts those that are known to have crashed, Early those of them that did so
	// soon after the run started.
	Known, Early int
	// Unseen counts those that have not been heard from since, or that were draining or being
	// evacuated: they may have crashed.
	Unseen int
}

// Stored returns the counts as they are stored. All limits are far below the largest ones.
func (c Crashes) Stored() Crashes {
	return Crashes{Known: min(c.Known, MaxStoredCrashes), Early: min(c.Early, MaxStoredCrashes), Unseen: min(c.Unseen, MaxStoredCrashes)}
}

func (t TaskProgress) hasCrashes() bool { return t.Crashes != Crashes{} }

func (t TaskProgress) hasCopy() bool { return t.CopyWorker != "" || t.Current != 0 }

// StepProgress is the persistent state of one step.
type StepProgress struct {
	Done  bool
	Tasks []TaskProgress
}

// Progress is the persistent state of a job besides its submission.
type Progress struct {
	State State
	// Account is the job's account, which decides who may look the job up.
	Account mothferry.AccountID
	// Occurrences holds the steps of occurrences; empty for a finished job. If Open is nil, they
	// are those from number 0 on.
	Occurrences [][]StepProgress
	// Open lists the open occurrences of a long schedule; nil for other jobs.
	Open *OpenOccurrences
	// AfterSegment is the number of the newest segment of the shard's log when this was
	// written; zero for progress in the log itself. Older programs decide by it which of the
	// two is newer.
	AfterSegment uint64
}

// OpenOccurrences tells which occurrences have begun and are not done.
type OpenOccurrences struct {
	// Begun is how many occurrences have begun.
	Begun int `json:"begun"`
	// Numbers holds the numbers of Progress.Occurrences, in ascending order. The others below
	// Begun are done.
	Numbers []int `json:"numbers"`
}

// Number returns the number of the occurrence at an index of Occurrences.
func (p Progress) Number(index int) int {
	if p.Open == nil {
		return index
	}
	return p.Open.Numbers[index]
}

// Begun returns how many occurrences have begun.
func (p Progress) Begun() int {
	if p.Open == nil {
		return len(p.Occurrences)
	}
	return p.Open.Begun
}

type storedProgress struct {
	Format int   `json:"format"`
	State  State `json:"state"`
	// Account is empty for a job without an account.
	Account mothferry.AccountID `json:"account,omitempty"`
	Steps   [][]storedStep      `json:"steps,omitempty"`
	Open    *OpenOccurrences    `json:"open,omitempty"`
	After   uint64              `json:"after,omitempty"`
}

type storedStep struct {
	Done  bool              `json:"done,omitempty"`
	Tasks []json.RawMessage `json:"tasks,omitempty"`
}

// EncodeProgress returns the stored format of a job's progress. An owner encodes up to
// 4,000 a second: a job is stored again whenever one of its tasks starts or ends.
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
	if p.Open != nil && !p.State.Final() {
		b = append(b, `,"open":{"begun":`...)
		b = strconv.AppendInt(b, int64(p.Open.Begun), 10)
		b = append(b, `,"numbers":`...)
		b = appendList(b, p.Open.Numbers, func(b []byte, number int) []byte { return strconv.AppendInt(b, int64(number), 10) })
		b = append(b, '}')
	}
	if p.AfterSegment > 0 {
		b = append(b, `,"after":`...)
		b = strconv.AppendUint(b, p.AfterSegment, 10)
	}
	return append(b, '}')
}

// version returns the lowest version that can represent the progress.
func (p Progress) version() int {
	if p.Open != nil && !p.State.Final() {
		return progressScheduleVersion
	}
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

// anyTask reports whether a task whose progress is stored has a property.
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
	// Empty fields at the end are left out.
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

// AppendText appends a JSON string. Ids are plain ASCII, which needs no escapes.
func AppendText(b []byte, s string) []byte {
	for i := range len(s) {
		if !plain(s[i]) {
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
		// Marshalling a string never fails; the empty string keeps the output valid.
		return append(b, `""`...)
	}
	return append(b, text...)
}

// DecodeProgress decodes the stored format of a job's progress.
func DecodeProgress(data []byte) (Progress, error) {
	var stored storedProgress
	if err := json.Unmarshal(data, &stored); err != nil {
		return Progress{}, trace.Wrap(err)
	}
	if stored.Format > progressScheduleVersion {
		return Progress{}, &ErrNewerFormat{Version: stored.Format, Known: progressScheduleVersion}
	}
	if stored.Open != nil && len(stored.Open.Numbers) != len(stored.Steps) {
		return Progress{}, &ErrMismatchedNumbers{Numbers: len(stored.Open.Numbers), Occurrences: len(stored.Steps)}
	}
	p := Progress{State: stored.State, Account: stored.Account, AfterSegment: stored.After, Open: stored.Open}
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
