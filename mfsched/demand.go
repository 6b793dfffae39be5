package mfsched

import (
	"maps"
	"slices"
	"time"

	"mothferry"
	"mothferry/mfdemand"
	"mothferry/mfjob"
)

// coreSeconds returns the core-seconds of one task of a step.
func coreSeconds(of *mfjob.Step) float64 {
	return float64(of.Need.Cores) / 1000 * of.Estimate.Seconds()
}

// taskWork returns the work of one task of a step, in core-seconds and GiB-seconds.
func taskWork(of *mfjob.Step) mfdemand.Amount {
	return mfdemand.AmountOf(of.Need).Times(of.Estimate.Seconds())
}

// Demands returns what each service is asked for.
func (s *State) Demands(now time.Time) map[mothferry.ServiceID]mfdemand.Demand {
	demands := map[mothferry.ServiceID]mfdemand.Demand{}
	for _, q := range s.queues {
		demands[q.Service] = mfdemand.Demand{}
	}
	for service, a := range s.arrivals {
		demands[service] = mfdemand.Demand{Arriving: a.Forecast(now, 0), Forecast: a.Forecast(now, mfdemand.ForecastHorizon)}
	}
	startable := s.startable(now)
	for _, id := range slices.Sorted(maps.Keys(s.live)) {
		j := s.live[id]
		q := s.queueOf(j)
		d := demands[q.Service]
		for _, o := range j.occurrences {
			if o.scheduledAt.After(now) {
				break
			}
			prospect, _ := s.classify(j, o, q, now)
			for _, p := range o.steps {
				addStepDemand(&d, o, p, prospect, startable(j.submission.Account))
			}
		}
		demands[q.Service] = d
	}
	return demands
}

// startable returns which part of an account's waiting work its limit lets start: the rest
// asks for no machine, as none could run it.
func (s *State) startable(now time.Time) func(id mothferry.AccountID) float64 {
	if !s.sharesEnabled() {
		return func(mothferry.AccountID) float64 { return 1 }
	}
	waiting := map[mothferry.AccountID]mothferry.Resources{}
	for _, j := range s.live {
		for _, o := range j.occurrences {
			if o.scheduledAt.After(now) {
				break
			}
			for _, p := range readySteps(o) {
				sum := waiting[j.submission.Account]
				for range p.waiting {
					sum = sum.Add(p.spec.Need)
				}
				waiting[j.submission.Account] = sum
			}
		}
	}
	return func(id mothferry.AccountID) float64 {
		a, ok := s.accounts[id]
		if !ok {
			return 1
		}
		left, wanted := a.Limit.Sub(a.used), waiting[id]
		return min(coveredFraction(left.Cores, wanted.Cores, a.Limit.Cores), coveredFraction(left.Memory, wanted.Memory, a.Limit.Memory))
	}
}

// coveredFraction returns which part of what is wanted is left of a limit, of which zero is none.
func coveredFraction[N ~int64](left, wanted, most N) float64 {
	if most == 0 || wanted <= 0 {
		return 1
	}
	return max(0, min(1, float64(left)/float64(wanted)))
}

// addStepDemand counts what a step asks for, of whose waiting work a part may start.
func addStepDemand(d *mfdemand.Demand, o *occurrence, p *step, prospect deadlineClass, startable float64) {
	room := mfdemand.AmountOf(p.spec.Room())
	switch {
	case p.spec.Lasting:
		d.Lasting = d.Lasting.Add(room.Times(float64(p.remaining)))
		if p.spec.PerWorker > 0 {
			d.MinWorkers = max(d.MinWorkers, (p.spec.Count+p.spec.PerWorker-1)/p.spec.PerWorker)
		}
		return
	case p.remaining == 0:
		return
	}
	d.Running = d.Running.Add(room.Times(float64(p.remaining - p.waiting)))
	if prospect == classTooLate || p.waiting == 0 || !dependenciesDone(o, p) {
		return
	}
	may := startable * float64(p.waiting)
	work, ready := taskWork(p.spec).Times(may), room.Times(may)
	d.ReadyWork, d.Ready = d.ReadyWork.Add(work), d.Ready.Add(ready)
	if prospect == classOnTime {
		d.OnTimeWork, d.OnTimeReady = d.OnTimeWork.Add(work), d.OnTimeReady.Add(ready)
	}
}

// recordArrival counts a job that came.
func (s *State) recordArrival(j *job, now time.Time) {
	if j.submission.Lasts() {
		return
	}
	service := s.queueOf(j).Service
	s.recordRecentWork(j, service, now)
	a, ok := s.arrivals[service]
	if !ok {
		a = &mfdemand.Arrivals{}
		s.arrivals[service] = a
	}
	sum := mfdemand.Amount{}
	for i := range j.submission.Steps {
		sum = sum.Add(taskWork(&j.submission.Steps[i]).Times(float64(j.submission.Steps[i].Count)))
	}
	a.Add(sum, now)
}
