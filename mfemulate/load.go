package mfemulate

import (
	"cmp"
	"math"
	"math/rand/v2"
	"os"
	"time"

	"github.com/gravitational/trace"

	"mothferry"
	"mothferry/mfjob"
	"mothferry/mfsched"
	"mothferry/mfyaml"
)

// Load is a load file: services with machines, and queues with their traffic.
type Load struct {
	// Duration is how long traffic lasts.
	Duration time.Duration `yaml:"for"`
	Services []LoadService `yaml:"services"`
	Queues   []LoadQueue   `yaml:"queues"`
	Faults   LoadFaults    `yaml:"faults"`
	// Hosts is the number of entry hosts that accept jobs; without any, no job is refused.
	Hosts int `yaml:"hosts"`
	// Retries is how often a caller retries a refused job.
	Retries int `yaml:"returns"`
	// Accounts are the client accounts, which share all traffic by their weights.
	Accounts []LoadAccount `yaml:"accounts"`
	// Surge multiplies the traffic of all accounts.
	Surge LoadSurge `yaml:"surge"`
	// Estimates are the errors of the tasks' estimates.
	Estimates EstimateErrors `yaml:"estimates"`
	// Degraded are the periods in which workers are slow or hang tasks.
	Degraded []LoadDegraded `yaml:"uneven"`
}

// LoadAccount is one client account.
type LoadAccount struct {
	Name mothferry.AccountID `yaml:"name"`
	// Weight is the account's weight, and its share of the traffic relative to the others'.
	Weight float64 `yaml:"weight"`
	// Cores is the account's limit of running cores; zero for none.
	Cores float64   `yaml:"cores"`
	Surge LoadSurge `yaml:"surge"`
}

// LoadSurge multiplies normal traffic by Factor for Duration, beginning at Start.
type LoadSurge struct {
	Start    time.Duration `yaml:"at"`
	Duration time.Duration `yaml:"for"`
	Factor   float64       `yaml:"times"`
}

// factorAt returns the multiple of normal traffic at d after its beginning.
func (s LoadSurge) factorAt(d time.Duration) float64 {
	if d < s.Start || d >= s.Start+s.Duration {
		return 1
	}
	return s.Factor
}

// LoadFaults are faults that occur during the whole play.
type LoadFaults struct {
	// LateOrders is the fraction of the orders and polls that get no answer and are executed
	// up to LateBy later.
	LateOrders float64       `yaml:"late_orders"`
	LateBy     time.Duration `yaml:"late_by"`
	// CrashJobs is the fraction of the jobs with a task that crashes each worker that starts
	// it, CrashAfter its start. The worker restarts CrashDown later.
	CrashJobs  float64       `yaml:"crash_jobs"`
	CrashAfter time.Duration `yaml:"crash_after"`
	CrashDown  time.Duration `yaml:"crash_down"`
}

func (f LoadFaults) faults() Faults {
	return Faults{LateOrder: f.LateOrders, LateBy: f.LateBy, CrashJob: f.CrashJobs, CrashAfter: f.CrashAfter, CrashDown: f.CrashDown}
}

// LoadService is one pool.
type LoadService struct {
	Name     mothferry.ServiceID `yaml:"name"`
	Machines int                 `yaml:"machines"`
	Cores    float64             `yaml:"cores"`
	// Memory is each machine's memory in GiB; zero for defaultMemoryGiB.
	Memory  float64 `yaml:"memory"`
	Standby bool    `yaml:"standby"`
}

// LoadQueue is one queue and its traffic.
type LoadQueue struct {
	Name     mothferry.QueueID   `yaml:"name"`
	Service  mothferry.ServiceID `yaml:"service"`
	Priority int                 `yaml:"priority"`
	Attempts int                 `yaml:"attempts"`
	Stretch  float64             `yaml:"stretch"`
	Latency  time.Duration       `yaml:"latency"`
	// Jobs is the mean number of jobs a second.
	Jobs float64 `yaml:"jobs"`
	// Steps, Tasks, TaskTime and Cores are means: steps of a job, tasks of a step, and the
	// time and cores of a task.
	Steps    float64       `yaml:"steps"`
	Tasks    float64       `yaml:"tasks"`
	TaskTime time.Duration `yaml:"task"`
	Cores    float64       `yaml:"cores"`
	// Memory is the mean memory of a task in GiB, drawn for each step like the cores.
	Memory float64 `yaml:"memory"`
	// Speculative is the fraction of the steps that allow speculative copies.
	Speculative float64 `yaml:"speculative"`
	// LastingTasks is the number of tasks of the queue's one lasting job.
	LastingTasks int      `yaml:"lasting"`
	Peak         LoadPeak `yaml:"turn"`
}

