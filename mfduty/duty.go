// Package mfduty decides when machines are taken out of service for maintenance and
// when they move between pools. It does no I/O: Plan takes the platform's machine list
// and the loads of the workers, selects the workers to evacuate, and returns the calls
// to make to the platform.
//
// It ensures that:
//
//   - Work is not interrupted: a machine is evacuated first. It gets no new tasks, short
//     tasks finish, and lasting ones are moved as their steps allow. Only near a wave's
//     deadline short tasks are interrupted.
//   - No more machines of a wave are down than it allows: once its call was made, a machine
//     counts as down until it is listed as up with a new incarnation of its worker, also
//     while the answer to the call is unknown.
//   - A wave is not reported as completed too early: each of its machines that is still
//     listed must have been taken down in it by an answered call.
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

// Kind is the kind of an operation on a machine.
type Kind string

// Kinds of operations.
const (
	KindMaintenance Kind = "upkeep"
	KindMove        Kind = "move"
)

// phase is the progress of an operation.
type phase int

const (
	// phaseEvacuating: the machine's worker gets no new tasks, and its tasks finish or are
	// moved away.
	phaseEvacuating phase = iota
	// phaseRequested: the platform was called, and the result is unknown.
	phaseRequested
	// phaseAccepted: the platform has taken the machine down, or moves it.
	phaseAccepted
)

// operation is the maintenance or the move of one machine that is under way.
type operation struct {
	call  Call
	phase phase
	// worker is the incarnation that the operation ends.
	worker mothferry.WorkerID
	// since is when the evacuation started, or when the platform accepted the call.
	since       time.Time
	requestedAt time.Time
}

// Call is a request to the platform.
type Call struct {
	Kind    Kind
	Machine mothferry.MachineID
	// Wave is set for maintenance, Pool for a move.
	Wave mothferry.WaveID
	Pool mothferry.ServiceID
}

// Wave is a maintenance wave and its progress.
type Wave struct {
	mfsched.Wave
	// StartedAt is when it was first seen.
	StartedAt time.Time
	// Done holds the machines that were taken down in it.
	Done map[mothferry.MachineID]bool
	// Completed says that all machines that are still listed are done.
	Completed bool
}

const (
	// retryInterval is the pause before a call without an answer is repeated.
	retryInterval = 800 * time.Millisecond
	// machineTurnaround is the time from the selection of a wave's machine until it is
	// back: it is evacuated, is down for two seconds, and is listed again.
	machineTurnaround = 4 * time.Second
	// deadlineMargin is reserved before a wave's deadline for a takeover of the shard.
	deadlineMargin = 3 * time.Second
	// deferLimit is the fraction of MaxDown up to which a wave waits while pools are short;
	// beyond it the delay could not be made up.
	deferLimit = 0.6
	// listDelay is how soon after the answer to a call the machine list shows the change;
	// a machine that is still up after that was taken down by an earlier call.
	listDelay = time.Second
	// evacuationTimeout is how long the evacuation of a machine may take before another
	// one is tried; near a wave's deadline it is taken down with the short tasks that are left.
	evacuationTimeout = 6 * time.Second
	// evacuationCutoff is how long before a wave's deadline short tasks are no longer
	// waited for.
	evacuationCutoff = 4 * time.Second
)

// State holds the waves and the operations under way.
type State struct {
	// Off holds the features that are switched off; it is set before the first plan.
	Off mothferry.FeaturesOff
	// Waves and PoolSizes are read-only for callers; PoolSizes are those of the last plan.
	Waves      map[mothferry.WaveID]*Wave
	PoolSizes  map[mothferry.ServiceID]PoolSize
	operations map[mothferry.MachineID]*operation
	// missingSince holds since when a machine of an operation or a wave is not listed.
	missingSince map[mothferry.MachineID]time.Time
	// rejections holds the calls that the platform rejected, rejectedKinds the kinds of machines
	// that can't join a pool.
	rejections    map[Call]rejection
	rejectedKinds map[kindMove]bool
	// listed holds the machines of the last plan, poolKinds their kinds by pool.
	listed    map[mothferry.MachineID]mothferry.Machine
	poolKinds map[mothferry.ServiceID]map[mothferry.MachineKind]bool
	sizer     mfpool.Sizer
}

