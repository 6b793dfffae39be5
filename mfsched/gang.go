package mfsched

import (
	"time"

	"mothferry"
)

// gangDraft holds the workers chosen for some members of a gang. They count as used while workers are
// chosen for the others. A draft that is given up changes nothing else.
type gangDraft struct {
	step    *step
	members map[*worker]int
}

// reserved returns what the members take on a worker.
func (d *gangDraft) reserved(w *worker) mothferry.Resources {
	if d == nil {
		return mothferry.Resources{}
	}
	one := d.step.spec.Reservation()
	var sum mothferry.Resources
	for range d.members[w] {
		sum = sum.Add(one)
	}
	return sum
}

// tasksOn returns how many members of a step are on a worker.
func (d *gangDraft) tasksOn(p *step, w *worker) int {
	if d == nil || d.step != p {
		return 0
	}
	return d.members[w]
}

// placeGang places all members of a gang or none: some of them would only reserve capacity
// while they wait for the others.
func (s *State) placeGang(c *candidate, p *step, capacity *placementCapacity, now time.Time) {
	if p.waiting < p.remaining || s.awaitsFormerRun(p.tasks[0]) {
		return
	}
	var run mothferry.RunNumber
	for _, t := range p.tasks {
		run = max(run, t.run)
		if now.Before(t.notBefore) {
			return
		}
	}
	if !c.job.account.admitsAll(p.spec.Need, len(p.tasks)) {
		return
	}
	chosen := s.draftGang(c, p, run+1, capacity, now)
	checkpoint := p.tasks[0].checkpoint
	for i, w := range chosen {
		p.tasks[i].checkpoint = checkpoint
		s.plan(p.tasks[i], w, run+1, now)
		capacity.taken(p.tasks[i], w)
	}
}

// draftGang returns a worker for each member of a gang; nil if not all of them can be placed.
func (s *State) draftGang(c *candidate, p *step, run mothferry.RunNumber, capacity *placementCapacity, now time.Time) []*worker {
	s.draft = &gangDraft{step: p, members: map[*worker]int{}}
	defer func() { s.draft = nil }()
	room := s.rowRoomOf(c.job)
	var chosen []*worker
	for _, t := range p.tasks {
		w := s.chooseWorker(c, t, capacity, now)
		if w == nil {
			return nil
		}
		if !room.take(t, w, run) {
			s.recordRowFull(c.job, now)
			return nil
		}
		s.draft.members[w]++
		chosen = append(chosen, w)
	}
	return chosen
}
