package mfsched

import (
	"maps"
	"slices"
	"time"

	"mothferry"
	"mothferry/mfjob"
)

// Demand is what a service is asked for.
type Demand struct {
	// Arriving is how many cores keep up with the jobs that come now, Coming with
	// those that come once machines could be there that are sent now.
	Arriving, Coming float64
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

// work returns the core-seconds of one task of a step.
func work(of *mfjob.Step) float64 {
	return float64(of.Need.Cores) / 1000 * of.Estimate.Seconds()
}

// Demands returns what each service is asked for.
func (s *State) Demands(now time.Time) map[mothferry.ServiceID]Demand {
	demands := map[mothferry.ServiceID]Demand{}
	for _, q := range s.queues {
		demands[q.Service] = Demand{}
	}
	for service, a := range s.arrivals {
		demands[service] = Demand{Arriving: a.cores(now, 0), Coming: a.cores(now, forecastLead)}
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
	cores := float64(p.of.Room().Cores) / 1000
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
