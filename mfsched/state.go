// Package mfsched decides which task of which job runs where and when. It is a state machine:
// Step takes an event and the time and returns commands. It does no I/O and reads no clock, so
// that any sequence of events can be replayed.
//
// It guarantees the following, even if orders and answers are lost, delayed or duplicated:
//
//   - A task never has two runs at the same time, apart from a speculative copy. A task is
//     started again only once its last run is known to have ended: its end was listed, its
//     worker's incarnation has ended, the lease of everything on its worker has certainly
//     expired, or a stop for that run was answered and a later poll does not show it.
//   - A new owner knows of every run. A start is sent only after a commit has stored which
//     worker may run it under which number.
//   - No end is lost before it is stored. A worker is told that an end was recorded only after
//     the commit that stored its effect.
package mfsched

import (
	"time"

	"mothferry"
	"mothferry/mfdemand"
	"mothferry/mfjob"
	"mothferry/mfshare"
	"mothferry/mfspeed"
)

// phase is what is known of a task's current run.
type phase int

const (
	// phaseWaiting: there is no run.
	phaseWaiting phase = iota
	// phasePlanned: a run is decided; its intent is not stored yet.
	phasePlanned
	// phaseSent: the start order is sent and not answered yet.
	phaseSent
	// phaseRunning: the worker has confirmed the run.
	phaseRunning
	// phaseUnresolved: the run may or may not exist.
	phaseUnresolved
	// phaseStopping: the run was ordered to stop and may still exist.
	phaseStopping
	// phaseDone: the task has done its work.
	phaseDone
)

// task is one task of a step.
type task struct {
	name  mothferry.TaskName
	job   *job
	step  *step
	phase phase
	run   mothferry.RunNumber
	// highestOtherRun is the highest number given to a run of the task, if that is not the
	// current run's.
	highestOtherRun mothferry.RunNumber
	// copyTask is the copy of a speculative step's task, nil if there is none; copyOf is the
	// task of which this is the copy. copies counts the copies.
	copyTask, copyOf *task
	copies           int
	// startsSent counts the start orders sent for the run, startsPending those whose calls
	// have not ended without an answer, startsAnswered those that were answered; lastStartSent
	// is when the last one was sent.
	startsSent, startsPending, startsAnswered int
	lastStartSent                             time.Time
	// startAnsweredAt is when a start order was last answered.
	startAnsweredAt time.Time
	// relay, startResult and startResultAt tell of the last answer to a start of the run, former
	// of the run before it; nil if there was none.
	relay         mothferry.DaemonID
	startResult   OrderResult
	startResultAt time.Time
	former        *formerRun
	failures      int
	checkpoint    mothferry.Checkpoint
	// checkpointPercent is the percentage at which the checkpoint is known to have been taken;
	// zero if that is not known. checkpointAhead reports whether the checkpoint is from a run
	// that had done more than the current one.
	checkpointPercent int
	checkpointAhead   bool
	crashes           mfjob.Crashes
	// suspectedCrashAt is when a worker ended soon after it got the task, perhaps by a crash;
	// zero once the cause is known.
	suspectedCrashAt time.Time
	// trialPostponedUntil is when the task may be tried even if its service is not lightly
	// loaded. It is extended while more than moderateLoad is in use, but has no effect after
	// trialDeadline, which is zero if no trial is postponed.
	trialPostponedUntil, trialDeadline time.Time
	// worker may run the task; nil while the task waits or is done.
	worker *worker
	// inheritedAt is when a previous owner's run was first confirmed; zero for this owner's
	// own runs.
	inheritedAt time.Time
	// avoidWorker is the worker on which the last run failed, was stuck or fell behind.
	avoidWorker mothferry.WorkerID
	// notBefore delays the next start after a refusal or a failure.
	notBefore time.Time
	// stopAnsweredAt is when a stop order for the run was first answered.
	stopAnsweredAt time.Time
	// stopSentAt is when a stop order for the run was last sent.
	stopSentAt time.Time
	// confirmedAt is when the run was first known to exist.
	confirmedAt time.Time
	percent     int
	// unchangedFor is how long the percentage has not changed, by the worker's clock, without
	// the time for which that is not known.
	unchangedFor time.Duration
	// track records the run's progress, restarts counts the restarts elsewhere for falling
	// behind.
	track    mfspeed.Track
	restarts int
	// reservedOn is the worker on which it had free capacity when it was stopped for falling
	// behind; nil if it never was, or has started again.
	reservedOn *worker
	// stuckStops counts the runs that were stopped because they were stuck.
	stuckStops  int
	tailLatency time.Duration
	// unavailableSince is when a lasting task became unavailable; zero while it serves.
	unavailableSince time.Time
	// plannedAt is when the current run was planned by this owner; zero if it was not.
	plannedAt time.Time
	// unavailableLogged reports whether the log says that it is unavailable.
	unavailableLogged bool
	pace              int
	// reportedIn is the last report in which its worker had the current run.
	reportedIn int
}