// New returns a State without waves and operations.
func New() *State {
	return &State{
		Waves: map[mothferry.WaveID]*Wave{}, operations: map[mothferry.MachineID]*operation{}, missingSince: map[mothferry.MachineID]time.Time{},
		rejections: map[Call]rejection{}, rejectedKinds: map[kindMove]bool{},
	}
}

// AddWave adds a wave that the operator requests, or updates a known one, which keeps its
// progress.
func (s *State) AddWave(w mfsched.Wave, now time.Time) {
	if known, ok := s.Waves[w.Wave]; ok {
		known.Wave = w
		return
	}
	s.Waves[w.Wave] = &Wave{Wave: w, StartedAt: now, Done: map[mothferry.MachineID]bool{}}
}

// RestoreWave restores the progress of a wave that a previous owner stored.
func (s *State) RestoreWave(id mothferry.WaveID, startedAt time.Time, done []mothferry.MachineID) {
	w, ok := s.Waves[id]
	if !ok {
		w = &Wave{Wave: mfsched.Wave{Wave: id}, Done: map[mothferry.MachineID]bool{}}
		s.Waves[id] = w
	}
	w.StartedAt = startedAt
	for _, m := range done {
		w.Done[m] = true
	}
}

// Plan starts and finishes operations by the state of the fleet, and returns the calls to
// make now.
func (s *State) Plan(f Fleet, now time.Time) []Call {
	listed := map[mothferry.MachineID]mothferry.Machine{}
	for _, m := range f.Machines {
		listed[m.Machine] = m
	}
	s.updateMissing(listed, now)
	s.finishOperations(listed, now)
	s.updateRejections(f, listed)
	spare := s.planMoves(f, now)
	for _, id := range s.wavesByDeadline() {
		spare -= s.planWave(s.Waves[id], listed, f, spare, now)
	}
	return s.dueCalls(f, listed, now)
}

// updateMissing records since when machines of operations and waves are not listed.
func (s *State) updateMissing(listed map[mothferry.MachineID]mothferry.Machine, now time.Time) {
	update := func(id mothferry.MachineID) {
		_, isListed := listed[id]
		_, known := s.missingSince[id]
		switch {
		case isListed:
			delete(s.missingSince, id)
		case !known:
			s.missingSince[id] = now
		}
	}
	for id := range s.operations {
		update(id)
	}
	for _, w := range s.Waves {
		for _, id := range w.Machines {
			update(id)
		}
	}
}

// removed reports whether a machine has been missing for missingTimeout: a single list may
// lack a machine that still exists.
func (s *State) removed(id mothferry.MachineID, now time.Time) bool {
	since, missing := s.missingSince[id]
	return missing && now.Sub(since) >= missingTimeout
}

// finishOperations removes the operations of machines that are back in service or removed,
// and evacuations that failed.
func (s *State) finishOperations(listed map[mothferry.MachineID]mothferry.Machine, now time.Time) {
	for id, op := range s.operations {
		m, isListed := listed[id]
		unchanged := isListed && m.State == mothferry.MachineUp && m.Worker == op.worker
		switch {
		case !isListed:
			if s.removed(id, now) {
				delete(s.operations, id)
			}
		case op.phase == phaseAccepted && m.State == mothferry.MachineUp && (!unchanged || now.Sub(op.since) > listDelay):
			delete(s.operations, id)
		case op.phase == phaseEvacuating && !unchanged:
			// Its worker crashed, or another caller changed the machine: plan it again.
			delete(s.operations, id)
		case op.phase == phaseEvacuating && now.Sub(op.since) > evacuationTimeout:
			delete(s.operations, id)
		}
	}
}

// wavesByDeadline returns the waves ordered by deadline.
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

