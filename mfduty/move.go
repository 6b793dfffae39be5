package mfduty

import (
	"cmp"
	"slices"
	"time"

	"mothferry"
	"mothferry/mfdemand"
	"mothferry/mfpool"
	"mothferry/mfsched"
)

// Fleet is the state of the fleet that a plan is made from.
type Fleet struct {
	Machines []mothferry.Machine
	Loads    map[mothferry.WorkerID]mfsched.Load
	Demands  map[mothferry.ServiceID]mfdemand.Demand
	// Standby holds the pools whose machines are switched off.
	Standby map[mothferry.ServiceID]bool
	// Blocked holds machines for which a previous owner may have made a call just now.
	Blocked map[mothferry.MachineID]bool
}

// idle reports whether a worker is known to run nothing.
func (f Fleet) idle(worker mothferry.WorkerID) bool {
	l := f.Loads[worker]
	return l.Known && l.Tasks == 0 && !l.Unresponsive
}

// planMoves starts moves: to pools that have too few machines, from standby first and then
// from pools that have too many, and from the latter to standby. It returns how many machines
// no pool needs now, on standby or in pools.
func (s *State) planMoves(f Fleet, now time.Time) int {
	pools := s.pools(f)
	targets := s.sizer.Targets(pools, now)
	needed := map[mothferry.ServiceID]int{}
	for id, t := range targets {
		needed[id] = t.Machines
	}
	if !s.Off[mothferry.FeaturePoolSizes] {
		s.divide(f, pools, targets, now)
	}
	s.PoolSizes = poolSizes(pools, needed, targets)
	retain := func(id mothferry.ServiceID) int { return targets[id].Retain }
	short := poolsByShortfall(pools, targets)
	s.fillPools(short, pools, targets, s.freeMachines(f, pools, retain, slowLast), now)
	// Pools that are still short get what others only retain for a return of their peak.
	s.fillPools(short, pools, targets, s.freeMachines(f, pools, func(id mothferry.ServiceID) int { return targets[id].Machines }, slowLast), now)
	spare := s.spareMachines(f, pools, targets)
	standby, ok := standbyPool(f.Standby)
	if !ok {
		return spare
	}
	for _, m := range s.freeMachines(f, pools, retain, slowFirst) {
		if !f.Standby[m.Pool] && s.mayJoin(m, standby) {
			s.startMove(m, standby, now)
		}
	}
	return spare
}

// spareMachines counts the machines beyond what pools need; none while a pool is short. If a
// wave took more, pools would be short of them: in the first seconds of a demand peak the
// machines on standby are those that are about to be moved.
func (s *State) spareMachines(f Fleet, pools map[mothferry.ServiceID]mfpool.Pool, targets map[mothferry.ServiceID]mfpool.Target) int {
	spare := 0
	for id, p := range pools {
		if p.Machines < targets[id].Machines {
			return 0
		}
		spare += p.Machines - targets[id].Machines
	}
	for _, m := range f.Machines {
		if _, underWay := s.operations[m.Machine]; f.Standby[m.Pool] && !underWay && m.State == mothferry.MachineUp {
			spare++
		}
	}
	return spare
}

// fillPools moves free machines to the pools that are short.
func (s *State) fillPools(short []mothferry.ServiceID, pools map[mothferry.ServiceID]mfpool.Pool, targets map[mothferry.ServiceID]mfpool.Target, free []mothferry.Machine, now time.Time) {
	for _, id := range short {
		free = slices.DeleteFunc(free, func(m mothferry.Machine) bool {
			switch {
			case pools[id].Machines >= targets[id].Machines:
				return false
			case m.Pool == id:
				return true
			case !s.mayJoin(m, id):
				return false
			}
			s.startMove(m, id, now)
			countMove(pools, m.Pool, id)
			return true
		})
	}
}

// countMove counts a machine for the pool that it moves to, and no longer for the one that it
// leaves: the second call of fillPools in a plan would otherwise take the surplus of that pool
// again, down to below its reserve.
func countMove(pools map[mothferry.ServiceID]mfpool.Pool, from, to mothferry.ServiceID) {
	if p, counted := pools[from]; counted {
		p.Machines--
		pools[from] = p
	}
	p := pools[to]
	p.Machines++
	pools[to] = p
}

func (s *State) startMove(m mothferry.Machine, pool mothferry.ServiceID, now time.Time) {
	s.operations[m.Machine] = &operation{call: Call{Kind: KindMove, Machine: m.Machine, Pool: pool}, worker: m.Worker, since: now}
}

// standbyPool returns the pool to which machines move that no pool needs.
func standbyPool(standby map[mothferry.ServiceID]bool) (mothferry.ServiceID, bool) {
	var pool mothferry.ServiceID
	for id, ok := range standby {
		if ok && (pool == "" || id < pool) {
			pool = id
		}
	}
	return pool, pool != ""
}

