package mfduty

import (
	"mothferry"
)

// A call that the platform rejects as invalid, such as a move to a pool of other machines, would be
// rejected again: it is not repeated before the listing changes by which it was judged.

// rejection is a rejected call and the machine as it was listed then.
type rejection struct {
	pool   mothferry.ServiceID
	worker mothferry.WorkerID
	kind   mothferry.MachineKind
}

func rejectionOf(m mothferry.Machine) rejection {
	return rejection{pool: m.Pool, worker: m.Worker, kind: m.Kind}
}

// kindMove is a move of any machine of a kind to a pool.
type kindMove struct {
	kind mothferry.MachineKind
	pool mothferry.ServiceID
}

// updateRejections forgets the rejections of machines whose listing has changed or that are gone, and
// those of kinds of machines that their pool lists now. A rejected move of a machine that is still
// listed tells that its kind can't join the pool; that of another one only that it is gone.
func (s *State) updateRejections(f Fleet, listed map[mothferry.MachineID]mothferry.Machine) {
	s.listed = listed
	s.poolKinds = map[mothferry.ServiceID]map[mothferry.MachineKind]bool{}
	for _, m := range f.Machines {
		if s.poolKinds[m.Pool] == nil {
			s.poolKinds[m.Pool] = map[mothferry.MachineKind]bool{}
		}
		s.poolKinds[m.Pool][m.Kind] = true
	}
	for c, r := range s.rejections {
		m, ok := listed[c.Machine]
		switch {
		case !ok || rejectionOf(m) != r:
			delete(s.rejections, c)
		case c.Kind == KindMove && !s.poolKinds[c.Pool][m.Kind]:
			s.rejectedKinds[kindMove{m.Kind, c.Pool}] = true
		}
	}
	for k := range s.rejectedKinds {
		if len(s.poolKinds[k.pool]) == 0 || s.poolKinds[k.pool][k.kind] {
			delete(s.rejectedKinds, k)
		}
	}
}

func (s *State) recordRejection(c Call) {
	if m, ok := s.listed[c.Machine]; ok {
		s.rejections[c] = rejectionOf(m)
	}
}

func (s *State) rejected(c Call) bool {
	_, rejected := s.rejections[c]
	return rejected
}

// mayJoin reports whether a machine can be moved to a pool, as far as known. A pool that lists machines,
// but none of the machine's kind, may be one of other machines: a single machine of the kind is tried
// first.
func (s *State) mayJoin(m mothferry.Machine, pool mothferry.ServiceID) bool {
	if s.rejected(Call{Kind: KindMove, Machine: m.Machine, Pool: pool}) {
		return false
	}
	if len(s.poolKinds[pool]) == 0 || s.poolKinds[pool][m.Kind] {
		return true
	}
	return !s.rejectedKinds[kindMove{m.Kind, pool}] && !s.triesKind(m.Kind, pool)
}

// triesKind reports whether a machine of a kind is being moved to a pool.
func (s *State) triesKind(kind mothferry.MachineKind, pool mothferry.ServiceID) bool {
	for _, op := range s.operations {
		if op.call.Kind == KindMove && op.call.Pool == pool && s.listed[op.call.Machine].Kind == kind {
			return true
		}
	}
	return false
}
