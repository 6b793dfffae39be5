// Package mfemulate is a discrete-event simulation of what mothferry works with: a store,
// workers, machines and callers. The production decision code (mfsched, mfduty) runs against
// it, so that a change of policy is evaluated in about a second and tests run thousands of
// seeded fault histories.
//
// Owners store progress in rows and read it as the production owner does (mfjournal).
//
// The simulated workers behave as the platform specifies: fencing by epoch, leases by the
// worker's own clock, ends that are listed until they are acknowledged, and orders that are
// lost, answered late or executed late. A checker examines every start and every end by an
// order; a violation that it finds is a fault of the decision code.
package mfemulate

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"mothferry"
	"mothferry/mfjob"
	"mothferry/mfsched"
	"mothferry/mfstandin"
)

// StartTime is when simulated time begins.
var StartTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Faults are the probabilities of faults for one call, run or job, with their times.
type Faults struct {
	// LoseOrder: the order never arrives. LoseAnswer: the order is executed and its answer is
	// lost. LateOrder: the order gets no answer and is executed up to LateBy later; this
	// applies to polls too.
	LoseOrder  float64
	LoseAnswer float64
	LateOrder  float64
	LateBy     time.Duration
	// LoseCommitAnswer: the answer of a commit is lost, and the owner has to ask again.
	LoseCommitAnswer float64
	// FailTask: a run fails.
	FailTask float64
	// CrashJob: one task of a job crashes each worker that starts it, CrashAfter later. The
	// worker restarts CrashDown after that.
	CrashJob   float64
	CrashAfter time.Duration
	CrashDown  time.Duration
	// MeanLastingTime is the mean time after which a lasting run fails by itself; zero for
	// never.
	MeanLastingTime time.Duration
	// ReuseID: a restarted worker has the same id as before.
	ReuseID float64
}

// affectCalls reports whether calls may be lost or late.
func (f Faults) affectCalls() bool {
	return f.LoseOrder > 0 || f.LoseAnswer > 0 || f.LateOrder > 0 || f.LoseCommitAnswer > 0
}

// These delays follow the platform's documentation and measurements on its test bench.
const (
	orderDelay      = 1500 * time.Microsecond
	commitDelay     = 6 * time.Millisecond
	callTimeout     = 700 * time.Millisecond
	tickInterval    = 10 * time.Millisecond
	stopTime        = 300 * time.Millisecond
	controlInterval = 150 * time.Millisecond
	moveTime        = 1500 * time.Millisecond
	maintenanceTime = 2 * time.Second
	listLag         = 150 * time.Millisecond
	sampleInterval  = 500 * time.Millisecond
)

// World is the state of the simulation. The exported fields are set before Run.
type World struct {
	Limits mfsched.Limits
	Faults Faults
	// Late makes calls, answers and lists late.
	Late   Lateness
	Random *rand.Rand
	Queues map[mothferry.QueueID]mfsched.Queue
	// Accounts are the client accounts; SetAccounts changes them during the simulation.
	Accounts map[mothferry.AccountID]mfsched.Account
	// Standby holds the pools whose machines are off.
	Standby map[mothferry.ServiceID]bool
	// Off holds the features that are switched off.
	Off mothferry.FeaturesOff
	// Estimates are the errors of the tasks' estimates.
	Estimates EstimateErrors
	// Moves lets the owner move machines between pools.
	Moves bool

	now      time.Time
	events   eventHeap
	sequence int
	owner    *owner
	epoch    mothferry.Epoch
	// rows is the store.
	rows mfstandin.Rows
	// committed is the last stored progress of each job. Only checks use it: owners read the
	// rows.
	committed map[mothferry.JobID]mfjob.Progress
	jobs      map[mothferry.JobID]*jobRecord
	jobOrder  []mothferry.JobID
	workers   map[mothferry.WorkerID]*worker
	// startedOn holds all workers that ever started a task.
	startedOn    map[mothferry.TaskName][]*worker
	machines     []*machine
	waves        map[mothferry.WaveID]*wave
	hosts        []*host
	accountStats map[mothferry.AccountID]*AccountStats
	// submissions counts the jobs submitted at hosts, for their ids.
	submissions    int
	workersStarted int
	// queueErrors holds the common factor of all task times of each queue, relative to their
	// estimates.
	queueErrors map[mothferry.QueueID]float64
	// taskTexts caches the results of taskText.
	taskTexts map[mothferry.TaskName]string
	// limits holds the limit of each account, the highest of all configs that may be in force.
	limits map[mothferry.AccountID]mothferry.Resources
	// lateOrderLimits holds the limits at the time when the late order was sent.
	lateOrderLimits map[mothferry.AccountID]mothferry.Resources
	// accountChanges counts the changes of the accounts.
	accountChanges int
	// faultUntilTime is the time until which a fault may affect owners.
	faultUntilTime time.Time
	// lateOrder is set while a worker executes an order late, origin while it executes one of a
	// known origin.
	lateOrder bool
	origin    origin
	// relayStalledUntil holds until when each stalled relay holds calls.
	relayStalledUntil map[string]time.Time
	// lists holds the latest lists of machines, decisions the latest decisions of owners.
	lists     []composedList
	decisions []tracedDecision
	// doneRuns holds the run that completed each task.
	doneRuns map[mothferry.TaskName]doneRun
	// headStoredAt is when the head was last stored.
	headStoredAt time.Time
	// Stats is filled during the simulation.
	Stats Stats
	// OnDecision is called with each decision that the owner logs; it may be nil.
	OnDecision func(at time.Duration, d mfsched.Decision)
	// Violations holds the violated invariants.
	Violations []string
	// Twice holds those violations in which a task runs twice, with the history of both runs.
	Twice []string
}

