package mfsched

import (
	"time"

	"mothferry"
	"mothferry/mfshare"
)

// Backlogs returns the waiting work of each service, without jobs that are too late.
func (s *State) Backlogs(now time.Time) map[mothferry.ServiceID]mfshare.Backlog {
	backlogs := map[mothferry.ServiceID]mfshare.Backlog{}
	backlogOf := func(service mothferry.ServiceID) mfshare.Backlog {
		b, known := backlogs[service]
		if !known {
			b.Work = map[mothferry.AccountID]float64{}
		}
		return b
	}
	for _, w := range s.sortedWorkers {
		if w.addsCapacity() {
			b := backlogOf(w.Service)
			b.Cores += float64(w.Capacity.Cores) / 1000
			backlogs[w.Service] = b
		}
	}
	for _, j := range s.live {
		q := s.queueOf(j)
		b := backlogOf(q.Service)
		work, tasks := s.waitingWork(j, q, now)
		b.Work[j.submission.Account] += work
		b.Tasks += tasks
		backlogs[q.Service] = b
	}
	return backlogs
}

// Waits returns a lower bound for each service on how long work that arrives now would wait, given
// how many tasks the owner can start a second; zero if that does not bind.
func (s *State) Waits(startRate float64, now time.Time) map[mothferry.ServiceID]time.Duration {
	return mfshare.Waits(s.Backlogs(now), s.fleetCores, startRate)
}

// waitingWork returns a job's waiting work in core-seconds, and its waiting tasks. Work that is too
// late does not count, nor does that of lasting jobs.
func (s *State) waitingWork(j *job, q Queue, now time.Time) (sum float64, tasks int) {
	for _, o := range j.occurrences {
		if o.scheduledAt.After(now) {
			break
		}
		if p, _ := s.classify(j, o, q, now); p == classTooLate || p == classLasting {
			continue
		}
		for _, p := range o.steps {
			sum += coreSeconds(p.spec) * float64(p.waiting)
			tasks += p.waiting
		}
	}
	return sum, tasks
}
