package mfsched

import (
	"maps"
	"math"
	"slices"
	"time"

	"mothferry"
	"mothferry/mfjob"
)

// Demand is what a service is asked for.
type Demand struct {
	// Arriving is how many cores keep up with the jobs that come now.
	Arriving float64
	// Busy is how many cores work on tasks that end by themselves.
	Busy float64
	// ReadyWork is the work whose turn has come and that waits, in core-seconds,
	// and ReadyCores the cores that it could use at once; both without what is
	// hopeless.
	ReadyWork  float64
	ReadyCores float64
	// Lasting is how many cores lasting tasks ask for.
	Lasting float64
	// Widest is the number of workers that the most spread lasting step needs.
	Widest int
}

// arrivalMemory is how long an arrival counts in the rate of arrivals: short
// against turns of some seconds, long against the gaps between single jobs.
const arrivalMemory = 400 * time.Millisecond

// arrivals is a decaying sum of the work that came.
type arrivals struct {
	work float64
	at   time.Time
}

func (a *arrivals) decay(now time.Time) {
	if !a.at.IsZero() {
		a.work *= math.Exp(-float64(now.Sub(a.at)) / float64(arrivalMemory))
	}
	a.at = now
}

// rate returns core-seconds that come a second, which is cores.
func (a *arrivals) rate(now time.Time) float64 {
	a.decay(now)
	return a.work / arrivalMemory.Seconds()
}

// work returns the core-seconds of one task of a step.
func work(of *mfjob.Step) float64 {
	return float64(of.Need.Cores) / 1000 * of.Estimate.Seconds()
}

// arrived counts a job that came.
func (s *State) arrived(j *job, now time.Time) {
	if j.submission.Lasts() {
		return
	}
	service := s.queueOf(j).Service
	a, ok := s.arrivals[service]
	if !ok {
		a = &arrivals{}
		s.arrivals[service] = a
	}
	a.decay(now)
	for i := range j.submission.Steps {
		a.work += work(&j.submission.Steps[i]) * float64(j.submission.Steps[i].Count)
	}
}

// Demands returns what each service is asked for.
func (s *State) Demands(now time.Time) map[mothferry.ServiceID]Demand {
	demands := map[mothferry.ServiceID]Demand{}
	for _, q := range s.queues {
		demands[q.Service] = Demand{}
	}
	for service, a := range s.arrivals {
		demands[service] = Demand{Arriving: a.rate(now)}
	}
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
				d.add(o, p, prospect)
			}
		}
		demands[q.Service] = d
	}
	return demands
}

func (d *Demand) add(o *occurrence, p *step, prospect prospect) {
	cores := float64(room(p.of).Cores) / 1000
	switch {
	case p.of.Lasting:
		d.Lasting += cores * float64(p.open)
		if p.of.PerWorker > 0 {
			d.Widest = max(d.Widest, (p.of.Count+p.of.PerWorker-1)/p.of.PerWorker)
		}
		return
	case p.open == 0:
		return
	}
	d.Busy += cores * float64(p.open-p.waiting)
	if prospect != prospectHopeless && p.waiting > 0 && turnHasCome(o, p) {
		d.ReadyWork += work(p.of) * float64(p.waiting)
		d.ReadyCores += cores * float64(p.waiting)
	}
}
