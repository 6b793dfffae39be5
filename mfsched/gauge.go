package mfsched

import (
	"time"

	"mothferry"
)

// Gauge is how full a shard is, for the log and for operators.
type Gauge struct {
	// Live counts jobs that are not over, Dirty those of them whose change is not in
	// a commit yet.
	Live, Dirty int
	// Pools holds what each service's workers do.
	Pools map[mothferry.ServiceID]PoolGauge
}

// PoolGauge is how full the workers of a service are.
type PoolGauge struct {
	// Listed counts its workers, Usable those that may get work now.
	Listed, Usable int
	// Cores and Memory are the parts that are asked for of what the usable ones have.
	Cores, Memory float64
	// Waiting counts tasks whose turn has come, Running those at a worker.
	Waiting, Running int
}

// Gauge returns how full the shard is now.
func (s *State) Gauge(now time.Time) Gauge {
	g := Gauge{Live: len(s.live), Dirty: len(s.dirty), Pools: map[mothferry.ServiceID]PoolGauge{}}
	has, used := map[mothferry.ServiceID]mothferry.Resources{}, map[mothferry.ServiceID]mothferry.Resources{}
	for _, w := range s.sortedWorkers {
		if !w.listed {
			continue
		}
		p := g.Pools[w.Service]
		p.Listed++
		p.Running += len(w.tasks)
		if s.isSchedulable(w, now) {
			p.Usable++
			has[w.Service] = has[w.Service].Add(w.Capacity)
			used[w.Service] = used[w.Service].Add(w.used)
		}
		g.Pools[w.Service] = p
	}
	for _, j := range s.live {
		service := s.queueOf(j).Service
		p := g.Pools[service]
		p.Waiting += waitingTasks(j, now)
		g.Pools[service] = p
	}
	for service, p := range g.Pools {
		p.Cores = fraction(float64(used[service].Cores), float64(has[service].Cores))
		p.Memory = fraction(float64(used[service].Memory), float64(has[service].Memory))
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
