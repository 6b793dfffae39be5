// Package mfduty decides when machines are taken down for upkeep and when
// they move between pools. It does no I/O: Plan takes what the platform lists
// and what workers run, and returns which workers to empty and what to ask for.
//
// What it guards against:
//
//   - Work is cut off: a machine is emptied first. Nothing new starts there,
//     short tasks end, lasting ones are moved as their steps allow.
//   - More machines of a wave are down than it allows: one that was asked for
//     counts as down until it is listed as up with another life of its worker,
//     also while the answer to the call is not known.
//   - A wave is said to be completed too early: each of its machines that is
//     still listed must have been taken down in it by an answered call.
package mfduty

import (
	"cmp"
	"math"
	"slices"
	"time"

	"mothferry"
	"mothferry/mfpool"
	"mothferry/mfsched"
)

// Kind is what is done with a machine.
type Kind string

// Kinds of errands.
const (
	KindMaintenance Kind = "upkeep"
	KindMove        Kind = "move"
)

// phase is how far an errand is.
type phase int

const (
	// phaseEvacuating: the machine's worker gets no work and runs out of it.
	phaseEvacuating phase = iota
	// phaseRequested: the platform was asked, and what it did is not known.
	phaseRequested
	// phaseAccepted: the platform took the machine down or moves it.
	phaseAccepted
)

// operation is one machine on its way to upkeep or to another pool.
type operation struct {
	call  Call
	phase phase
	// worker is the life that ends by it.
	worker      mothferry.WorkerID
	since       time.Time
	requestedAt time.Time
}

// Call is what the platform is asked for.
type Call struct {
	Kind    Kind
	Machine mothferry.MachineID
	// Wave belongs to upkeep, Pool to a move.
	Wave mothferry.WaveID
	Pool mothferry.ServiceID
}

// Wave is a wave of upkeep under way.
type Wave struct {
	mfsched.Wave
	// StartedAt is when it was first seen.
	StartedAt time.Time
	// Done holds the machines that were taken down in it.
	Done map[mothferry.MachineID]bool
	// Completed says that all machines that are still there are done.
	Completed bool
}

// Times of errands.
const (
	// retryInterval is the pause before a call without answer is repeated.
	retryInterval = 800 * time.Millisecond
	// machineTurnaround is how long a wave's machines take from the choice until they
	// are back: they run empty, are down for two seconds, and are listed again.
	machineTurnaround = 4 * time.Second
	// deadlineMargin is left before a wave's deadline, for a takeover.
	deadlineMargin = 3 * time.Second
	// deferLimit is from which part of its largest number at a time on a wave no
	// longer waits for pools: beyond it a delay could not be made up.
	deferLimit = 0.6
	// listDelay is how soon after the answer to a call the list shows it; a
	// machine that is still up by then was taken down earlier.
	listDelay = time.Second
	// evacuationTimeout is how long a machine may take to run empty before another one
	// is tried; near a wave's deadline it is taken down with what still runs.
	evacuationTimeout = 6 * time.Second
	// evacuationCutoff is how long before a wave's deadline short tasks are no
	// longer waited for.
	evacuationCutoff = 4 * time.Second
)

// State is what is under way.
type State struct {
	// Off holds the features that are switched off; it is set before the first plan.
	Off mothferry.FeaturesOff
	// Waves and Rooms, which are those of the last plan, are for reading.
	Waves      map[mothferry.WaveID]*Wave
	PoolSizes  map[mothferry.ServiceID]PoolSize
	operations map[mothferry.MachineID]*operation
	// missingSince holds since when no list has shown a machine that is to be acted on.
	missingSince map[mothferry.MachineID]time.Time
	sizer        mfpool.Sizer
}

// New returns a state with nothing under way.
func New() *State {
	return &State{Waves: map[mothferry.WaveID]*Wave{}, operations: map[mothferry.MachineID]*operation{}, missingSince: map[mothferry.MachineID]time.Time{}}
}

// AddWave takes in a wave that the operator asks for. One that is known keeps what
// was done in it.
func (s *State) AddWave(w mfsched.Wave, now time.Time) {
	if known, ok := s.Waves[w.Wave]; ok {
		known.Wave = w
		return
	}
	s.Waves[w.Wave] = &Wave{Wave: w, StartedAt: now, Done: map[mothferry.MachineID]bool{}}
}

// RestoreWave takes in what an earlier owner did in a wave.
func (s *State) RestoreWave(id mothferry.WaveID, begun time.Time, done []mothferry.MachineID) {
	w, ok := s.Waves[id]
	if !ok {
		w = &Wave{Wave: mfsched.Wave{Wave: id}, Done: map[mothferry.MachineID]bool{}}
		s.Waves[id] = w
	}
	w.StartedAt = begun
	for _, m := range done {
		w.Done[m] = true
	}
}

