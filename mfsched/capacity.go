package mfsched

import (
	"slices"
	"time"

	"mothferry"
	"mothferry/mfjob"
)

// unplaceable holds sizes that are known to fit on no worker, by the label that the task requires.
// Of sizes that fit into each other only the smallest is kept.
type unplaceable map[string][]mothferry.Resources

// add records that a task of a step fits on no worker.
func (u unplaceable) add(spec *mfjob.Step) {
	size := spec.Reservation()
	list := slices.DeleteFunc(u[spec.Label], func(o mothferry.Resources) bool { return size.Fits(o) })
	u[spec.Label] = append(list, size)
}

// cannotFit reports whether a task of a step is known to fit on no worker.
func (u unplaceable) cannotFit(spec *mfjob.Step) bool {
	size := spec.Reservation()
	for _, label := range []string{"", spec.Label} {
		for _, o := range u[label] {
			if o.Fits(size) {
				return true
			}
		}
		if spec.Label == "" {
			break
		}
	}
	return false
}

// placementCapacity is the free capacity of a service's usable workers in one round. Capacity only
// shrinks within a round, so that a size that fits nowhere is not searched for again.
type placementCapacity struct {
	workers []*worker
	// free is the free capacity of each worker, packing its score for a task without preferences.
	free    []mothferry.Resources
	packing []float64
	unplaceable
	// used and total are the workers' cores; trials counts the workers on trial.
	used, total mothferry.Millicores
	trials      int
	turnover    *turnover
}

// full is the free capacity of a worker that takes no task, whatever its size.
var full = mothferry.Resources{Cores: -1, Memory: -1, Accelerators: -1}

func (s *State) placementCapacityOf(service mothferry.ServiceID, now time.Time) *placementCapacity {
	p := &placementCapacity{workers: s.usable(service, now), unplaceable: unplaceable{}}
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