// LoadPeak shapes a queue's traffic. For Duration out of each Period it is Factor times the
// mean, and OffPeakFactor times the mean otherwise. Without a Period traffic is even.
type LoadPeak struct {
	Period        time.Duration `yaml:"every"`
	Duration      time.Duration `yaml:"for"`
	Phase         time.Duration `yaml:"phase"`
	Factor        float64       `yaml:"times"`
	OffPeakFactor float64       `yaml:"else"`
	// Smooth peaks rise to Factor by their middle and fall again, as the square of a sine.
	Smooth bool `yaml:"smooth"`
}

// ReadLoad reads and checks a load file.
func ReadLoad(file string) (Load, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Load{}, trace.Wrap(err)
	}
	return DecodeLoad(file, data)
}

// DecodeLoad decodes and checks a load; file names it in errors.
func DecodeLoad(file string, data []byte) (Load, error) {
	var l Load
	text := mfyaml.Decode(file, data, &l)
	if l.Duration <= 0 {
		text.Reject("for", "must say how long traffic lasts, such as 40s")
	}
	known := map[mothferry.ServiceID]bool{}
	for _, s := range l.Services {
		known[s.Name] = true
		if s.Machines < 0 || s.Cores <= 0 || s.Memory < 0 {
			text.Reject("services", "each needs machines, cores above 0 and no memory below 0")
		}
	}
	for _, q := range l.Queues {
		if !known[q.Service] {
			text.Reject("queues", "service must name one of the services")
		}
		if q.Memory < 0 || q.Jobs < 0 || q.TaskTime <= 0 || q.Cores <= 0 || q.Tasks < 1 || q.Steps < 1 || q.Stretch <= 0 || q.Attempts < 1 {
			text.Reject("queues", "each needs jobs, steps, tasks, task, cores, stretch and attempts, and no memory below 0")
		}
	}
	for _, a := range l.Accounts {
		if a.Name == "" || a.Weight <= 0 || a.Cores < 0 || a.Surge.Factor < 0 {
			text.Reject("accounts", "each needs a name and a weight above 0")
		}
	}
	if l.Hosts < 0 || l.Retries < 0 {
		text.Reject("hosts", "hosts and returns must be 0 or more")
	}
	for _, u := range l.Degraded {
		if !known[u.Service] || u.Fraction < 0 || u.Fraction > 1 || u.SlowFactor < 0 || u.HangFraction < 0 || u.HangFraction > 1 {
			text.Reject("uneven", "each needs one of the services, share and hang from 0 to 1, and slow above 0")
		}
	}
	return l, text.Err()
}

// defaultMemoryGiB is the memory of a machine if the load file names none.
const defaultMemoryGiB = 32

func gibibytes(amount float64) mothferry.Bytes {
	return mothferry.Bytes(amount * float64(mothferry.Gibibyte))
}

// settleTime is how long a play continues after the traffic.
const settleTime = 20 * time.Second

// Options are the options of a play.
type Options struct {
	Limits mfsched.Limits
	Seed   uint64
	// Moves lets machines move between pools.
	Moves bool
	// Off holds the features that are switched off.
	Off mothferry.FeaturesOff
}

// Play simulates a load with the faults that it names and returns its statistics.
func Play(l Load, o Options) Stats { return l.play(o).Summarize() }

// PlayAccounts simulates a load and also returns the job counts of each account.
func PlayAccounts(l Load, o Options) (Stats, map[mothferry.AccountID]AccountStats) {
	w := l.play(o)
	return w.Summarize(), w.AccountStats()
}

// play simulates a load.
func (l Load) play(o Options) *World {
	w := &World{
		Limits: o.Limits, Faults: l.Faults.faults(), Random: rand.New(rand.NewPCG(o.Seed, 1)), Moves: o.Moves, Off: o.Off, Estimates: l.Estimates,
		Queues: map[mothferry.QueueID]mfsched.Queue{}, Standby: map[mothferry.ServiceID]bool{},
	}
	for _, q := range l.Queues {
		w.Queues[q.Name] = mfsched.Queue{Service: q.Service, Priority: q.Priority, MaxAttempts: q.Attempts, Stretch: q.Stretch, Latency: q.Latency}
	}
	for _, s := range l.Services {
		if s.Standby {
			w.Standby[s.Name] = true
		}
	}
	if len(l.Accounts) > 0 {
		w.Accounts = map[mothferry.AccountID]mfsched.Account{}
	}
	for _, a := range l.Accounts {
		w.Accounts[a.Name] = mfsched.Account{Weight: a.Weight, Limit: mothferry.Resources{Cores: mothferry.Millicores(a.Cores * 1000)}}
	}
	w.Begin()
	w.AddHosts(l.Hosts)
	for _, s := range l.Services {
		w.AddMachines(s.Name, s.Machines, mothferry.Resources{Cores: mothferry.Millicores(s.Cores * 1000), Memory: gibibytes(cmp.Or(s.Memory, defaultMemoryGiB))})
	}
	for _, q := range l.Queues {
		w.submitLastingJob(q)
		if len(l.Accounts) == 0 {
			w.scheduleArrivals(q, leadTime, leadTime+l.Duration)
		}
		for _, a := range l.Accounts {
			w.scheduleAccountArrivals(l, q, a)
		}
	}
	for _, u := range l.Degraded {
		w.At(leadTime+u.Start, func() { w.degradePool(u) })
	}
	w.Run(leadTime + l.Duration + settleTime)
	return w
}

