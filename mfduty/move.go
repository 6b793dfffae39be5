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

// Fleet is what moves are decided by.
type Fleet struct {
	Machines []mothferry.Machine
	Loads    map[mothferry.WorkerID]mfsched.Load
	Demands  map[mothferry.ServiceID]mfdemand.Demand
	// Standby holds the pools whose machines are off.
	Standby map[mothferry.ServiceID]bool
	// Blocked holds machines that a former owner may have asked for just now.
	Blocked map[mothferry.MachineID]bool
}

// idle reports whether a worker is known to run nothing.
func (f Fleet) idle(worker mothferry.WorkerID) bool {
	l := f.Loads[worker]
	return l.Known && l.Tasks == 0 && !l.Failing
}

// planMoves makes errands of machines that move: to pools that have too few,
// from standby first and then from pools that have too many, and from those to
// standby. It returns how many machines nobody needs now, on standby or in pools.
func (s *State) planMoves(f Fleet, now time.Time) int {
	pools := s.pools(f)
	targets := s.sizer.Targets(pools, now)
	needed := map[mothferry.ServiceID]int{}
	for id, t := range targets {
		needed[id] = t.Machines
	}
	if !s.Off[mothferry.FeatureRooms] {
		s.divide(f, pools, targets, now)
	}
	s.PoolSizes = poolSizes(pools, needed, targets)
	keep := func(id mothferry.ServiceID) int { return targets[id].Retain }
	needy := poolsByShortfall(pools, targets)
	s.fillPools(needy, pools, targets, s.freeMachines(f, pools, keep, slowLast), now)
	// Pools that are still short take what others only keep for a lull.
	s.fillPools(needy, pools, targets, s.freeMachines(f, pools, func(id mothferry.ServiceID) int { return targets[id].Machines }, slowLast), now)
	room := s.spareMachines(f, pools, targets)
	home, ok := standbyPool(f.Standby)
	if !ok {
		return room
	}
	for _, m := range s.freeMachines(f, pools, keep, slowFirst) {
		if !f.Standby[m.Pool] {
			s.startMove(m, home, now)
		}
	}
	return room
}

// spareMachines counts the machines beyond what pools need; none while a pool is short. A
// wave that takes more would be missed: in the first seconds of a turn the machines
// on standby are those that are about to be sent.
func (s *State) spareMachines(f Fleet, pools map[mothferry.ServiceID]mfpool.Pool, targets map[mothferry.ServiceID]mfpool.Target) int {
	room := 0
	for id, p := range pools {
		if p.Machines < targets[id].Machines {
			return 0
		}
		room += p.Machines - targets[id].Machines
	}
	for _, m := range f.Machines {
		if _, busy := s.operations[m.Machine]; f.Standby[m.Pool] && !busy && m.State == mothferry.MachineUp {
			room++
		}
	}
	return room
}

// fillPools sends free machines to the pools that miss some.
func (s *State) fillPools(needy []mothferry.ServiceID, pools map[mothferry.ServiceID]mfpool.Pool, targets map[mothferry.ServiceID]mfpool.Target, free []mothferry.Machine, now time.Time) {
	for _, id := range needy {
		for pools[id].Machines < targets[id].Machines && len(free) > 0 {
			if free[0].Pool != id {
				s.startMove(free[0], id, now)
				countMove(pools, free[0].Pool, id)
			}
			free = free[1:]
		}
	}
}

// countMove counts a machine for the pool that it goes to. It no longer counts for
// the one that it leaves: a second round of the same plan would otherwise take
// what that pool can spare once more, down to below its reserve.
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

// standbyPool returns the pool to which machines go that nobody needs.
func standbyPool(standby map[mothferry.ServiceID]bool) (mothferry.ServiceID, bool) {
	var home mothferry.ServiceID
	for id, is := range standby {
		if is && (home == "" || id < home) {
			home = id
		}
	}
	return home, home != ""
}

// pools counts machines by the pool that they are in or on their way to.
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
		e := s.operations[m.Machine]
		if e != nil && e.call.Kind == KindMove {
			id = e.call.Pool
		}
		if f.Standby[id] {
			continue
		}
		p := pools[id]
		if f.usable(m, e) {
			p.Machines++
		}
		pools[id] = p
	}
	if s.Off[mothferry.FeatureRooms] {
		size.Memory = 0
	}
	for id, p := range pools {
		p.MachineCapacity, p.Demand = size, f.Demands[id]
		p.EqualShare = float64(len(f.Machines)) / float64(len(pools))
		pools[id] = p
	}
	return pools
}

// usable reports whether a machine is of use to its pool now or as soon as it has
// moved. One that is down, does not answer, or is emptied for its upkeep is not:
// others take its place, as what runs there has to go somewhere.
func (f Fleet) usable(m mothferry.Machine, e *operation) bool {
	switch {
	case e != nil && e.call.Kind == KindMaintenance:
		return false
	case m.State == mothferry.MachineUp:
		return !f.Loads[m.Worker].Failing
	default:
		return m.State == mothferry.MachineMoving
	}
}

// freeMachines returns machines that their pool can spare, standby first; which go first of the others
// depends on where they go. Only machines without any task are taken, so that a move ends nothing.
func (s *State) freeMachines(f Fleet, pools map[mothferry.ServiceID]mfpool.Pool, keep func(mothferry.ServiceID) int, order func(a, b mfsched.Load) int) []mothferry.Machine {
	surplus := map[mothferry.ServiceID]int{}
	for id, p := range pools {
		surplus[id] = p.Machines - keep(id)
	}
	var machines, free []mothferry.Machine
	for _, m := range f.Machines {
		if _, busy := s.operations[m.Machine]; busy || f.Blocked[m.Machine] || m.State != mothferry.MachineUp {
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
	cut := unreachableDataCentres(f)
	slices.SortStableFunc(free, func(a, b mothferry.Machine) int {
		return cmp.Or(cmp.Compare(cut[a.DataCentre], cut[b.DataCentre]),
			standbyRank(f.Standby[a.Pool])-standbyRank(f.Standby[b.Pool]), order(f.Loads[a.Worker], f.Loads[b.Worker]), cmp.Compare(a.Machine, b.Machine))
	})
	return free
}

// unreachableDataCentres tells of each data centre whether half of its workers do not
// answer: it is cut off, and a machine of it that is moved would not be reached.
func unreachableDataCentres(f Fleet) map[mothferry.DataCentre]int {
	all, out := map[mothferry.DataCentre]int{}, map[mothferry.DataCentre]int{}
	for _, m := range f.Machines {
		if l, known := f.Loads[m.Worker]; known {
			all[m.DataCentre]++
			if l.Failing {
				out[m.DataCentre]++
			}
		}
	}
	cut := map[mothferry.DataCentre]int{}
	for dc, n := range all {
		if 2*out[dc] >= n {
			cut[dc] = 1
		}
	}
	return cut
}

// slowFirst orders loads of slow workers before others, as their machines are the first that go to
// standby; slowLast behind them, as they are the last that another pool gets.
func slowFirst(a, b mfsched.Load) int { return slowRank(b) - slowRank(a) }

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

// poolsByShortfall orders pools by how many machines they miss.
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