// assigned reports whether a run of the task is, or may be, on a worker.
func (t *task) assigned() bool { return t.worker != nil }

// startsInFlight returns how many calls that order the start of the run have not ended.
func (t *task) startsInFlight() int { return t.startsPending - t.startsAnswered }

// step is one step of one occurrence.
type step struct {
	name      StepName
	spec      *mfjob.Step
	tasks     []*task
	remaining int // tasks not done
	// waiting counts the waiting tasks, whether the step's dependencies are done or not.
	waiting int
	// readyAt is when its dependencies were first seen to be done.
	readyAt time.Time
	// adviceRequestedAt is when the adviser was last called, adviceSince since when the step waits
	// for a call; adviceNotBefore delays the next one.
	adviceRequestedAt, adviceSince, adviceNotBefore time.Time
	// advicePending reports whether a call that is not overdue has no answer.
	advicePending bool
	// asked holds the workers that were asked for in the present turn at the adviser.
	asked map[mothferry.WorkerID]bool
	// refused and tickets are what the adviser refused and granted.
	refused map[mothferry.WorkerID]bool
	tickets map[mothferry.WorkerID]ticket
	// heldSince is when the step began to wait for free capacity on a normal worker; zero if
	// it never did.
	heldSince time.Time
}

// plannedRun is a run whose start order waits for its intent to be stored. A task that was
// released and planned again meanwhile has another run number.
type plannedRun struct {
	task *task
	run  mothferry.RunNumber
}

type ticket struct {
	text       string
	validUntil time.Time
}

// occurrence is an open occurrence of a job: it has begun and is not done.
type occurrence struct {
	number      int
	scheduledAt time.Time
	steps       []*step
	// path is the critical path through its open steps, as of when pathSteps of them were open.
	path      time.Duration
	pathSteps int
}

// job is a job that is not finished, or was not deleted yet.
type job struct {
	id         mothferry.JobID
	submission mfjob.Submission
	// account is the job's client account; nil for none.
	account *account
	// flow is what the tasks of the job's account use of its service.
	flow *flowUsage
	// overRate reports whether the job exceeds its account's rate.
	overRate bool
	state    mfjob.State
	// occurrences holds the open occurrences in the order of their numbers, begun is how many
	// have begun. heldBack reports whether due occurrences ever had to wait for open ones.
	occurrences []*occurrence
	begun       int
	heldBack    bool
	// rowFullAt is when a task last had to wait because the job's row was full; zero for never.
	rowFullAt time.Time
	// started reports whether a run was ever planned.
	started bool
	// rejections counts the commits of the job that the store rejected, alone reports whether its
	// next commit holds no other job.
	rejections int
	alone      bool
	// dirty reports whether a change is in no commit yet, rowStored whether the job's own row
	// is stored or in the commit in flight.
	dirty, rowStored bool
	criticalPath     time.Duration
	// lasts reports whether the job runs until it is cancelled.
	lasts      bool
	finishedAt time.Time
	// finalStored reports whether its final state is stored.
	finalStored bool
}

