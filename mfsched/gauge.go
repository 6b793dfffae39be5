package mfsched

import (
	"time"

	"mothferry"
)

// Gauge is a shard's load, for the log and for operators.
type Gauge struct {
	// Live counts jobs that have not finished, Dirty the jobs whose changes are in no commit yet.
	Live, Dirty int
	Advice      AdviceGauge
	// RowFull counts the jobs with tasks that wait for room in their row.
	RowFull int
	// Pools holds the gauges of the services' workers.
	Pools map[mothferry.ServiceID]PoolGauge
}

// AdviceGauge is the load of the adviser.
type AdviceGauge struct {
	// Waiting counts the steps that wait for a call, Unanswered the calls without an answer.
	Waiting, Unanswered int
	// Wait is a lower bound on how long a step that is ready now waits for its advice.
	Wait time.Duration
}

// PoolGauge is the load of a service's workers.
type PoolGauge struct {
	// Listed counts the service's workers, Usable those that may get work now.
	Listed, Usable int
	// Cores and Memory are the reserved fractions of the usable workers' capacity.
	Cores, Memory float64
	// Waiting counts the ready tasks that wait for a worker, Running those that are, or may be,
	// on one.
	Waiting, Running int
}

// Gauge returns the shard's current load.
func (s *State) Gauge(now time.Time) Gauge {
	g := Gauge{Live: len(s.live), Dirty: len(s.dirty), Advice: s.advice.gauge(now), Pools: map[mothferry.ServiceID]PoolGauge{}}
	capacity, used := map[mothferry.ServiceID]mothferry.Resources{}, map[mothferry.ServiceID]mothferry.Resources{}
	for _, w := range s.sortedWorkers {
		if !w.listed || s.unknownService(w) {
			continue
		}
		p := g.Pools[w.Service]
		p.Listed++
		p.Running += len(w.tasks)
		if s.isSchedulable(w, now) {
			p.Usable++
			capacity[w.Service] = capacity[w.Service].Add(w.Capacity)
			used[w.Service] = used[w.Service].Add(w.used)
		}
		g.Pools[w.Service] = p
	}
	for _, j := range s.live {
		if j.isRowFull(now) {
			g.RowFull++
		}
		service := s.queueOf(j).Service
		p := g.Pools[service]
		p.Waiting += waitingTasks(j, now)
		g.Pools[service] = p
	}
	for service, p := range g.Pools {
		p.Cores = fraction(float64(used[service].Cores), float64(capacity[service].Cores))
		p.Memory = fraction(float64(used[service].Memory), float64(capacity[service].Memory))
		g.Pools[service] = p
	}
	return g
}

func waitingTasks(j *job, now time.Time) int {
	count := 0
	for _, o := range j.occurrences {
		if o.scheduledAt.After(now) {
			break
		}
		for _, p := range readySteps(o) {
			count += p.waiting
		}
	}
	return count
}

func fraction(part, whole float64) float64 {
	if whole <= 0 {
		return 0
	}
	return part / whole
}
