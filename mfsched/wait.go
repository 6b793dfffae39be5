package mfsched

import (
	"time"

	"mothferry"
)

// reachShare is the part of all machines' cores that a pool can have once
// machines have moved to it. An estimate by the workers that are there at the
// moment turns away what machines on standby or on their way would serve, after
// a restart or as a turn begins.
const reachShare = 0.5

// Waits returns how long work that comes now would wait at least in each
// service: the work that waits and can still be of use, over the cores that its
// pool has or can get.
func (s *State) Waits(now time.Time) map[mothferry.ServiceID]time.Duration {
	cores := map[mothferry.ServiceID]float64{}
	for _, w := range s.roster {
		if w.listed && !w.Draining {
			cores[w.Service] += float64(w.Capacity.Cores) / 1000
		}
	}
	work := map[mothferry.ServiceID]float64{}
	for _, j := range s.live {
		q := s.queueOf(j)
		work[q.Service] += s.waitingWork(j, q, now)
	}
	waits := map[mothferry.ServiceID]time.Duration{}
	for service, amount := range work {
		reach := max(cores[service], reachShare*s.fleetCores)
		if reach > 0 && amount > 0 {
			waits[service] = time.Duration(amount / reach * float64(time.Second))
		}
	}
	return waits
}

// waitingWork returns the work of a job that waits and can still be of use, in
// core-seconds.
func (s *State) waitingWork(j *job, q Queue, now time.Time) float64 {
	sum := 0.0
	for _, o := range j.occurrences {
		if o.due.After(now) {
			break
		}
		if p, _ := s.weigh(j, o, q, now); p == prospectHopeless || p == prospectServing {
			continue
		}
		for _, p := range o.steps {
			sum += work(p.of) * float64(p.waiting)
		}
	}
	return sum
}