// Deadline returns when the maintenance of all machines of the wave should be done.
func (w *Wave) Deadline() time.Time { return w.StartedAt.Add(w.Within) }

// planWave starts maintenance of as many machines of a wave as pools can spare, or as its
// deadline requires. It returns the number of machines started.
func (s *State) planWave(w *Wave, listed map[mothferry.MachineID]mothferry.Machine, f Fleet, spare int, now time.Time) int {
	if w.Completed || len(w.Machines) == 0 {
		return 0
	}
	var selectable, lasting []mothferry.Machine
	down, unfinished, lastingEvacuating := 0, 0, 0
	for _, id := range w.Machines {
		m := listed[id]
		if s.removed(id, now) {
			continue
		}
		op, underWay := s.operations[id]
		switch {
		case underWay && op.call.Kind == KindMaintenance && op.call.Wave == w.Wave.Wave:
			down++
			if op.phase == phaseEvacuating && f.Loads[m.Worker].Lasting > 0 {
				lastingEvacuating++
			}
		case m.State == mothferry.MachineMaintenance, f.Blocked[id] && !w.Done[id]:
			// A machine that a previous owner made a call for may be going down.
			down++
		case s.rejected(Call{Kind: KindMaintenance, Machine: id, Wave: w.Wave.Wave}):
		case !w.Done[id] && !underWay && m.State == mothferry.MachineUp:
			selectable = append(selectable, m)
			if f.Loads[m.Worker].Lasting > 0 {
				lasting = append(lasting, m)
			}
		}
		if !w.Done[id] {
			unfinished++
		}
	}
	if unfinished == 0 {
		w.Completed = true
		return 0
	}
	limit := min(w.MaxDown, max(down+max(spare, 0), w.minParallel(unfinished, now)))
	started := s.startMaintenance(w, selectable, f, limit-down, now)
	// Machines without lasting tasks were started first. Enough of those with lasting
	// tasks are started as well, within MaxDown, to be done before the deadline.
	lastingLimit := min(w.minParallelEvacuations(len(lasting)+lastingEvacuating, now)-lastingEvacuating, w.MaxDown-down-started)
	return started + s.startMaintenance(w, lasting, f, lastingLimit, now)
}

// startMaintenance starts operations for some machines of a wave, in the order of their
// load, the least first. It returns the number of operations started.
func (s *State) startMaintenance(w *Wave, machines []mothferry.Machine, f Fleet, limit int, now time.Time) int {
	started := 0
	slices.SortFunc(machines, func(a, b mothferry.Machine) int {
		return cmp.Or(f.Loads[a.Worker].Compare(f.Loads[b.Worker]), cmp.Compare(a.Machine, b.Machine))
	})
	for _, m := range machines {
		if started >= limit {
			break
		}
		if _, underWay := s.operations[m.Machine]; underWay {
			continue
		}
		started++
		s.operations[m.Machine] = &operation{
			call:   Call{Kind: KindMaintenance, Machine: m.Machine, Wave: w.Wave.Wave},
			worker: m.Worker, since: now,
		}
	}
	return started
}

// minParallelEvacuations returns how many machines with lasting tasks must be evacuated in
// parallel for all of them to be done before the wave's deadline. A step allows only few of
// its tasks to be unavailable at a time, so these machines are evacuated one after the other
// however many are selected: if they were left to the end, some would miss the deadline.
func (w *Wave) minParallelEvacuations(machines int, now time.Time) int {
	remaining := w.Deadline().Sub(now) - machineTurnaround - deadlineMargin
	if remaining <= evacuationTimeout {
		return machines
	}
	return int(math.Ceil(float64(machines) * float64(evacuationTimeout) / float64(remaining)))
}

// minParallel returns how many machines of a wave must be down in parallel, even if pools
// are short, for all unfinished ones to be done before its deadline; 0 while there is time
// to wait.
func (w *Wave) minParallel(unfinished int, now time.Time) int {
	remaining := w.Deadline().Sub(now) - machineTurnaround - deadlineMargin
	if remaining <= machineTurnaround {
		return w.MaxDown
	}
	needed := float64(unfinished) * float64(machineTurnaround) / float64(remaining)
	if needed < deferLimit*float64(w.MaxDown) {
		return 0
	}
	return int(math.Ceil(needed))
}

