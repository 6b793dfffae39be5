package mfsched

import "time"

// TickStage is a stage of the work of a Tick.
type TickStage string

// Stages of a Tick.
const (
	StagePolls        TickStage = "polls"
	StageHousekeeping TickStage = "housekeeping"
	StagePlacement    TickStage = "placement"
	StageCommit       TickStage = "commit"
)

// TaskStage is a stage in the life of a task that ends by itself, or of its job.
type TaskStage string

// Stages of a task.
const (
	// JobArriving: from when a host accepted the job until the owner knows it, by the clocks of
	// both.
	JobArriving TaskStage = "arriving"
	// TaskReady: from when it could start until a worker is chosen for it.
	TaskReady TaskStage = "ready"
	// TaskPlanned: until its intent is stored and the start order is sent.
	TaskPlanned TaskStage = "planned"
	// TaskOrdered: until its run is known to have started.
	TaskOrdered TaskStage = "ordered"
	// TaskRunning: until its end is known. It includes the run itself.
	TaskRunning TaskStage = "running"
	// JobFinishing: from the last known end of a job's tasks until its final state is stored.
	JobFinishing TaskStage = "finishing"
)

// beginStage reports the beginning of a stage of a tick.
func (s *State) beginStage(stage TickStage) {
	if s.OnTickStage != nil {
		s.OnTickStage(stage)
	}
}

// endTaskStage reports how long a stage of a task took. Stages that began under a previous owner
// are left out.
func (s *State) endTaskStage(t *task, stage TaskStage, began, now time.Time) {
	if s.OnTaskStage != nil && !began.IsZero() && !t.step.spec.Lasting && t.copyOf == nil {
		s.OnTaskStage(stage, now.Sub(began))
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Effort counts what the scheduler has examined. It grows with the work that is done as long as
// the scheduler keeps up.
type Effort struct {
	// Candidates counts the occurrences of jobs that were tried in placement rounds, Workers the
	// workers that were compared for their tasks.
	Candidates, Workers int
}

// TakeEffort returns the effort since it was last called.
func (s *State) TakeEffort() Effort {
	effort := s.effort
	s.effort = Effort{}
	return effort
}
