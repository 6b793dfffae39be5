package mfsched

import (
	"maps"
	"slices"
	"time"

	"mothferry"
	"mothferry/mfdemand"
	"mothferry/mfjob"
)

// work returns the core-seconds of one task of a step.
func work(of *mfjob.Step) float64 {
	return float64(of.Need.Cores) / 1000 * of.Estimate.Seconds()
}

// workOf returns the work of one task of a step, in core-seconds and GiB-seconds.
func workOf(of *mfjob.Step) mfdemand.Amount {
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
			if o.due.After(now) {
				break
			}
			prospect, _ := s.weigh(j, o, q, now)
			for _, p := range o.steps {
				addStep(&d, o, p, prospect, startable(j.submission.Account))
			}
		}
		demands[q.Service] = d
	}
	return demands
}

// startable returns which part of an account's waiting work its limit lets start: the rest
// asks for no machine, as none could run it.
func (s *State) startable(now time.Time) func(id mothferry.AccountID) float64 {
	if !s.shares() {
		return func(mothferry.AccountID) float64 { return 1 }
	}
	waiting := map[mothferry.AccountID]mothferry.Resources{}
	for _, j := range s.live {
		for _, o := range j.occurrences {
			if o.due.After(now) {
				break
			}
			for _, p := range ready(o) {
				sum := waiting[j.submission.Account]
				for range p.waiting {
					sum = sum.Add(p.of.Need)
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
		left, wanted := a.Most.Sub(a.used), waiting[id]
		return min(partOf(left.Cores, wanted.Cores, a.Most.Cores), partOf(left.Memory, wanted.Memory, a.Most.Memory))
	}
}

// partOf returns which part of what is wanted is left of a limit, of which zero is none.
func partOf[N ~int64](left, wanted, most N) float64 {
	if most == 0 || wanted <= 0 {
		return 1
	}
	return max(0, min(1, float64(left)/float64(wanted)))
}

// addStep counts what a step asks for, of whose waiting work a part may start.
func addStep(d *mfdemand.Demand, o *occurrence, p *step, prospect prospect, startable float64) {
	room := mfdemand.AmountOf(p.of.Room())
	switch {
	case p.of.Lasting:
		d.Lasting = d.Lasting.Add(room.Times(float64(p.open)))
		if p.of.PerWorker > 0 {
			d.MinWorkers = max(d.MinWorkers, (p.of.Count+p.of.PerWorker-1)/p.of.PerWorker)
		}
		return
	case p.open == 0:
		return
	}
	d.Running = d.Running.Add(room.Times(float64(p.open - p.waiting)))
	if prospect == prospectHopeless || p.waiting == 0 || !turnHasCome(o, p) {
		return
	}
	may := startable * float64(p.waiting)
	work, ready := workOf(p.of).Times(may), room.Times(may)
	d.ReadyWork, d.Ready = d.ReadyWork.Add(work), d.Ready.Add(ready)
	if prospect == prospectInTime {
		d.OnTimeWork, d.OnTimeReady = d.OnTimeWork.Add(work), d.OnTimeReady.Add(ready)
	}
}

// arrived counts a job that came.
func (s *State) arrived(j *job, now time.Time) {
	if j.submission.Lasts() {
		return
	}
	service := s.queueOf(j).Service
	s.noteRecent(j, service, now)
	a, ok := s.arrivals[service]
	if !ok {
		a = &mfdemand.Arrivals{}
		s.arrivals[service] = a
	}
	sum := mfdemand.Amount{}
	for i := range j.submission.Steps {
		sum = sum.Add(workOf(&j.submission.Steps[i]).Times(float64(j.submission.Steps[i].Count)))
	}
	a.Add(sum, now)
}