// dueCalls returns the calls for machines that are evacuated, and repeats those without an
// answer.
func (s *State) dueCalls(f Fleet, listed map[mothferry.MachineID]mothferry.Machine, now time.Time) []Call {
	var calls []Call
	for _, op := range s.operations {
		m, isListed := listed[op.call.Machine]
		switch {
		case op.phase == phaseEvacuating && isListed && s.readyForCall(op, f, m, now),
			op.phase == phaseRequested && now.Sub(op.requestedAt) >= retryInterval:
			op.phase, op.requestedAt = phaseRequested, now
			calls = append(calls, op.call)
		}
	}
	slices.SortFunc(calls, func(a, b Call) int { return cmp.Compare(a.Machine, b.Machine) })
	return calls
}

// readyForCall reports whether the call for a machine may be made: the machine is on standby,
// or is known to be idle, or the wave's deadline is near and only short tasks run there, which
// restart on other workers. A new owner does not know at once what workers run.
func (s *State) readyForCall(op *operation, f Fleet, m mothferry.Machine, now time.Time) bool {
	if f.Standby[m.Pool] || f.idle(op.worker) {
		return true
	}
	load := f.Loads[op.worker]
	if !load.Known {
		return false
	}
	w, ok := s.Waves[op.call.Wave]
	return ok && op.call.Kind == KindMaintenance && load.Lasting == 0 && w.Deadline().Sub(now) < evacuationCutoff
}

// Answer is the result of a call.
type Answer string

// Results of calls.
const (
	AnswerDone    Answer = "done"
	AnswerRefused Answer = "refused"
	AnswerUnknown Answer = "unknown"
	// AnswerRejected: the platform holds the call for invalid, and did nothing.
	AnswerRejected Answer = "rejected"
	// AnswerThrottled: the platform's rate limit was exceeded, and it did nothing.
	AnswerThrottled Answer = "declined"
)

// RecordAnswer records the answer to a call. AnswerDone does not mean that the call has ended
// the worker's incarnation: the machine may have been taken down before. Only the machine list
// shows that.
func (s *State) RecordAnswer(c Call, answer Answer, now time.Time) {
	op, ok := s.operations[c.Machine]
	if !ok || op.call != c {
		return
	}
	switch answer {
	case AnswerDone:
		op.phase, op.since = phaseAccepted, now
		if w, ok := s.Waves[c.Wave]; ok && c.Kind == KindMaintenance {
			w.Done[c.Machine] = true
		}
	case AnswerRefused:
		delete(s.operations, c.Machine)
	case AnswerRejected:
		delete(s.operations, c.Machine)
		s.recordRejection(c)
	case AnswerThrottled:
		// The next plan repeats the call; the machine stays evacuated meanwhile.
		if !s.Off[mothferry.FeaturePoolSizes] {
			op.phase, op.since = phaseEvacuating, now
		}
	}
}

// Evacuating returns the workers that are being evacuated.
func (s *State) Evacuating() map[mothferry.WorkerID]bool {
	evacuating := map[mothferry.WorkerID]bool{}
	for _, op := range s.operations {
		evacuating[op.worker] = true
	}
	return evacuating
}

// AwaitingMaintenance returns the workers of machines that a wave has not taken down yet.
func (s *State) AwaitingMaintenance(machines []mothferry.Machine) map[mothferry.WorkerID]bool {
	workers := map[mothferry.MachineID]mothferry.WorkerID{}
	for _, m := range machines {
		workers[m.Machine] = m.Worker
	}
	awaiting := map[mothferry.WorkerID]bool{}
	for _, w := range s.Waves {
		for _, id := range w.Machines {
			if worker := workers[id]; worker != "" && !w.Done[id] {
				awaiting[worker] = true
			}
		}
	}
	return awaiting
}