// State is the scheduler of one shard. The exported fields are set before the first Step.
type State struct {
	Limits Limits
	Epoch  mothferry.Epoch
	// PriorLeaseEnd is when all leases that previous owners requested have expired.
	PriorLeaseEnd time.Time
	// Off holds the features that are switched off.
	Off mothferry.FeaturesOff
	// OnTickStage is called at the beginning of each stage of a Tick, OnTaskStage with the
	// duration of each stage of a task; both may be nil.
	OnTickStage func(stage TickStage)
	OnTaskStage func(stage TaskStage, took time.Duration)

	loaded bool
	queues map[mothferry.QueueID]Queue
	// queueAt holds the queues by what they serve, strictest the queue of each service with the
	// fewest attempts.
	queueAt   map[queueAddress]mothferry.QueueID
	strictest map[mothferry.ServiceID]Queue
	// services holds the services that the config names; nil if that is not known.
	services map[mothferry.ServiceID]bool
	jobs     map[mothferry.JobID]*job
	// live holds the jobs that are not finished.
	live map[mothferry.JobID]*job
	// upcoming holds the live jobs of which not all occurrences have begun.
	upcoming map[mothferry.JobID]*job
	workers  map[mothferry.WorkerID]*worker
	// sortedWorkers holds the same workers ordered by id, so that the same events always
	// produce the same commands in the same order.
	sortedWorkers []*worker
	// orphaned counts the orphaned runs on all workers by their tasks.
	orphaned   map[mothferry.TaskName]int
	startCalls startCalls
	// former holds the workers that were removed lately.
	former     map[mothferry.WorkerID]formerWorker
	toEvacuate map[mothferry.WorkerID]bool
	// accounts holds the client accounts that a config or a job has named.
	accounts map[mothferry.AccountID]*account
	// unresolvedEnds holds the runs of incarnations that ended for a cause that is not known
	// yet.
	unresolvedEnds map[mothferry.WorkerID]unresolvedEnd
	// maintenanceDue holds workers that are to be evacuated later.
	maintenanceDue map[mothferry.WorkerID]bool
	// fleetCores is the number of cores of all machines, as last reported.
	fleetCores float64
	// hasAccounts reports whether the config names client accounts; recentWork holds the work
	// that arrived lately, by flow.
	hasAccounts bool
	recentWork  map[mfshare.Flow]*recentWork
	// flows holds what each account's tasks use of each service.
	flows map[mfshare.Flow]*flowUsage
	// creditUpdatedAt is when the flows' unused shares were last credited.
	creditUpdatedAt time.Time
	// arrivals holds the work that arrived lately, by service.
	arrivals map[mothferry.ServiceID]*mfdemand.Arrivals

	// baselines holds the baseline of each class of tasks; evidence is reused for each worker.
	baselines mfspeed.Baselines
	evidence  mfspeed.Evidence
	// lastClassified is when the workers' speeds were last classified, lastBaselineExpiry when
	// old runs were last expired, anySlow whether any worker counts as slow.
	lastClassified, lastBaselineExpiry time.Time
	anySlow                            bool

	// losses estimates whether polls are being lost, and how long workers take to answer.
	losses losses
	// pollCount counts all polls, reports the answers that tell what a worker runs.
	pollCount, reports int
	// pendingStarts holds the start orders that were sent, oldest first.
	pendingStarts []sentStart
	// relocating holds tasks that were stopped for falling behind and have yet to start
	// elsewhere; stragglerScanFrom is the worker at which the next search for such tasks
	// begins.
	relocating        []*task
	stragglerScanFrom mothferry.WorkerID

	// dirty holds the jobs with a change that is in no commit yet, the earliest change first:
	// if chosen by id, some would wait for as long as there are too many.
	dirty []*job
	// planned holds the runs whose intent is not in a commit yet, committing those in the
	// commit in flight.
	planned []plannedRun
	// draft is the gang for which workers are being chosen; nil for none.
	draft           *gangDraft
	committing      []plannedRun
	endsInCommit    map[mothferry.WorkerID]mothferry.EndNumber
	commitInFlight  bool
	commitRequested bool
	commitNumber    int
	// commitSent is when the commit in flight was sent, lastCommit when the last one that is
	// stored was.
	commitSent       time.Time
	lastCommit       time.Time
	lastHousekeeping time.Time
	// committedAlone is the job that is alone in the commit in flight because the store rejected
	// it before; nil for none.
	committedAlone *job
	// finishedJobs holds the finished jobs, earliest first, until they are deleted.
	finishedJobs []*job
	// finishedInCommit holds the finished jobs in the commit in flight, submissionsToDelete
	// those whose final state and submission are stored.
	finishedInCommit    []*job
	submissionsToDelete []deletableSubmission
	// cancelledEarly holds the cancellations of jobs that have not been found yet.
	cancelledEarly map[mothferry.JobID]bool

	earlyCancels earlyCancels
	// longestWorkerID is the length of the longest id of a worker, as stored, and maxTaskSize the
	// largest size of a task's progress with it.
	longestWorkerID, maxTaskSize int

	restartLog      restartLog
	advice          adviceQueue
	candidateBuffer candidateBuffer
	effort          Effort
	commands        []Command
}

