package mfsched

import (
	"time"

	"mothferry"
	"mothferry/mfjob"
)

// Event is an input of the scheduler.
type Event interface{ event() }

// Queue is the configuration in force of a queue.
type Queue struct {
	Service mothferry.ServiceID
	// Host and Prefix select the requests that belong to the queue.
	Host, Prefix string
	// Priority 0 comes first.
	Priority int
	// MaxAttempts is how many runs of a task may fail before its job fails.
	MaxAttempts int
	// Stretch and Latency define a job's objective: Stretch times its critical path plus
	// Latency.
	Stretch float64
	Latency time.Duration
	// Advised reports whether the adviser decides which workers may run a step, Advice how long it
	// takes; zero if that is not known.
	Advised bool
	Advice  AdviceTimes
}

// ConfigChanged carries the queues of a newer config.
type ConfigChanged struct {
	Queues map[mothferry.QueueID]Queue
	// Services holds the services that exist; nil if that is not known.
	Services map[mothferry.ServiceID]bool
	// Accounts holds the client accounts.
	Accounts map[mothferry.AccountID]Account
}

// JobFound carries a submitted job, with its progress if a previous owner stored any.
type JobFound struct {
	Job        mothferry.JobID
	Submission mfjob.Submission
	Progress   *mfjob.Progress
}

// JobFinished carries a job whose final state a previous owner stored, or that was submitted
// again after that.
type JobFinished struct {
	Job   mothferry.JobID
	State mfjob.State
	// Submission is the job's submission if it is still stored: runs of the job may still be
	// ending.
	Submission mfjob.Submission
}

// DeleteJobsAnswered is the answer to DeleteJobs: whether the rows of the jobs were deleted.
type DeleteJobsAnswered struct {
	Jobs    []mothferry.JobID
	Deleted bool
}

// JobsLoaded reports that all stored jobs have been passed on.
type JobsLoaded struct{}

// CancelRequested reports that a caller has cancelled a job.
type CancelRequested struct {
	Job mothferry.JobID
}

// Worker is a listed incarnation of a worker.
type Worker struct {
	At mothferry.WorkerAddress
	// StartedAt is when the incarnation started.
	StartedAt mothferry.IncarnationStart
	Service   mothferry.ServiceID
	Rack      mothferry.RackID
	Labels    []string
	Capacity  mothferry.Resources
	Draining  bool
}

// WorkerListed carries a worker that is new to the list or whose entry has changed.
type WorkerListed struct {
	Worker Worker
}

// WorkerUnlisted reports that a worker's entry was removed.
type WorkerUnlisted struct {
	Worker mothferry.WorkerID
}

// PollAnswered is a worker's answer to a poll.
type PollAnswered struct {
	Worker mothferry.WorkerID
	// Number is that of the Poll command, Sent is when it was sent.
	Number int
	Sent   time.Time
	Report mothferry.PollReport
}

// PollFailed reports that a poll had no answer or was refused.
type PollFailed struct {
	Worker mothferry.WorkerID
	Number int
	Sent   time.Time
	Result OrderResult
}

// OrderResult is the result of an order to a worker.
type OrderResult string

// Results of orders.
const (
	ResultDone OrderResult = "done"
	// ResultUnknown: no answer; the order may have been carried out, or may still be.
	ResultUnknown OrderResult = "unknown"
	// ResultIncarnationEnded: that incarnation of the worker has ended.
	ResultIncarnationEnded OrderResult = "worker_over"
	// ResultRefused: the order was certainly not carried out; the refusal says why.
	ResultRefused OrderResult = "refused"
)

// StartAnswered is the result of a start order.
type StartAnswered struct {
	Worker mothferry.WorkerID
	// Sent is when the order was sent, Relay the host that relayed it; empty for none.
	Sent    time.Time
	Relay   mothferry.DaemonID
	Task    mothferry.TaskName
	Run     mothferry.RunNumber
	Result  OrderResult
	Refusal mothferry.OrderRefusal
	// Clock is the worker's clock when it carried the order out; zero if that is not known.
	Clock mothferry.WorkerClock
}

// StopAnswered is the result of a stop order.
type StopAnswered struct {
	Worker mothferry.WorkerID
	// Sent is when the order was sent.
	Sent   time.Time
	Task   mothferry.TaskName
	Run    mothferry.RunNumber
	Result OrderResult
}

// CommitDone reports that the commit with this number is stored.
type CommitDone struct {
	Number int
	// Rejected lists the jobs whose progress the store did not take; that of the others is stored.
	Rejected []mothferry.JobID
}

