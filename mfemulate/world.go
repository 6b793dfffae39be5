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

// Epoch0 is when simulated time begins.
var Epoch0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Faults are how often things go wrong, as probabilities of one call.
type Faults struct {
	// LoseOrder: the order never arrives. LoseAnswer: it is carried out, and
	// the answer is lost. LateOrder: it has no answer and is carried out up to
	// LateBy later; this holds for looks too.
	LoseOrder  float64
	LoseAnswer float64
	LateOrder  float64
	LateBy     time.Duration
	// LoseCommit: a commit's answer is lost, and the owner has to ask again.
	LoseCommit float64
	// FailTask: a run fails.
	FailTask float64
	// CrashJob: one task of a job ends each worker that starts it, CrashAfter later. The
	// worker is back CrashDown after that.
	CrashJob   float64
	CrashAfter time.Duration
	CrashDown  time.Duration
	// LastingFor is for how long a lasting run goes on, in the mean, before it fails by itself;
	// zero for ever.
	LastingFor time.Duration
	// SameID: a worker starts again under the id that it had.
	SameID float64
}

// ofCalls reports whether calls may go wrong.
func (f Faults) ofCalls() bool {
	return f.LoseOrder > 0 || f.LoseAnswer > 0 || f.LateOrder > 0 || f.LoseCommit > 0
}

// Times of the model, as the platform's pages and bench days show them.
const (
	orderDelay  = 1500 * time.Microsecond
	commitDelay = 6 * time.Millisecond
	callTimeout = 700 * time.Millisecond
	tickEvery   = 10 * time.Millisecond
	stopTakes   = 300 * time.Millisecond
	dutyEvery   = 150 * time.Millisecond
	moveTakes   = 1500 * time.Millisecond
	upkeepTakes = 2 * time.Second
	listLag     = 150 * time.Millisecond
	sampleEvery = 500 * time.Millisecond
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
	Estimates Estimates
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
	jobs      map[mothferry.JobID]*caller
	order     []mothferry.JobID
	workers   map[mothferry.WorkerID]*worker
	// begun holds the workers that ever began a task.
	begun    map[mothferry.TaskName][]*worker
	machines []*machine
	waves    map[mothferry.WaveID]*wave
	hosts    []*host
	asked    map[mothferry.AccountID]*Asked
	// serial numbers what callers ask for.
	serial int
	lives  int
	// off is by what factor the estimates of each queue are off.
	off map[mothferry.QueueID]float64
	// names holds the texts of printed.
	names map[mothferry.TaskName]string
	// limits holds what each account may have running by any config that may be in force.
	limits map[mothferry.AccountID]mothferry.Resources
	// lateLimits holds the limits at the moment when the order was sent that is carried out late.
	lateLimits map[mothferry.AccountID]mothferry.Resources
	// changes counts the changes of the accounts.
	changes int
	// faulty is until when a fault acts on owners.
	faulty time.Time
	// late says that an order is carried out that its worker has held back.
	late bool
	// Figures is filled while the world runs.
	Figures Figures
	// Watch is told of each decision that the owner logs; it may be nil.
	Watch func(at time.Duration, d mfsched.Decision)
	// Broken holds what the checker found.
	Broken []string
}

// caller is what the model knows of one job.
type caller struct {
	id         mothferry.JobID
	submission mfjob.Submission
	cancelled  time.Time
	completed  time.Time
	state      mfjob.State
	// dropped says that what was handed in is deleted.
	dropped bool
	// left tells how lasting tasks were last at work that are away.
	left map[mothferry.TaskName]departure
	// done holds tasks of which a run has done its work.
	done map[mothferry.TaskName]bool
	// doneAt is when the first of them did.
	doneAt map[mothferry.TaskName]time.Time
	// takes holds how long each task takes; nil if that is drawn for each run.
	takes map[mothferry.TaskName]time.Duration
	// crashing is the task that ends each worker that starts it, if there is one.
	crashing *mothferry.TaskName
	// crashes counts the workers that have crashed while a task ran there, failures the
	// runs of a task that ended failed.
	crashes, failures map[mothferry.TaskName]int
	// repeats counts the starts of the crashing task after crashBudget crashes.
	repeats int
	// begun is when the crashing task of a lasting job was last started.
	begun time.Time
}

// Figures are what a run of the model measured.
type Figures struct {
	Jobs    int
	InTime  int
	Late    int
	TooLate int
	Failed  int
	// Worth is the part of the jobs' worth that was in time, by their work; Wide
	// the part in time of the largest tenth of each queue's jobs.
	Worth float64
	Wide  float64
	// Queues holds the part in time of each queue's jobs.
	Queues    map[mothferry.QueueID]float64
	Moves     int
	Upkeeps   int
	Starts    int
	Looks     int
	Stops     int
	Commits   int
	Refused   int
	Takeovers int
	// EmptyLogs counts the takeovers that found no row in the log of progress.
	EmptyLogs int
	// Crashing counts the jobs that have a task that ends its workers, Crashes the
	// workers that ended so, Blameless the jobs shown as failed without such a task.
	Crashing  int
	Crashes   int
	Blameless int
	// Broken counts what the checker found.
	Broken int
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
	w.now = Epoch0
	w.committed = map[mothferry.JobID]mfjob.Progress{}
	w.jobs = map[mothferry.JobID]*caller{}
	w.workers = map[mothferry.WorkerID]*worker{}
	w.names = map[mothferry.TaskName]string{}
	w.waves = map[mothferry.WaveID]*wave{}
	w.asked = map[mothferry.AccountID]*Asked{}
	w.off = map[mothferry.QueueID]float64{}
	w.begun = map[mothferry.TaskName][]*worker{}
	w.limits = map[mothferry.AccountID]mothferry.Resources{}
	for id, a := range w.Accounts {
		w.limits[id] = a.Limit
	}
	w.TakeOver()
	w.every(sampleEvery, w.sample)
}

// printed returns the text of a name by which runs are ordered; each is printed once.
func (w *World) printed(name mothferry.TaskName) string {
	text, known := w.names[name]
	if !known {
		text = fmt.Sprint(name)
		w.names[name] = text
	}
	return text
}

// Now returns the simulated time since the beginning.
func (w *World) Now() time.Duration { return w.now.Sub(Epoch0) }

// At has f run at a time since the beginning.
func (w *World) At(d time.Duration, f func()) { w.at(Epoch0.Add(d), f) }

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
	end := Epoch0.Add(until)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

func (w *World) chance(p float64) bool { return p > 0 && w.Random.Float64() < p }

func (w *World) broken(format string, values ...any) {
	w.Broken = append(w.Broken, fmt.Sprintf("%v: ", w.Now())+fmt.Sprintf(format, values...))
}

// sample takes a point for the plot, counts machine time and notes faults of calls.
func (w *World) sample() {
	if w.Faults.ofCalls() {
		w.faultUntil(w.now.Add(sampleEvery))
	}
	p := Point{At: w.Now(), Machines: map[mothferry.ServiceID]int{}}
	for _, m := range w.machines {
		p.Machines[m.pool]++
		if !w.Standby[m.pool] {
			w.Figures.MachineSeconds += 0.5
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
	w.Figures.Series = append(w.Figures.Series, p)
}