// New returns a scheduler without jobs for an owner that took over its shard at takenOver.
// Leases of previous owners have expired by priorLeaseEnd.
func New(limits Limits, epoch mothferry.Epoch, takenOver, priorLeaseEnd time.Time) *State {
	return &State{
		Limits: limits, Epoch: epoch, PriorLeaseEnd: priorLeaseEnd, lastCommit: takenOver,
		queues: map[mothferry.QueueID]Queue{},
		jobs:   map[mothferry.JobID]*job{}, live: map[mothferry.JobID]*job{}, upcoming: map[mothferry.JobID]*job{}, workers: map[mothferry.WorkerID]*worker{},
		orphaned:       map[mothferry.TaskName]int{},
		startCalls:     newStartCalls(),
		former:         map[mothferry.WorkerID]formerWorker{},
		toEvacuate:     map[mothferry.WorkerID]bool{},
		unresolvedEnds: map[mothferry.WorkerID]unresolvedEnd{},
		accounts:       map[mothferry.AccountID]*account{},
		arrivals:       map[mothferry.ServiceID]*mfdemand.Arrivals{},
		recentWork:     map[mfshare.Flow]*recentWork{},
		flows:          map[mfshare.Flow]*flowUsage{},
		endsInCommit:   map[mothferry.WorkerID]mothferry.EndNumber{},
		cancelledEarly: map[mothferry.JobID]bool{},
	}
}

// Step processes an event and returns the commands to carry out.
func (s *State) Step(e Event, now time.Time) []Command {
	s.commands = nil
	switch v := e.(type) {
	case ConfigChanged:
		s.configChanged(v)
	case JobFound:
		s.jobFound(v, now)
	case JobFinished:
		s.jobFinished(v, now)
	case DeleteJobsAnswered:
		s.jobsDeleted(v, now)
	case JobsLoaded:
		s.loaded = true
	case CancelRequested:
		s.cancel(v.Job, now)
	case EarlyCancelFound:
		s.earlyCancels.add(v.EarlyCancel, v.Version, now)
	case EarlyCancelsDeleted:
		s.earlyCancelsDeleted(v, now)
	case WorkerListed:
		s.workerListed(v.Worker, now)
	case WorkerUnlisted:
		s.workerUnlisted(v.Worker, now)
	case IncarnationEnded:
		s.workerEnded(v.Worker, v.Cause, v.ListedAt, now)
	case FleetCapacityReported:
		s.fleetCores = v.Cores
	case CommitRequested:
		s.commitRequested = true
	case WorkersToEvacuate:
		s.toEvacuate, s.maintenanceDue = v.Workers, v.MaintenanceDue
	case PollAnswered:
		s.pollAnswered(v, now)
	case PollFailed:
		s.pollFailed(v, now)
	case StartAnswered:
		s.startAnswered(v, now)
	case StopAnswered:
		s.stopAnswered(v, now)
	case AdviceAnswered:
		s.adviceAnswered(v, now)
	case CommitDone:
		s.committed(v, now)
	case Tick:
		s.tick(now)
	}
	return s.commands
}

func (s *State) emit(c Command) { s.commands = append(s.commands, c) }

// lookUp returns a task by name, or nil.
func (s *State) lookUp(n mothferry.TaskName) *task {
	j, ok := s.jobs[n.Job]
	if !ok {
		return nil
	}
	o := j.occurrence(n.Occurrence)
	if o == nil || n.Step >= len(o.steps) || n.Index >= len(o.steps[n.Step].tasks) {
		return nil
	}
	return o.steps[n.Step].tasks[n.Index]
}