// AdviceAnswered is the adviser's answer to a call; Tickets is nil if it did not answer.
type AdviceAnswered struct {
	// Number is that of the call.
	Number  int
	Asked   []mothferry.WorkerID
	Tickets map[mothferry.WorkerID]string
	Valid   time.Duration
	// Declined reports whether the adviser certainly did nothing.
	Declined bool
}

// StepName names one step of one occurrence of a job.
type StepName struct {
	Job        mothferry.JobID
	Occurrence int
	Step       int
}

// WorkersToEvacuate replaces the set of workers that are to be evacuated: nothing new starts
// there and lasting tasks are moved away.
type WorkersToEvacuate struct {
	Workers map[mothferry.WorkerID]bool
	// MaintenanceDue holds the workers that a maintenance wave has yet to evacuate.
	MaintenanceDue map[mothferry.WorkerID]bool
}

// FleetCapacityReported carries the number of cores of all machines that are not down, those
// on standby and in transit included.
type FleetCapacityReported struct {
	Cores float64
}

// CommitRequested asks for a commit soon, though no job has changed.
type CommitRequested struct{}

// IncarnationEnded reports that an incarnation of a worker is known to have ended.
type IncarnationEnded struct {
	Worker mothferry.WorkerID
	// ListedAt is when the machine list that shows it was requested.
	ListedAt time.Time
	Cause    IncarnationEndCause
}

// IncarnationEndCause is why an incarnation of a worker ended.
type IncarnationEndCause string

// Causes of the end of an incarnation.
const (
	IncarnationCrashed IncarnationEndCause = "crashed"
	// IncarnationEndPlanned: its machine was moved or taken down for maintenance.
	IncarnationEndPlanned IncarnationEndCause = "planned"
	// IncarnationEndUnknown: it may have crashed.
	IncarnationEndUnknown IncarnationEndCause = "unknown"
)

// EarlyCancelFound reports the stored cancellation of a job that did not exist.
type EarlyCancelFound struct {
	EarlyCancel
	// Version is that of its row.
	Version mothferry.Version
}

// EarlyCancelsDeleted is the result of DeleteEarlyCancels.
type EarlyCancelsDeleted struct {
	Rows    map[EarlyCancel]mothferry.Version
	Deleted bool
}

// Tick only lets time pass.
type Tick struct{}

func (ConfigChanged) event()         {}
func (JobFound) event()              {}
func (JobFinished) event()           {}
func (DeleteJobsAnswered) event()    {}
func (JobsLoaded) event()            {}
func (CancelRequested) event()       {}
func (EarlyCancelFound) event()      {}
func (EarlyCancelsDeleted) event()   {}
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

// Command is an output of the scheduler.
type Command interface{ command() }

// Commit asks to store the progress of jobs. At most one is in flight.
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

// Poll asks to poll a worker.
type Poll struct {
	At mothferry.WorkerAddress
	// Number identifies the poll.
	Number int
	Order  mothferry.PollOrder
}

// Pace asks to throttle a run, or to restore its full speed.
type Pace struct {
	At      mothferry.WorkerAddress
	Task    mothferry.TaskName
	Run     mothferry.RunNumber
	Percent int
}

// RequestAdvice asks the adviser which of the workers may run a step.
type RequestAdvice struct {
	// Number identifies the call.
	Number  int
	Step    StepName
	Workers []mothferry.WorkerID
	// Waited is how long the step waited for the call.
	Waited time.Duration
}

// DeleteJobs asks to delete the rows of jobs that finished long enough ago. DeleteJobsAnswered
// is the answer.
type DeleteJobs struct {
	Jobs []mothferry.JobID
}

// DeleteEarlyCancels asks to delete early cancellations, if their rows still have these versions.
// EarlyCancelsDeleted is the answer.
type DeleteEarlyCancels struct {
	Rows map[EarlyCancel]mothferry.Version
}

// DeleteSubmissions asks to delete the submissions of finished jobs. Their progress is kept,
// as callers query their state from it.
type DeleteSubmissions struct {
	Jobs []mothferry.JobID
}

// Decision is a log entry about a decision on a job or a worker.
type Decision struct {
	Message string
	Job     mothferry.JobID
	Worker  mothferry.WorkerID
	Fields  map[string]any
}

// JobEnd reports how a job ended, for metrics.
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

func (JobEnd) command()             {}
func (Commit) command()             {}
func (Start) command()              {}
func (Stop) command()               {}
func (Poll) command()               {}
func (Pace) command()               {}
func (RequestAdvice) command()      {}
func (DeleteJobs) command()         {}
func (DeleteEarlyCancels) command() {}
func (DeleteSubmissions) command()  {}
func (Decision) command()           {}
