package mfsched

import (
	"time"

	"mothferry"
	"mothferry/mfshare"
)

// Backlogs returns the work of each service that waits and can still be of use.
func (s *State) Backlogs(now time.Time) map[mothferry.ServiceID]mfshare.Backlog {
	backlogs := map[mothferry.ServiceID]mfshare.Backlog{}
	of := func(service mothferry.ServiceID) mfshare.Backlog {
		b, known := backlogs[service]
		if !known {
			b.Work = map[mothferry.AccountID]float64{}
		}
		return b
	}
	for _, w := range s.sortedWorkers {
		if w.listed && !w.Draining {
			b := of(w.Service)
			b.Cores += float64(w.Capacity.Cores) / 1000
			backlogs[w.Service] = b
		}
	}
	for _, j := range s.live {
		q := s.queueOf(j)
		b := of(q.Service)
		b.Work[j.submission.Account] += s.waitingWork(j, q, now)
		backlogs[q.Service] = b
	}
	return backlogs
}

// Waits returns how long work that comes now would wait at least in each service.
func (s *State) Waits(now time.Time) map[mothferry.ServiceID]time.Duration {
	return mfshare.Waits(s.Backlogs(now), s.fleetCores)
}

// waitingWork returns the work of a job that waits and can still be of use, in
// core-seconds.
func (s *State) waitingWork(j *job, q Queue, now time.Time) float64 {
	sum := 0.0
	for _, o := range j.occurrences {
		if o.scheduledAt.After(now) {
			break
		}
		if p, _ := s.classify(j, o, q, now); p == classTooLate || p == classLasting {
			continue
		}
		for _, p := range o.steps {
			sum += coreSeconds(p.spec) * float64(p.waiting)
		}
	}
	return sum
}
