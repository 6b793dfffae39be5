// Package mfjob defines jobs as records: what a caller submitted, the job's
// progress, and the form in which both are stored.
package mfjob

import (
	"fmt"
	"time"

	"mothferry"
)

// State is the state of a job as reported to its caller.
type State string

// States of a job. The last three are final.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Final reports whether a job in this state is finished.
func (s State) Final() bool {
	return s == StateCompleted || s == StateFailed || s == StateCancelled
}

// Step is one step of a job: Count identical tasks.
type Step struct {
	Count int                 `json:"count"`
	Need  mothferry.Resources `json:"need"`
	// Estimate is roughly how long a task takes.
	Estimate time.Duration `json:"estimate,omitempty"`
	// After lists the earlier steps that must be done before this one.
	After []int `json:"after,omitempty"`
	// Checkpoint is set if the tasks save their progress.
	Checkpoint bool `json:"checkpoint,omitempty"`
	// Gang is set if the tasks work only while all of them run.
	Gang bool `json:"gang,omitempty"`
	// SameRack is set if a gang is slower when spread over several racks.
	SameRack bool `json:"same_rack,omitempty"`
	// Label is a label that the worker must have; empty for any worker.
	Label string `json:"label,omitempty"`
	// Rack is the rack that holds the tasks' data; tasks are slower elsewhere.
	Rack mothferry.RackID `json:"rack,omitempty"`
	// PerWorker bounds the number of the step's tasks on one worker; 0 for no bound.
	PerWorker int `json:"per_worker,omitempty"`
	// Speculative is set if copies of a task may run at the same time.
	Speculative bool `json:"speculative,omitempty"`
	// Lasting tasks run until the job is cancelled and are always restarted.
	Lasting bool `json:"lasting,omitempty"`
	// Image names the program of the tasks; tasks of one image behave alike.
	Image string `json:"image,omitempty"`
	// TailTarget bounds the tail latency of a serving task; 0 if the task does not serve.
	TailTarget time.Duration `json:"tail_target,omitempty"`
	// Fills is set if the tasks use only processor time that others leave idle.
	Fills bool `json:"fills,omitempty"`
	// MayMiss is how many tasks our orders may make unavailable at the same time; 0 for no bound.
	MayMiss int `json:"may_miss,omitempty"`
}

// Reservation returns what each task of the step reserves of a worker's capacity. Tasks that
// fill reserve no cores, as they use only processor time that others leave idle.
func (t *Step) Reservation() mothferry.Resources {
	need := t.Need
	if t.Fills {
		need.Cores = 0
	}
	return need
}

// QueueTerms are the terms on which a queue accepted a job. They apply while the config in force
// has no such queue: it was removed, or this owner does not know it yet.
type QueueTerms struct {
	// Host and Prefix select the requests that belong to the queue.
	Host   string `json:"host,omitempty"`
	Prefix string `json:"prefix,omitempty"`
	// Priority 0 comes first.
	Priority int `json:"priority,omitempty"`
	// MaxAttempts is how many runs of a task may fail before its job fails.
	MaxAttempts int `json:"attempts"`
	// A job should be completed within Stretch times its critical path plus Latency.
	Stretch float64       `json:"stretch"`
	Latency time.Duration `json:"latency,omitempty"`
	// Advised reports whether the adviser decides which workers may run a step.
	Advised bool `json:"advised,omitempty"`
}

// Submission is a job as it was submitted and accepted.
type Submission struct {
	Queue mothferry.QueueID `json:"queue"`
	// Account is the client account that submitted the job; empty for none.
	Account mothferry.AccountID `json:"account,omitempty"`
	// Service is the service of the queue at the time the job was accepted.
	Service mothferry.ServiceID `json:"service"`
	// Terms are those of the queue at that time; nil for jobs that an older program accepted.
	Terms *QueueTerms `json:"terms,omitempty"`
	Spec  string      `json:"spec"`
	Steps []Step      `json:"steps"`
	// Repeat is how many times the steps run; 0 for once, immediately.
	Repeat int `json:"repeat,omitempty"`
	// First is when the first occurrence is due.
	First time.Time `json:"first,omitzero"`
	// Interval is the time between occurrences.
	Interval time.Duration `json:"interval,omitempty"`
	// Accepted is the wall-clock time at which an entry host accepted the job.
	Accepted time.Time `json:"accepted"`
}

// Occurrences returns how many times the steps run.
func (s Submission) Occurrences() int { return max(1, s.Repeat) }

// Limits of a submission. MaxTasks bounds the tasks of one occurrence: it keeps a job's progress, at
// some 40 bytes a task, within one row of 64 KiB.
const (
	MaxSpecBytes = 4000
	MaxSteps     = 64
	MaxTasks     = 1000
	// MaxEstimate keeps sums over a job's steps from overflowing a duration.
	MaxEstimate = 365 * 24 * time.Hour
	MaxInterval = 100 * MaxEstimate
	// minFirstYear and maxFirstYear bound the first time by what its stored form holds.
	minFirstYear, maxFirstYear = 0, 9999
)

