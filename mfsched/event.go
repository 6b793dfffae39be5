package mfsched

import (
	"time"

	"mothferry"
	"mothferry/mfjob"
)

// Event is something that the scheduler learns.
type Event interface{ event() }

// Queue is what the config in force says of a queue.
type Queue struct {
	Service mothferry.ServiceID
	// Priority 0 comes first.
	Priority int
	// MaxAttempts is how many runs of a task may fail before its job has failed.
	MaxAttempts int
	// Stretch and Latency make a job's objective: Stretch times its longest
	// chain of work, and Latency more.
	Stretch float64
	Latency time.Duration
	// Advised says that workers must be asked for from the adviser.
	Advised bool
}

// ConfigChanged brings the queues of a newer config.
type ConfigChanged struct {
	Queues map[mothferry.QueueID]Queue
	// Services holds the services that there are; nil if that is not told.
	Services map[mothferry.ServiceID]bool
	// Accounts holds the client accounts.
	Accounts map[mothferry.AccountID]Account
}

// JobFound brings a job that a caller handed in, with its progress if an
// earlier owner stored any.
type JobFound struct {
	Job        mothferry.JobID
	Submission mfjob.Submission
	Progress   *mfjob.Progress
}

// JobFinished brings a job of which an earlier owner stored that it is over, or which
// was handed in again after that.
type JobFinished struct {
	Job   mothferry.JobID
	State mfjob.State
	// Submission is what was handed in, if it is still stored: runs of the job may yet be ending.
	Submission mfjob.Submission
}

// DeleteJobsAnswered says whether the rows of jobs that are to be forgotten are deleted.
type DeleteJobsAnswered struct {
	Jobs    []mothferry.JobID
	Deleted bool
}

// JobsLoaded says that all jobs that were stored have been passed on.
type JobsLoaded struct{}

// CancelRequested says that a caller has cancelled a job.
type CancelRequested struct {
	Job mothferry.JobID
}

// Worker is one listed life of a worker.
type Worker struct {
	At mothferry.WorkerAddress
	// StartedAt is when the life began.
	StartedAt mothferry.LifeStart
	Service   mothferry.ServiceID
	Rack      mothferry.RackID
	Labels    []string
	Capacity  mothferry.Resources
	Draining  bool
}

// WorkerListed brings a worker that is new to the list or whose entry changed.
type WorkerListed struct {
	Worker Worker
}

// WorkerUnlisted says that a worker's entry is gone.
type WorkerUnlisted struct {
	Worker mothferry.WorkerID
}

// PollAnswered is a worker's answer to a look.
type PollAnswered struct {
	Worker mothferry.WorkerID
	// Number is that of the look's command, Sent when it was sent.
	Number int
	Sent   time.Time
	Report mothferry.LookReport
}

// PollFailed says that a look had no answer, or was refused.
type PollFailed struct {
	Worker mothferry.WorkerID
	Number int
	Sent   time.Time
	Result OrderResult
}

// OrderResult is how an order to a worker ended.
type OrderResult string

// Results of orders.
const (
	ResultDone OrderResult = "done"
	// ResultUnknown: no answer; it may have been carried out, or may be later.
	ResultUnknown OrderResult = "unknown"
	// ResultIncarnationEnded: that life of the worker has ended.
	ResultIncarnationEnded OrderResult = "worker_over"
	// ResultRefused: it was certainly not carried out; the refusal says why.
	ResultRefused OrderResult = "refused"
)

// StartAnswered says how an order to start ended.
type StartAnswered struct {
	Worker mothferry.WorkerID
	// Sent is when the order was sent.
	Sent    time.Time
	Task    mothferry.TaskName
	Run     mothferry.RunNumber
	Result  OrderResult
	Refusal mothferry.OrderRefusal
	// Clock is the worker's clock when it carried the order out; zero if that is not known.
	Clock mothferry.WorkerClock
}

// StopAnswered says how an order to stop ended.
type StopAnswered struct {
	Worker mothferry.WorkerID
	// Sent is when the order was sent.
	Sent   time.Time
	Task   mothferry.TaskName
	Run    mothferry.RunNumber
	Result OrderResult
}

// CommitDone says that the commit with this number is stored.
type CommitDone struct {
	Number int
}

// AdviceAnswered brings the adviser's word on a step; Tickets is nil if it did not answer.
type AdviceAnswered struct {
	Step    StepName
	Asked   []mothferry.WorkerID
	Tickets map[mothferry.WorkerID]string
	Valid   time.Duration
}

// StepName names one step of one occurrence of a job.
type StepName struct {
	Job        mothferry.JobID
	Occurrence int
	Step       int
}

