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
func coreSeconds(spec *mfjob.Step) float64 {
	return float64(spec.Need.Cores) / 1000 * spec.Estimate.Seconds()
}

// taskWork returns the work of one task of a step, in core-seconds and GiB-seconds.
func taskWork(spec *mfjob.Step) mfdemand.Amount {
	return mfdemand.AmountOf(spec.Need).Times(spec.Estimate.Seconds())
}

// Demands returns the demand for each service.
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
			class, _ := s.classify(j, o, q, now)
			for _, p := range o.steps {
				addStepDemand(&d, o, p, class, startable(j.submission.Account))
			}
		}
		demands[q.Service] = d
	}
	return demands
}

// startable returns a function for the fraction of an account's waiting work that its limit lets
// start. The rest is no demand for machines, as none could run it.
func (s *State) startable(now time.Time) func(id mothferry.AccountID) float64 {
	if !s.sharesEnabled() {
		return func(mothferry.AccountID) float64 { return 1 }
	}
	waiting := map[mothferry.AccountID]mfdemand.Amount{}
	for _, j := range s.live {
		for _, o := range j.occurrences {
			if o.scheduledAt.After(now) {
				break
			}
			for _, p := range readySteps(o) {
				waiting[j.submission.Account] = waiting[j.submission.Account].Add(mfdemand.AmountOf(p.spec.Need).Times(float64(p.waiting)))
			}
		}
	}
	return func(id mothferry.AccountID) float64 {
		a, ok := s.accounts[id]
		if !ok {
			return 1
		}
		limit, available, wanted := mfdemand.AmountOf(a.Limit), mfdemand.AmountOf(a.Limit.Sub(a.used)), waiting[id]
		return min(coveredFraction(available.Cores, wanted.Cores, limit.Cores), coveredFraction(available.Memory, wanted.Memory, limit.Memory))
	}
}

// coveredFraction returns the fraction of what is wanted that is left of a limit; a limit of zero
// bounds nothing.
func coveredFraction(available, wanted, limit float64) float64 {
	if limit == 0 || wanted <= 0 {
		return 1
	}
	return max(0, min(1, available/wanted))
}

// addStepDemand adds a step's demand, given the fraction of its waiting work that may start.
func addStepDemand(d *mfdemand.Demand, o *occurrence, p *step, class deadlineClass, startable float64) {
	capacity := mfdemand.AmountOf(p.spec.Reservation())
	switch {
	case p.spec.Lasting:
		d.Lasting = d.Lasting.Add(capacity.Times(float64(p.remaining)))
		if p.spec.PerWorker > 0 {
			d.MinWorkers = max(d.MinWorkers, (p.spec.Count-1)/p.spec.PerWorker+1)
		}
		return
	case p.remaining == 0:
		return
	}
	d.Running = d.Running.Add(capacity.Times(float64(p.remaining - p.waiting)))
	if class == classTooLate || p.waiting == 0 || !dependenciesDone(o, p) {
		return
	}
	tasks := startable * float64(p.waiting)
	work, ready := taskWork(p.spec).Times(tasks), capacity.Times(tasks)
	d.ReadyWork, d.Ready = d.ReadyWork.Add(work), d.Ready.Add(ready)
	if class == classOnTime {
		d.OnTimeWork, d.OnTimeReady = d.OnTimeWork.Add(work), d.OnTimeReady.Add(ready)
	}
}

// recordArrival records the work of a job that has arrived.
func (s *State) recordArrival(j *job, now time.Time) {
	if j.lasts {
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