// MaxNeed is the largest need of a task. It is beyond any machine, and keeps sums over the tasks of
// a job from overflowing.
var MaxNeed = mothferry.Resources{Cores: 1 << 40, Memory: 1 << 50, Accelerators: 1 << 40}

// ErrInvalid reports an invalid submission.
type ErrInvalid struct {
	Field  string
	Detail string
}

// Error implements error.
func (e *ErrInvalid) Error() string { return fmt.Sprintf("job refused: %s %s", e.Field, e.Detail) }

// Check returns an ErrInvalid for the first invalid field of a submission.
func (s Submission) Check() error {
	switch {
	case len(s.Spec) > MaxSpecBytes:
		return &ErrInvalid{"spec", fmt.Sprintf("is longer than %d bytes", MaxSpecBytes)}
	case s.Repeat < 0 || s.Repeat > 1 && s.Interval < 0:
		return &ErrInvalid{"repetition", "is negative"}
	case s.Repeat > 1 && s.Interval > MaxInterval:
		return &ErrInvalid{"interval", "is longer than a hundred years"}
	case s.First.Year() < minFirstYear || s.First.Year() > maxFirstYear:
		return &ErrInvalid{"first time", fmt.Sprintf("is outside the years %d to %d", minFirstYear, maxFirstYear)}
	}
	if err := s.CheckSteps(); err != nil {
		return err
	}
	for i, t := range s.Steps {
		if err := t.check(i); err != nil {
			return err
		}
	}
	return nil
}

// CheckSteps returns an ErrInvalid if the steps can't be laid out: the number of tasks is out of
// bounds, or a step depends on one that is not before it.
func (s Submission) CheckSteps() error {
	switch {
	case len(s.Steps) == 0:
		return &ErrInvalid{"steps", "are missing"}
	case len(s.Steps) > MaxSteps:
		return &ErrInvalid{"steps", fmt.Sprintf("are more than %d", MaxSteps)}
	}
	for i, t := range s.Steps {
		field := fmt.Sprintf("step %d", i)
		if t.Count <= 0 || t.Count > MaxTasks {
			return &ErrInvalid{field, "has an invalid count of tasks"}
		}
		for _, a := range t.After {
			if a < 0 || a >= i {
				return &ErrInvalid{field, "depends on a step that is not before it"}
			}
		}
	}
	if s.TasksPerOccurrence() > MaxTasks {
		return &ErrInvalid{"tasks", fmt.Sprintf("are more than %d", MaxTasks)}
	}
	return nil
}

func (t Step) check(index int) error {
	field := fmt.Sprintf("step %d", index)
	switch {
	case t.Need.Cores < 0 || t.Need.Memory < 0 || t.Need.Accelerators < 0 || t.Estimate < 0:
		return &ErrInvalid{field, "has a negative need or estimate"}
	case !t.Need.Fits(MaxNeed):
		return &ErrInvalid{field, "needs more than any machine has"}
	case t.Estimate > MaxEstimate:
		return &ErrInvalid{field, "is estimated to take longer than a year"}
	case t.PerWorker < 0 || t.MayMiss < 0 || t.TailTarget < 0:
		return &ErrInvalid{field, "has a negative bound"}
	}
	return nil
}

// Lasts reports whether the job runs until it is cancelled.
func (s Submission) Lasts() bool {
	for _, t := range s.Steps {
		if t.Lasting {
			return true
		}
	}
	return false
}

// Work returns the core-seconds of all steps by their estimates.
func (s Submission) Work() float64 {
	sum := 0.0
	for i := range s.Steps {
		t := &s.Steps[i]
		sum += float64(t.Need.Cores) / 1000 * t.Estimate.Seconds() * float64(t.Count)
	}
	return sum
}

// CriticalPath returns the length of the critical path through the steps by their estimates,
// which is how long the job takes if nothing waits.
func (s Submission) CriticalPath() time.Duration {
	return s.RemainingCriticalPath(func(int) bool { return false })
}

// CriticalPathAfter returns the length of the critical path through the steps that depend on a
// step, directly or not.
func (s Submission) CriticalPathAfter(step int) time.Duration {
	ends := make([]time.Duration, len(s.Steps))
	follows := make([]bool, len(s.Steps))
	var longest time.Duration
	for i, t := range s.Steps {
		for _, a := range t.After {
			if a == step || follows[a] {
				follows[i] = true
				ends[i] = max(ends[i], ends[a])
			}
		}
		if follows[i] {
			ends[i] += t.Estimate
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// RemainingCriticalPath returns the length of the critical path through the steps that are
// not done.
func (s Submission) RemainingCriticalPath(done func(step int) bool) time.Duration {
	ends := make([]time.Duration, len(s.Steps))
	var longest time.Duration
	for i, t := range s.Steps {
		for _, a := range t.After {
			ends[i] = max(ends[i], ends[a])
		}
		if !done(i) {
			ends[i] += t.Estimate
		}
		longest = max(longest, ends[i])
	}
	return longest
}