// Plan returns what is due.
func (s *State) Plan(f Fleet, now time.Time) []Call {
	listed := map[mothferry.MachineID]mothferry.Machine{}
	for _, m := range f.Machines {
		listed[m.Machine] = m
	}
	s.updateMissing(listed, now)
	s.finishOperations(listed, now)
	room := s.planMoves(f, now)
	for _, id := range s.wavesByDeadline() {
		room -= s.planWave(s.Waves[id], listed, f, room, now)
	}
	return s.dueCalls(f, listed, now)
}

// updateMissing keeps since when machines are not listed.
func (s *State) updateMissing(listed map[mothferry.MachineID]mothferry.Machine, now time.Time) {
	note := func(id mothferry.MachineID) {
		_, there := listed[id]
		_, known := s.missingSince[id]
		switch {
		case there:
			delete(s.missingSince, id)
		case !known:
			s.missingSince[id] = now
		}
	}
	for id := range s.operations {
		note(id)
	}
	for _, w := range s.Waves {
		for _, id := range w.Machines {
			note(id)
		}
	}
}

// removed reports whether a machine is not listed any more: a single list may lack it.
func (s *State) removed(id mothferry.MachineID, now time.Time) bool {
	since, absent := s.missingSince[id]
	return absent && now.Sub(since) >= missingTimeout
}

// finishOperations ends the errands of machines that are back, or gone.
func (s *State) finishOperations(listed map[mothferry.MachineID]mothferry.Machine, now time.Time) {
	for id, e := range s.operations {
		m, there := listed[id]
		same := there && m.State == mothferry.MachineUp && m.Worker == e.worker
		switch {
		case !there:
			if s.removed(id, now) {
				delete(s.operations, id)
			}
		case e.phase == phaseAccepted && m.State == mothferry.MachineUp && (!same || now.Sub(e.since) > listDelay):
			delete(s.operations, id)
		case e.phase == phaseEvacuating && !same:
			// Its worker crashed, or somebody else acted on it: begin anew.
			delete(s.operations, id)
		case e.phase == phaseEvacuating && now.Sub(e.since) > evacuationTimeout:
			delete(s.operations, id)
		}
	}
}

// wavesByDeadline returns the waves in the order of their deadlines.
func (s *State) wavesByDeadline() []mothferry.WaveID {
	var ids []mothferry.WaveID
	for id := range s.Waves {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b mothferry.WaveID) int {
		return cmp.Or(s.Waves[a].Deadline().Compare(s.Waves[b].Deadline()), cmp.Compare(a, b))
	})
	return ids
}

// Deadline is when all machines of the wave should have had their upkeep.
func (w *Wave) Deadline() time.Time { return w.StartedAt.Add(w.Within) }

// planWave takes machines of a wave, as many as pools can do without, or as the
// wave's deadline asks for. It returns how many it takes.
func (s *State) planWave(w *Wave, listed map[mothferry.MachineID]mothferry.Machine, f Fleet, room int, now time.Time) int {
	if w.Completed || len(w.Machines) == 0 {
		return 0
	}
	var left, slow []mothferry.Machine
	busy, open, slowBusy := 0, 0, 0
	for _, id := range w.Machines {
		m := listed[id]
		if s.removed(id, now) {
			continue
		}
		e, underWay := s.operations[id]
		switch {
		case underWay && e.call.Kind == KindMaintenance && e.call.Wave == w.Wave.Wave:
			busy++
			if e.phase == phaseEvacuating && f.Loads[m.Worker].Lasting > 0 {
				slowBusy++
			}
		case m.State == mothferry.MachineUpkeep, f.Blocked[id] && !w.Done[id]:
			// A machine that a former owner asked for may be going down.
			busy++
		case !w.Done[id] && !underWay && m.State == mothferry.MachineUp:
			left = append(left, m)
			if f.Loads[m.Worker].Lasting > 0 {
				slow = append(slow, m)
			}
		}
		if !w.Done[id] {
			open++
		}
	}
	if open == 0 {
		w.Completed = true
		return 0
	}
	most := min(w.MaxDown, max(busy+max(room, 0), w.minParallel(open, now)))
	taken := s.startMaintenance(w, left, f, most-busy, now)
	// Those without lasting tasks came first: what they left room for counts too.
	slowMost := min(w.minParallelEvacuations(len(slow)+slowBusy, now)-slowBusy, w.MaxDown-busy-taken)
	return taken + s.startMaintenance(w, slow, f, slowMost, now)
}

// startMaintenance makes errands of some machines of a wave, those first of which least is
// lost. It returns how many it made.
func (s *State) startMaintenance(w *Wave, machines []mothferry.Machine, f Fleet, most int, now time.Time) int {
	taken := 0
	slices.SortFunc(machines, func(a, b mothferry.Machine) int {
		return cmp.Or(f.Loads[a.Worker].Compare(f.Loads[b.Worker]), cmp.Compare(a.Machine, b.Machine))
	})
	for _, m := range machines {
		if taken >= most {
			break
		}
		if _, underWay := s.operations[m.Machine]; underWay {
			continue
		}
		taken++
		s.operations[m.Machine] = &operation{
			call:   Call{Kind: KindMaintenance, Machine: m.Machine, Wave: w.Wave.Wave},
			worker: m.Worker, since: now,
		}
	}
	return taken
}