// jobRecord is the simulated state of one job.
type jobRecord struct {
	id         mothferry.JobID
	submission mfjob.Submission
	cancelled  time.Time
	completed  time.Time
	state      mfjob.State
	// submissionDeleted is set once the submission is deleted.
	submissionDeleted bool
	// lastServing holds when the lasting tasks that are unavailable last served.
	lastServing map[mothferry.TaskName]lastServing
	// done holds the tasks of which a run has completed.
	done map[mothferry.TaskName]bool
	// doneAt is when the first of these runs completed.
	doneAt map[mothferry.TaskName]time.Time
	// taskDurations holds the time of each task; nil if it is drawn for each run.
	taskDurations map[mothferry.TaskName]time.Duration
	// crashingTask is the task that crashes each worker that starts it, or nil.
	crashingTask *mothferry.TaskName
	// crashes counts the workers that crashed while they ran a task, failures the failed runs
	// of a task.
	crashes, failures map[mothferry.TaskName]int
	// crashRestarts counts the starts of the crashing task after crashBudget crashes.
	crashRestarts int
	// crashingTaskStartedAt is the last start of a lasting job's crashing task.
	crashingTaskStartedAt time.Time
}

// Stats are the statistics of a simulation.
type Stats struct {
	Jobs    int
	OnTime  int
	Late    int
	TooLate int
	Failed  int
	// WeightedOnTime is the on-time fraction of the jobs, weighted by their work;
	// LargestOnTime is the on-time fraction of the tenth of each queue's jobs with the most
	// work.
	WeightedOnTime float64
	LargestOnTime  float64
	// OnTimeByQueue holds the on-time fraction of each queue's jobs.
	OnTimeByQueue map[mothferry.QueueID]float64
	Moves         int
	Maintenances  int
	Starts        int
	Polls         int
	Stops         int
	Commits       int
	Refused       int
	Takeovers     int
	// EmptyLogs counts the takeovers that found no row in the progress log.
	EmptyLogs int
	// CrashingJobs counts the jobs that have a crashing task, Crashes the workers that such
	// tasks crashed, and UnrelatedFailures the jobs without such a task that are stored as
	// failed.
	CrashingJobs      int
	Crashes           int
	UnrelatedFailures int
	// Violations counts the violated invariants.
	Violations int
	// MachineSeconds is the total time of machines in pools that are not on standby.
	MachineSeconds float64
	// Series holds a sample each half second, for a plot.
	Series []Point
}

// Point is one sample of the simulation.
type Point struct {
	At       time.Duration
	Running  int
	Waiting  int
	Machines map[mothferry.ServiceID]int
}

// event is a function to be run at a simulated time.
type event struct {
	at       time.Time
	sequence int
	run      func()
}

type eventHeap []event

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// Begin initializes the world. The first owner takes over without delay.
func (w *World) Begin() {
	w.now = StartTime
	w.committed = map[mothferry.JobID]mfjob.Progress{}
	w.jobs = map[mothferry.JobID]*jobRecord{}
	w.workers = map[mothferry.WorkerID]*worker{}
	w.taskTexts = map[mothferry.TaskName]string{}
	w.waves = map[mothferry.WaveID]*wave{}
	w.accountStats = map[mothferry.AccountID]*AccountStats{}
	w.queueErrors = map[mothferry.QueueID]float64{}
	w.startedOn = map[mothferry.TaskName][]*worker{}
	w.limits = map[mothferry.AccountID]mothferry.Resources{}
	for id, a := range w.Accounts {
		w.limits[id] = a.Limit
	}
	w.TakeOver()
	w.every(sampleInterval, w.sample)
}

// taskText returns a task's name as text, by which runs are sorted; the text is formatted
// once.
func (w *World) taskText(name mothferry.TaskName) string {
	text, known := w.taskTexts[name]
	if !known {
		text = fmt.Sprint(name)
		w.taskTexts[name] = text
	}
	return text
}

// Now returns the simulated time since StartTime.
func (w *World) Now() time.Duration { return w.now.Sub(StartTime) }

// At schedules f at a time since StartTime.
func (w *World) At(d time.Duration, f func()) { w.at(StartTime.Add(d), f) }

func (w *World) at(t time.Time, f func()) {
	w.sequence++
	heap.Push(&w.events, event{at: t, sequence: w.sequence, run: f})
}

func (w *World) after(d time.Duration, f func()) { w.at(w.now.Add(d), f) }

func (w *World) every(d time.Duration, f func()) {
	w.after(d, func() {
		f()
		w.every(d, f)
	})
}

// Run runs the simulation until a time since StartTime.
func (w *World) Run(until time.Duration) {
	end := StartTime.Add(until)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

func (w *World) chance(p float64) bool { return p > 0 && w.Random.Float64() < p }

func (w *World) violation(format string, values ...any) {
	w.Violations = append(w.Violations, fmt.Sprintf("%v: ", w.Now())+fmt.Sprintf(format, values...))
}

// sample adds a point to the series, accumulates machine time and extends the fault period
// while calls may be lost.
func (w *World) sample() {
	if w.Faults.affectCalls() || w.Late.affectsCalls() {
		w.extendFault(w.now.Add(sampleInterval))
	}
	p := Point{At: w.Now(), Machines: map[mothferry.ServiceID]int{}}
	for _, m := range w.machines {
		p.Machines[m.pool]++
		if !w.Standby[m.pool] {
			w.Stats.MachineSeconds += 0.5
		}
	}
	for _, o := range w.workers {
		p.Running += len(o.running)
	}
	for _, c := range w.jobs {
		if !c.state.Final() && c.state != mfjob.StateRunning {
			p.Waiting++
		}
	}
	w.Stats.Series = append(w.Stats.Series, p)
}
