// Package mfemulate is a model of what mothferry serves: a store, workers,
// machines and callers, in simulated time. The real decisions (mfsched,
// mfduty) run against it, so that a change of policy is measured in a second
// and thousands of seeded histories of faults are played in a test.
//
// Owners store progress in rows and read it as the real owner does (mfjournal).
//
// The model keeps to what the platform promises of workers: fencing by epoch,
// leases by the worker's own clock, ends that are listed until they are noted,
// orders that are lost, answered late, or carried out late. A checker watches
// every start and each end by an order; what it finds is a fault of the decisions.
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

// Faults are how often things go wrong, as probabilities of one call.
type Faults struct {
	// LoseOrder: the order never arrives. LoseAnswer: it is carried out, and
	// the answer is lost. LateOrder: it has no answer and is carried out up to
	// LateBy later; this holds for looks too.
	LoseOrder  float64
	LoseAnswer float64
	LateOrder  float64
	LateBy     time.Duration
	// LoseCommitAnswer: a commit's answer is lost, and the owner has to ask again.
	LoseCommitAnswer float64
	// FailTask: a run fails.
	FailTask float64
	// CrashJob: one task of a job ends each worker that starts it, CrashAfter later. The
	// worker is back CrashDown after that.
	CrashJob   float64
	CrashAfter time.Duration
	CrashDown  time.Duration
	// MeanLastingTime is for how long a lasting run goes on, in the mean, before it fails by itself;
	// zero for ever.
	MeanLastingTime time.Duration
	// ReuseID: a worker starts again under the id that it had.
	ReuseID float64
}

// affectCalls reports whether calls may go wrong.
func (f Faults) affectCalls() bool {
	return f.LoseOrder > 0 || f.LoseAnswer > 0 || f.LateOrder > 0 || f.LoseCommitAnswer > 0
}

// Times of the model, as the platform's pages and bench days show them.
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

// World is the whole model. The exported fields are set before Run.
type World struct {
	Limits mfsched.Limits
	Faults Faults
	Random *rand.Rand
	Queues map[mothferry.QueueID]mfsched.Queue
	// Accounts are the client accounts; SetAccounts changes them while the world runs.
	Accounts map[mothferry.AccountID]mfsched.Account
	// Standby holds the pools whose machines are off.
	Standby map[mothferry.ServiceID]bool
	// Off holds the features that are switched off.
	Off mothferry.FeaturesOff
	// Estimates say how far off estimates of tasks are.
	Estimates EstimateErrors
	// Moves says that duties run: machines move between pools.
	Moves bool

	now      time.Time
	events   eventHeap
	sequence int
	owner    *owner
	epoch    mothferry.Epoch
	// rows is the store.
	rows mfstandin.Rows
	// committed is what was last stored of each job. It is for the checks alone: owners
	// read the rows.
	committed map[mothferry.JobID]mfjob.Progress
	jobs      map[mothferry.JobID]*jobRecord
	jobOrder  []mothferry.JobID
	workers   map[mothferry.WorkerID]*worker
	// startedOn holds the workers that ever began a task.
	startedOn    map[mothferry.TaskName][]*worker
	machines     []*machine
	waves        map[mothferry.WaveID]*wave
	hosts        []*host
	accountStats map[mothferry.AccountID]*AccountStats
	// submissions numbers what callers ask for.
	submissions    int
	workersStarted int
	// queueErrors is by what factor the estimates of each queue are off.
	queueErrors map[mothferry.QueueID]float64
	// taskTexts holds the texts of printed.
	taskTexts map[mothferry.TaskName]string
	// limits holds what each account may have running by any config that may be in force.
	limits map[mothferry.AccountID]mothferry.Resources
	// lateOrderLimits holds the limits at the moment when the order was sent that is carried out late.
	lateOrderLimits map[mothferry.AccountID]mothferry.Resources
	// accountChanges counts the changes of the accounts.
	accountChanges int
	// faultUntilTime is until when a fault acts on owners.
	faultUntilTime time.Time
	// lateOrder says that an order is carried out that its worker has held back.
	lateOrder bool
	// Stats is filled while the world runs.
	Stats Stats
	// OnDecision is told of each decision that the owner logs; it may be nil.
	OnDecision func(at time.Duration, d mfsched.Decision)
	// Violations holds what the checker found.
	Violations []string
}

// jobRecord is what the model knows of one job.
type jobRecord struct {
	id         mothferry.JobID
	submission mfjob.Submission
	cancelled  time.Time
	completed  time.Time
	state      mfjob.State
	// submissionDeleted says that what was handed in is deleted.
	submissionDeleted bool
	// lastServing tells how lasting tasks were last at work that are away.
	lastServing map[mothferry.TaskName]lastServing
	// done holds tasks of which a run has done its work.
	done map[mothferry.TaskName]bool
	// doneAt is when the first of them did.
	doneAt map[mothferry.TaskName]time.Time
	// taskDurations holds how long each task takes; nil if that is drawn for each run.
	taskDurations map[mothferry.TaskName]time.Duration
	// crashingTask is the task that ends each worker that starts it, if there is one.
	crashingTask *mothferry.TaskName
	// crashes counts the workers that have crashed while a task ran there, failures the
	// runs of a task that ended failed.
	crashes, failures map[mothferry.TaskName]int
	// crashRestarts counts the starts of the crashing task after crashBudget crashes.
	crashRestarts int
	// crashingTaskStartedAt is when the crashing task of a lasting job was last started.
	crashingTaskStartedAt time.Time
}

// Stats are what a run of the model measured.
type Stats struct {
	Jobs    int
	OnTime  int
	Late    int
	TooLate int
	Failed  int
	// WeightedOnTime is the part of the jobs' worth that was in time, by their work; Wide
	// the part in time of the largest tenth of each queue's jobs.
	WeightedOnTime float64
	LargestOnTime  float64
	// OnTimeByQueue holds the part in time of each queue's jobs.
	OnTimeByQueue map[mothferry.QueueID]float64
	Moves         int
	Maintenances  int
	Starts        int
	Polls         int
	Stops         int
	Commits       int
	Refused       int
	Takeovers     int
	// EmptyLogs counts the takeovers that found no row in the log of progress.
	EmptyLogs int
	// CrashingJobs counts the jobs that have a task that ends its workers, Crashes the
	// workers that ended so, Blameless the jobs shown as failed without such a task.
	CrashingJobs      int
	Crashes           int
	UnrelatedFailures int
	// Violations counts what the checker found.
	Violations int
	// MachineSeconds is the time of machines in pools that are not on standby.
	MachineSeconds float64
	// Series holds a point each half second, for a plot.
	Series []Point
}

// Point is the state of the world at one moment.
type Point struct {
	At       time.Duration
	Running  int
	Waiting  int
	Machines map[mothferry.ServiceID]int
}

// event is something that happens at a time.
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

// Begin prepares the world. Its first owner takes over at once.
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

// taskText returns the text of a name by which runs are ordered; each is printed once.
func (w *World) taskText(name mothferry.TaskName) string {
	text, known := w.taskTexts[name]
	if !known {
		text = fmt.Sprint(name)
		w.taskTexts[name] = text
	}
	return text
}

// Now returns the simulated time since the beginning.
func (w *World) Now() time.Duration { return w.now.Sub(StartTime) }

// At has f run at a time since the beginning.
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

// Run lets the world go on until a time since its beginning.
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

// sample takes a point for the plot, counts machine time and notes faults of calls.
func (w *World) sample() {
	if w.Faults.affectCalls() {
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