// minParallelEvacuations is how many machines with lasting tasks must be emptied at a time for all
// of them to be done before the wave's deadline. A step lets few of its tasks be away
// at a time, so that these machines empty one after the other however many are free
// to go: left to the end, some are late.
func (w *Wave) minParallelEvacuations(machines int, now time.Time) int {
	left := w.Deadline().Sub(now) - machineTurnaround - deadlineMargin
	if left <= evacuationTimeout {
		return machines
	}
	return int(math.Ceil(float64(machines) * float64(evacuationTimeout) / float64(left)))
}

// minParallel is how many machines of a wave must be away at a time, whatever pools
// miss, for all that are open to be done before its deadline; 0 while that leaves
// time to wait.
func (w *Wave) minParallel(open int, now time.Time) int {
	left := w.Deadline().Sub(now) - machineTurnaround - deadlineMargin
	if left <= machineTurnaround {
		return w.MaxDown
	}
	needed := float64(open) * float64(machineTurnaround) / float64(left)
	if needed < deferLimit*float64(w.MaxDown) {
		return 0
	}
	return int(math.Ceil(needed))
}

// dueCalls returns the calls for machines that are empty, and those that have had
// no answer.
func (s *State) dueCalls(f Fleet, listed map[mothferry.MachineID]mothferry.Machine, now time.Time) []Call {
	var calls []Call
	for _, e := range s.operations {
		m, there := listed[e.call.Machine]
		switch {
		case e.phase == phaseEvacuating && there && s.readyForCall(e, f, m, now),
			e.phase == phaseRequested && now.Sub(e.requestedAt) >= retryInterval:
			e.phase, e.requestedAt = phaseRequested, now
			calls = append(calls, e.call)
		}
	}
	slices.SortFunc(calls, func(a, b Call) int { return cmp.Compare(a.Machine, b.Machine) })
	return calls
}

// readyForCall reports whether a machine may be taken: it stands by, or is known to
// be empty, or the wave's deadline is near and only short tasks run there, which
// start again elsewhere. A new owner does not know at once what workers run.
func (s *State) readyForCall(e *operation, f Fleet, m mothferry.Machine, now time.Time) bool {
	if f.Standby[m.Pool] || f.idle(e.worker) {
		return true
	}
	load := f.Loads[e.worker]
	if !load.Known {
		return false
	}
	w, ok := s.Waves[e.call.Wave]
	return ok && e.call.Kind == KindMaintenance && load.Lasting == 0 && w.Deadline().Sub(now) < evacuationCutoff
}

// Answer is how a call ended.
type Answer string

// Answers to calls.
const (
	AnswerDone    Answer = "done"
	AnswerRefused Answer = "refused"
	AnswerUnknown Answer = "unknown"
	// AnswerThrottled: the platform had too many calls, and did nothing.
	AnswerThrottled Answer = "declined"
)

// RecordAnswer takes in the answer to a call. That a call is answered as done does
// not say that the life of a worker has ended by it: the machine may have been
// taken down before. Only the list of machines tells that.
func (s *State) RecordAnswer(c Call, answer Answer, now time.Time) {
	e, ok := s.operations[c.Machine]
	if !ok || e.call != c {
		return
	}
	switch answer {
	case AnswerDone:
		e.phase, e.since = phaseAccepted, now
		if w, ok := s.Waves[c.Wave]; ok && c.Kind == KindMaintenance {
			w.Done[c.Machine] = true
		}
	case AnswerRefused:
		delete(s.operations, c.Machine)
	case AnswerThrottled:
		// The next round calls again; its machine is empty meanwhile.
		if !s.Off[mothferry.FeatureRooms] {
			e.phase, e.since = phaseEvacuating, now
		}
	}
}

// Evacuating returns the workers that are to run out of work.
func (s *State) Evacuating() map[mothferry.WorkerID]bool {
	leaving := map[mothferry.WorkerID]bool{}
	for _, e := range s.operations {
		leaving[e.worker] = true
	}
	return leaving
}

// AwaitingMaintenance returns the workers of machines that a wave has yet to take down.
func (s *State) AwaitingMaintenance(machines []mothferry.Machine) map[mothferry.WorkerID]bool {
	workers := map[mothferry.MachineID]mothferry.WorkerID{}
	for _, m := range machines {
		workers[m.Machine] = m.Worker
	}
	due := map[mothferry.WorkerID]bool{}
	for _, w := range s.Waves {
		for _, id := range w.Machines {
			if worker := workers[id]; worker != "" && !w.Done[id] {
				due[worker] = true
			}
		}
	}
	return due
}