// WorkersToEvacuate replaces the set of workers that duties empty: nothing new
// starts there and lasting tasks are moved away.
type WorkersToEvacuate struct {
	Workers map[mothferry.WorkerID]bool
	// MaintenanceDue holds the workers that a wave of upkeep has yet to empty.
	MaintenanceDue map[mothferry.WorkerID]bool
}

// FleetCapacityReported tells how many cores all machines have that are not down, those on
// standby and on their way included.
type FleetCapacityReported struct {
	Cores float64
}

// CommitRequested asks for a commit soon, though no job has changed.
type CommitRequested struct{}

// IncarnationEnded says that a life of a worker is known to have ended.
type IncarnationEnded struct {
	Worker mothferry.WorkerID
	// ListedAt is when the list that tells it was asked for.
	ListedAt time.Time
	Cause    IncarnationEndCause
}

// IncarnationEndCause is why a life of a worker ended.
type IncarnationEndCause string

// Causes of the end of a worker's life.
const (
	IncarnationCrashed IncarnationEndCause = "crashed"
	// IncarnationEndPlanned: its machine is moved or has its upkeep.
	IncarnationEndPlanned IncarnationEndCause = "planned"
	// IncarnationEndUnknown: it may have crashed.
	IncarnationEndUnknown IncarnationEndCause = "unknown"
)

// Tick only lets time pass.
type Tick struct{}

func (ConfigChanged) event()         {}
func (JobFound) event()              {}
func (JobFinished) event()           {}
func (DeleteJobsAnswered) event()    {}
func (JobsLoaded) event()            {}
func (CancelRequested) event()       {}
func (WorkerListed) event()          {}
func (WorkerUnlisted) event()        {}
func (PollAnswered) event()          {}
func (PollFailed) event()            {}
func (StartAnswered) event()         {}
func (StopAnswered) event()          {}
func (CommitDone) event()            {}
func (AdviceAnswered) event()        {}
func (WorkersToEvacuate) event()     {}
func (FleetCapacityReported) event() {}
func (CommitRequested) event()       {}
func (IncarnationEnded) event()      {}
func (Tick) event()                  {}

// Command is something that the scheduler wants done.
type Command interface{ command() }

// Commit asks to store the progress of jobs. At most one is under way.
type Commit struct {
	Number   int
	Progress map[mothferry.JobID]mfjob.Progress
}

// Start asks to start a run whose intent is stored.
type Start struct {
	At    mothferry.WorkerAddress
	Order mothferry.StartOrder
}

// Stop asks to stop a run.
type Stop struct {
	At   mothferry.WorkerAddress
	Task mothferry.TaskName
	Run  mothferry.RunNumber
}

// Poll asks to look at a worker.
type Poll struct {
	At mothferry.WorkerAddress
	// Number tells looks apart.
	Number int
	Order  mothferry.LookOrder
}

// Pace asks to slow a run down, or to let it go again.
type Pace struct {
	At      mothferry.WorkerAddress
	Task    mothferry.TaskName
	Run     mothferry.RunNumber
	Percent int
}

// RequestAdvice asks the adviser which of some workers may run a step.
type RequestAdvice struct {
	Step    StepName
	Workers []mothferry.WorkerID
}

// DeleteJobs asks to delete the rows of jobs that were over long enough ago. JobsForgotten answers it.
type DeleteJobs struct {
	Jobs []mothferry.JobID
}

// DeleteSubmissions asks to delete what was handed in for jobs that are over. Their progress
// stays, by which their state is told.
type DeleteSubmissions struct {
	Jobs []mothferry.JobID
}

// Decision is a line for the log: what was decided about a job or a worker.
type Decision struct {
	Message string
	Job     mothferry.JobID
	Worker  mothferry.WorkerID
	Fields  map[string]any
}

// JobEnd tells how a job ended, for those who count.
type JobEnd struct {
	Queue   mothferry.QueueID
	Account mothferry.AccountID
	End     End
}

// End is how a job ended for its caller.
type End string

// Ends.
const (
	EndInTime    End = "in_time"
	EndLate      End = "late"
	EndTooLate   End = "too_late"
	EndFailed    End = "failed"
	EndCancelled End = "cancelled"
)

func (JobEnd) command()            {}
func (Commit) command()            {}
func (Start) command()             {}
func (Stop) command()              {}
func (Poll) command()              {}
func (Pace) command()              {}
func (RequestAdvice) command()     {}
func (DeleteJobs) command()        {}
func (DeleteSubmissions) command() {}
func (Decision) command()          {}