// scheduleAccountArrivals schedules the arrivals of an account's jobs of a queue.
func (w *World) scheduleAccountArrivals(l Load, q LoadQueue, a LoadAccount) {
	weights := 0.0
	for _, o := range l.Accounts {
		weights += o.Weight
	}
	mean := q.Jobs * a.Weight / weights
	maxRate := mean * max(1, q.Peak.Factor, q.Peak.OffPeakFactor) * max(1, a.Surge.Factor) * max(1, l.Surge.Factor)
	for at := time.Duration(0); ; {
		at += time.Duration(w.Random.ExpFloat64() / maxRate * float64(time.Second))
		if at >= l.Duration {
			return
		}
		// An account's own surge replaces that of all accounts.
		factor := l.Surge.factorAt(at)
		if own := a.Surge.factorAt(at); own != 1 {
			factor = own
		}
		if w.Random.Float64() < mean*q.Peak.factorAt(at)*factor/maxRate {
			s := w.drawJob(q)
			s.Account = a.Name
			w.At(leadTime+at, func() {
				if len(w.hosts) == 0 {
					w.Submit(s)
					return
				}
				w.SubmitAtHost(s, l.Retries)
			})
		}
	}
}

// leadTime passes before traffic begins, so that the owner may move machines.
const leadTime = 5 * time.Second

func (w *World) submitLastingJob(q LoadQueue) {
	if q.LastingTasks == 0 {
		return
	}
	w.At(time.Second, func() {
		w.Submit(mfjob.Submission{Queue: q.Name, Service: q.Service, Spec: "spec", Steps: []mfjob.Step{{
			Count: q.LastingTasks, Need: mothferry.Resources{Cores: 1500}, Estimate: 500 * time.Millisecond,
			Lasting: true, PerWorker: 1, MayMiss: 1,
		}}})
	})
}

// scheduleArrivals schedules random arrivals of a queue's jobs, shaped by its peaks.
func (w *World) scheduleArrivals(q LoadQueue, begin, end time.Duration) {
	maxRate := q.Jobs * max(1, q.Peak.Factor, q.Peak.OffPeakFactor)
	for at := begin; ; {
		at += time.Duration(w.Random.ExpFloat64() / maxRate * float64(time.Second))
		if at >= end {
			return
		}
		if w.Random.Float64() < q.Jobs*q.Peak.factorAt(at-begin)/maxRate {
			s := w.drawJob(q)
			w.At(at, func() { w.Submit(s) })
		}
	}
}

// factorAt returns the multiple of the queue's mean traffic at d after its beginning.
func (t LoadPeak) factorAt(d time.Duration) float64 {
	if t.Period <= 0 {
		return 1
	}
	into := (d + t.Period - t.Phase) % t.Period
	switch {
	case into >= t.Duration:
		return t.OffPeakFactor
	case t.Smooth:
		rise := math.Sin(math.Pi * float64(into) / float64(t.Duration))
		return max(t.OffPeakFactor, t.Factor*rise*rise)
	default:
		return t.Factor
	}
}

// drawJob draws a job of a queue. Numbers of tasks and times are log-normal, as in the users'
// traffic: many small jobs, and a few that are several times as wide.
func (w *World) drawJob(q LoadQueue) mfjob.Submission {
	s := mfjob.Submission{Queue: q.Name, Service: q.Service, Spec: "spec"}
	steps := int(q.Steps)
	if w.Random.Float64() < q.Steps-math.Floor(q.Steps) {
		steps++
	}
	for i := range max(1, steps) {
		p := mfjob.Step{
			Count:    max(1, int(math.Round(w.logNormal(q.Tasks, 0.6)))),
			Need:     mothferry.Resources{Cores: mothferry.Millicores(1000 * min(3*q.Cores, w.logNormal(q.Cores, 0.45)))},
			Estimate: time.Duration(w.logNormal(float64(q.TaskTime), 0.5)),
		}
		if q.Memory > 0 {
			p.Need.Memory = gibibytes(min(3*q.Memory, w.logNormal(q.Memory, 0.45)))
		}
		if i > 0 {
			p.After = []int{i - 1}
		}
		p.Speculative = w.chance(q.Speculative)
		s.Steps = append(s.Steps, p)
	}
	return s
}

// logNormal draws from a log-normal distribution with a mean and a standard deviation of the
// logarithm.
func (w *World) logNormal(mean, sigma float64) float64 {
	return mean * math.Exp(sigma*w.Random.NormFloat64()-sigma*sigma/2)
}
