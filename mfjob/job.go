// Package mfjob holds jobs as records: what a caller handed in, how far the
// job is, and the form in which both are stored.
package mfjob

import (
	"fmt"
	"time"

	"mothferry"
)

// State is how far a job is, as its caller is told.
type State string

// States of a job. The last three are final.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Final reports whether a job in this state is over.
func (s State) Final() bool {
	return s == StateCompleted || s == StateFailed || s == StateCancelled
}

// Step is one step of a job: Count tasks alike.
type Step struct {
	Count int                 `json:"count"`
	Need  mothferry.Resources `json:"need"`
	// Estimate is roughly how long a task takes.
	Estimate time.Duration `json:"estimate,omitempty"`
	// After lists earlier steps that must be done first.
	After []int `json:"after,omitempty"`
	// Checkpoint says that tasks save their progress.
	Checkpoint bool `json:"checkpoint,omitempty"`
	// Gang says that the tasks work only all together.
	Gang bool `json:"gang,omitempty"`
	// SameRack says that a gang is slower over several racks.
	SameRack bool `json:"same_rack,omitempty"`
	// Label is one that the worker must have; empty for any worker.
	Label string `json:"label,omitempty"`
	// Rack is where the data is; tasks are slower elsewhere.
	Rack mothferry.RackID `json:"rack,omitempty"`
	// PerWorker bounds the step's tasks on one worker; 0 for no bound.
	PerWorker int `json:"per_worker,omitempty"`
	// Speculative says that copies of a task may run at the same time.
	Speculative bool `json:"speculative,omitempty"`
	// Lasting tasks run until the job is cancelled and are always restarted.
	Lasting bool `json:"lasting,omitempty"`
	// Image names what the tasks run; tasks of one image behave alike.
	Image string `json:"image,omitempty"`
	// TailTarget bounds a serving task's response times at the tail; 0 if it serves nobody.
	TailTarget time.Duration `json:"tail_target,omitempty"`
	// Fills says that the tasks use only processor time that others leave.
	Fills bool `json:"fills,omitempty"`
	// MayMiss is how many tasks may be away at the same time by our own acts.
	MayMiss int `json:"may_miss,omitempty"`
}

// Reservation is what each task of the step takes of a worker's capacity. Tasks that fill
// use only processor time that others leave.
func (t *Step) Reservation() mothferry.Resources {
	need := t.Need
	if t.Fills {
		need.Cores = 0
	}
	return need
}

// Submission is a job as it was handed in and accepted.
type Submission struct {
	Queue mothferry.QueueID `json:"queue"`
	// Account is the client account that handed it in; empty for none.
	Account mothferry.AccountID `json:"account,omitempty"`
	// Service is the queue's service when the job was accepted.
	Service mothferry.ServiceID `json:"service"`
	Spec    string              `json:"spec"`
	Steps   []Step              `json:"steps"`
	// Repeat is how many times the steps run; 0 for once, at once.
	Repeat int `json:"repeat,omitempty"`
	// First is when the first occurrence is due.
	First time.Time `json:"first,omitzero"`
	// Interval is the time between occurrences.
	Interval time.Duration `json:"interval,omitempty"`
	// Accepted is the time of day at which an entry host accepted the job.
	Accepted time.Time `json:"accepted"`
}

// Occurrences returns how many times the steps run.
func (s Submission) Occurrences() int { return max(1, s.Repeat) }

// Limits on what may be handed in. A job's progress has to fit into one row
// of 64 KiB at some 40 bytes a task, which MaxTasks leaves room for.
const (
	MaxSpecBytes = 4000
	MaxSteps     = 64
	MaxTasks     = 1000
	// MaxEstimate keeps sums over a job's steps far from what a duration holds.
	MaxEstimate = 365 * 24 * time.Hour
)

// ErrInvalid reports a job that can't be accepted as it is.
type ErrInvalid struct {
	Field  string
	Detail string
}

// Error implements error.
func (e *ErrInvalid) Error() string { return fmt.Sprintf("job refused: %s %s", e.Field, e.Detail) }

// Check returns an ErrInvalid for the first thing wrong with a submission.
func (s Submission) Check() error {
	switch {
	case len(s.Spec) > MaxSpecBytes:
		return &ErrInvalid{"spec", fmt.Sprintf("is longer than %d bytes", MaxSpecBytes)}
	case len(s.Steps) == 0:
		return &ErrInvalid{"steps", "are missing"}
	case len(s.Steps) > MaxSteps:
		return &ErrInvalid{"steps", fmt.Sprintf("are more than %d", MaxSteps)}
	case s.Repeat < 0 || s.Repeat > 1 && s.Interval < 0:
		return &ErrInvalid{"repetition", "is negative"}
	}
	tasks := 0
	for i, t := range s.Steps {
		if err := t.check(i); err != nil {
			return err
		}
		tasks += t.Count
	}
	if tasks*s.Occurrences() > MaxTasks {
		return &ErrInvalid{"tasks", fmt.Sprintf("are more than %d", MaxTasks)}
	}
	return nil
}

func (t Step) check(index int) error {
	field := fmt.Sprintf("step %d", index)
	switch {
	case t.Count <= 0 || t.Count > MaxTasks:
		return &ErrInvalid{field, "has no sound count of tasks"}
	case t.Need.Cores < 0 || t.Need.Memory < 0 || t.Need.Accelerators < 0 || t.Estimate < 0:
		return &ErrInvalid{field, "needs less than nothing"}
	case t.Estimate > MaxEstimate:
		return &ErrInvalid{field, "is estimated to take longer than a year"}
	case t.PerWorker < 0 || t.MayMiss < 0 || t.TailTarget < 0:
		return &ErrInvalid{field, "has a negative bound"}
	}
	for _, a := range t.After {
		if a < 0 || a >= index {
			return &ErrInvalid{field, "follows a step that is not before it"}
		}
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
		of := &s.Steps[i]
		sum += float64(of.Need.Cores) / 1000 * of.Estimate.Seconds() * float64(of.Count)
	}
	return sum
}

// CriticalPath returns the longest chain of estimates through the steps, which is
// how long the job takes if nothing waits.
func (s Submission) CriticalPath() time.Duration {
	return s.RemainingCriticalPath(func(int) bool { return false })
}

// CriticalPathAfter returns the longest chain of estimates through the steps that follow a step.
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

// RemainingCriticalPath returns the longest chain of estimates through the steps that are
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