// pools counts machines by the pool that they are in or are moving to.
func (s *State) pools(f Fleet) map[mothferry.ServiceID]mfpool.Pool {
	pools := map[mothferry.ServiceID]mfpool.Pool{}
	for id := range f.Demands {
		if !f.Standby[id] {
			pools[id] = mfpool.Pool{}
		}
	}
	size := mfdemand.Amount{}
	for _, m := range f.Machines {
		size = size.Max(mfdemand.AmountOf(m.Capacity))
		id := m.Pool
		op := s.operations[m.Machine]
		if op != nil && op.call.Kind == KindMove {
			id = op.call.Pool
		}
		if f.Standby[id] {
			continue
		}
		p := pools[id]
		if f.usable(m, op) {
			p.Machines++
		}
		pools[id] = p
	}
	if s.Off[mothferry.FeaturePoolSizes] {
		size.Memory = 0
	}
	for id, p := range pools {
		p.MachineCapacity, p.Demand = size, f.Demands[id]
		p.EqualShare = float64(len(f.Machines)) / float64(len(pools))
		pools[id] = p
	}
	return pools
}

// usable reports whether a machine can run tasks of its pool now or once it has moved. One
// that is down, unresponsive, or being evacuated for maintenance is not counted, so that it is
// replaced: the tasks that run there need another machine.
func (f Fleet) usable(m mothferry.Machine, op *operation) bool {
	switch {
	case op != nil && op.call.Kind == KindMaintenance:
		return false
	case m.State == mothferry.MachineUp:
		return !f.Loads[m.Worker].Unresponsive
	default:
		return m.State == mothferry.MachineMoving
	}
}

// freeMachines returns the machines that their pools can spare: those in reachable data centres
// first, among them those on standby, and then by order, which depends on where they move to.
// Only machines without tasks are selected, so that a move interrupts no task.
func (s *State) freeMachines(f Fleet, pools map[mothferry.ServiceID]mfpool.Pool, retain func(mothferry.ServiceID) int, order func(a, b mfsched.Load) int) []mothferry.Machine {
	surplus := map[mothferry.ServiceID]int{}
	for id, p := range pools {
		surplus[id] = p.Machines - retain(id)
	}
	var machines, free []mothferry.Machine
	for _, m := range f.Machines {
		if _, underWay := s.operations[m.Machine]; underWay || f.Blocked[m.Machine] || m.State != mothferry.MachineUp {
			continue
		}
		if f.Standby[m.Pool] || surplus[m.Pool] > 0 && f.idle(m.Worker) {
			machines = append(machines, m)
		}
	}
	slices.SortStableFunc(machines, func(a, b mothferry.Machine) int { return order(f.Loads[a.Worker], f.Loads[b.Worker]) })
	for _, m := range machines {
		switch {
		case f.Standby[m.Pool]:
			free = append(free, m)
		case surplus[m.Pool] > 0:
			surplus[m.Pool]--
			free = append(free, m)
		}
	}
	unreachable := unreachableDataCentres(f)
	slices.SortStableFunc(free, func(a, b mothferry.Machine) int {
		return cmp.Or(cmp.Compare(unreachable[a.DataCentre], unreachable[b.DataCentre]),
			standbyRank(f.Standby[a.Pool])-standbyRank(f.Standby[b.Pool]), order(f.Loads[a.Worker], f.Loads[b.Worker]), cmp.Compare(a.Machine, b.Machine))
	})
	return free
}

// unreachableDataCentres returns 1 for each data centre in which at least half of the known
// workers are unresponsive: it is partitioned, and a machine of it could not be reached after
// a move.
func unreachableDataCentres(f Fleet) map[mothferry.DataCentre]int {
	total, unresponsive := map[mothferry.DataCentre]int{}, map[mothferry.DataCentre]int{}
	for _, m := range f.Machines {
		if l, known := f.Loads[m.Worker]; known {
			total[m.DataCentre]++
			if l.Unresponsive {
				unresponsive[m.DataCentre]++
			}
		}
	}
	unreachable := map[mothferry.DataCentre]int{}
	for dc, n := range total {
		if 2*unresponsive[dc] >= n {
			unreachable[dc] = 1
		}
	}
	return unreachable
}

// slowFirst orders slow workers before others, as their machines are the first to move to
// standby.
func slowFirst(a, b mfsched.Load) int { return slowRank(b) - slowRank(a) }

// slowLast orders slow workers after others, as their machines are the last to move to another
// pool.
func slowLast(a, b mfsched.Load) int { return slowFirst(b, a) }

func slowRank(l mfsched.Load) int {
	if l.Slow() {
		return 1
	}
	return 0
}

func standbyRank(standby bool) int {
	if standby {
		return 0
	}
	return 1
}

// poolsByShortfall returns the pools ordered by how many machines they are short of, the most
// first.
func poolsByShortfall(pools map[mothferry.ServiceID]mfpool.Pool, targets map[mothferry.ServiceID]mfpool.Target) []mothferry.ServiceID {
	var ids []mothferry.ServiceID
	for id := range pools {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b mothferry.ServiceID) int {
		return cmp.Or(cmp.Compare(targets[b].Machines-pools[b].Machines, targets[a].Machines-pools[a].Machines), cmp.Compare(a, b))
	})
	return ids
}
