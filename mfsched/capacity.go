package mfsched

import (
	"slices"
	"time"

	"mothferry"
	"mothferry/mfjob"
)

// freeCapacity is the free capacity of some workers in one round. It only shrinks within a round.
type freeCapacity struct {
	workers []*worker
	free    []mothferry.Resources
	// largest holds, by label, the free capacities that no other one of a worker with that label
	// covers. What fits into none of them fits on no worker. A list is made once a search for a
	// worker has failed, and again if another one fails although the list would allow the size.
	largest map[string][]mothferry.Resources
	effort  *Effort
}

// cannotFit reports whether a task of a step is known to fit on no worker.
func (f *freeCapacity) cannotFit(spec *mfjob.Step) bool {
	list, known := f.largest[spec.Label]
	return known && !slices.ContainsFunc(list, spec.Reservation().Fits)
}

// searchFailed records that a task of a step fits on no worker.
func (f *freeCapacity) searchFailed(spec *mfjob.Step) {
	var list []mothferry.Resources
	f.effort.Workers += len(f.workers)
	for i, free := range f.free {
		if !hasLabel(f.workers[i], spec.Label) || slices.ContainsFunc(list, free.Fits) {
			continue
		}
		list = append(slices.DeleteFunc(list, func(o mothferry.Resources) bool { return o.Fits(free) }), free)
	}
	if f.largest == nil {
		f.largest = map[string][]mothferry.Resources{}
	}
	f.largest[spec.Label] = list
}

// placementCapacity is the free capacity of a service's usable workers in one round.
type placementCapacity struct {
	freeCapacity
	// packing is each worker's score for a task without preferences.
	packing []float64
	// used and total are the workers' cores; trials counts the workers on trial.
	used, total mothferry.Millicores
	trials      int
	turnover    *turnover
}

// full is the free capacity of a worker that takes no task, whatever its size.
var full = mothferry.Resources{Cores: -1, Memory: -1, Accelerators: -1}

func (s *State) placementCapacityOf(service mothferry.ServiceID, now time.Time) *placementCapacity {
	p := &placementCapacity{freeCapacity: freeCapacity{workers: s.usable(service, now), effort: &s.effort}}
	p.turnover = s.turnoverOf(p.workers)
	p.free, p.packing = make([]mothferry.Resources, len(p.workers)), make([]float64, len(p.workers))
	for i, w := range p.workers {
		w.slot = i
		p.used += w.used.Cores
		p.total += w.Capacity.Cores
		p.free[i], p.packing[i] = w.Capacity.Sub(w.reserved()), packingScore(w)
		if w.onTrial() {
			p.trials++
			p.free[i] = full
		}
	}
	return p
}

// taken records that a task was assigned to a worker.
func (p *placementCapacity) taken(t *task, w *worker) {
	i, size := w.slot, t.step.spec.Reservation()
	p.used += size.Cores
	p.free[i], p.packing[i] = p.free[i].Sub(size), packingScore(w)
	if w.onTrial() {
		p.trials++
		p.free[i] = full
	}
}

// load returns the fraction of the workers' cores that is in use.
func (p *placementCapacity) load() float64 { return float64(p.used) / float64(max(1, p.total)) }

// packingScore is the part of a worker's score that depends on no task that ends by itself.
func packingScore(w *worker) float64 {
	score := 0.0
	if w.Capacity.Cores > 0 {
		score += weightUtilization * float64(w.used.Cores) / float64(w.Capacity.Cores)
	}
	return score + slownessScore(w)
}

func slownessScore(w *worker) float64 {
	if !w.slowStatus.Degraded() {
		return 0
	}
	return max(weightSlowFloor, weightSlow*(1/w.slowStatus.RelativeSpeed()-1))
}

// hasPreference reports whether a task's score for a worker depends on more than how full and how
// fast the worker is.
func (t *task) hasPreference() bool {
	spec := t.step.spec
	return spec.Rack != "" || t.avoidWorker != "" || spec.Lasting || spec.Gang || spec.Fills || spec.TailTarget > 0 || t.suspect()
}
