package mfduty_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfdemand"
	"mothferry/mfduty"
	"mothferry/mfsched"
)

// poolMachines returns machines of a pool and records a load for the worker of each.
func poolMachines(pool mothferry.ServiceID, count int, load mfsched.Load, loads map[mothferry.WorkerID]mfsched.Load) []mothferry.Machine {
	var machines []mothferry.Machine
	for i := range count {
		m := up(mothferry.MachineID(fmt.Sprintf("%s-%02d", pool, i)), mothferry.WorkerID(fmt.Sprintf("w-%s-%02d", pool, i)))
		m.Pool, m.Capacity = pool, mothferry.Resources{Cores: 16000, Memory: 32 * mothferry.Gibibyte}
		machines = append(machines, m)
		load.Service = pool
		loads[m.Worker] = load
	}
	return machines
}

// shortFleet returns a fleet whose machines are all in pool a and idle, while each of two pools
// has more demand than the fleet can serve.
func shortFleet() mfduty.Fleet {
	f := mfduty.Fleet{Loads: map[mothferry.WorkerID]mfsched.Load{}}
	work := mfdemand.Amount{Cores: 1000}
	d := mfdemand.Demand{Arriving: mfdemand.Amount{Cores: 500}, Ready: work, ReadyWork: work}
	f.Demands = map[mothferry.ServiceID]mfdemand.Demand{"a": d, "b": d}
	f.Machines = poolMachines("a", 40, mfsched.Load{Known: true}, f.Loads)
	return f
}

// completeMoves answers calls and lists their machines as moved.
func completeMoves(s *mfduty.State, f *mfduty.Fleet, calls []mfduty.Call, now time.Time) {
	for _, c := range calls {
		s.RecordAnswer(c, mfduty.AnswerDone, now)
		for i := range f.Machines {
			if m := &f.Machines[i]; m.Machine == c.Machine {
				m.Pool, m.Worker = c.Pool, m.Worker+"-new"
				f.Loads[m.Worker] = mfsched.Load{Known: true, Service: c.Pool}
			}
		}
	}
}

// TestShortFleetIsDividedOnce checks that a pool with queued work does not retain all machines
// that become idle there, and that no machine moves twice while demands are constant.
func TestShortFleetIsDividedOnce(t *testing.T) {
	s := mfduty.New()
	f := shortFleet()
	moves := map[mothferry.MachineID]int{}
	for d := time.Duration(0); d < 20*time.Second; d += 150 * time.Millisecond {
		now := start.Add(d)
		calls := s.Plan(f, now)
		for _, c := range calls {
			moves[c.Machine]++
			assert.Equal(t, c.Pool, mothferry.ServiceID("b"))
			assert.Equal(t, f.Loads[mothferry.WorkerID("w-"+string(c.Machine))].Tasks, 0)
		}
		completeMoves(s, &f, calls, now)
	}
	assert.Assert(t, len(moves) >= 13 && len(moves) <= 20, "%d", len(moves))
	for id, n := range moves {
		assert.Equal(t, n, 1, "%s", id)
	}
}

// TestShortFleetEndsNoWork checks that machines with tasks do not move to a short pool.
func TestShortFleetEndsNoWork(t *testing.T) {
	s := mfduty.New()
	f := shortFleet()
	for id, l := range f.Loads {
		l.Tasks = 1
		f.Loads[id] = l
	}
	assert.Equal(t, len(s.Plan(f, start)), 0)
	assert.Equal(t, len(s.Evacuating()), 0)
}

// TestDivisionCanBeDisabled checks that a short fleet is not divided while the feature is off.
func TestDivisionCanBeDisabled(t *testing.T) {
	s := mfduty.New()
	s.Off = mothferry.FeaturesOff{mothferry.FeaturePoolSizes: true}
	s.Plan(shortFleet(), start)
	assert.Equal(t, len(s.Evacuating()), 0)
}

// TestPoolSparesItsSlowMachine checks that the machine that a pool releases to standby is its
// slow one.
func TestPoolSparesItsSlowMachine(t *testing.T) {
	s := mfduty.New()
	f := mfduty.Fleet{
		Standby: map[mothferry.ServiceID]bool{"off": true}, Loads: map[mothferry.WorkerID]mfsched.Load{},
		Demands: map[mothferry.ServiceID]mfdemand.Demand{"a": {Arriving: mfdemand.Amount{Cores: 50}}},
	}
	f.Machines = poolMachines("a", 6, mfsched.Load{Known: true}, f.Loads)
	f.Loads["w-a-05"] = mfsched.Load{Known: true, Service: "a", Speed: 0.2}
	calls := s.Plan(f, start)
	assert.Equal(t, len(calls), 1)
	assert.DeepEqual(t, calls[0], mfduty.Call{Kind: mfduty.KindMove, Machine: "a-05", Pool: "off"})
}

// TestUnansweredMoveIsRetried checks that a call without an answer does not prevent other moves
// and is repeated.
func TestUnansweredMoveIsRetried(t *testing.T) {
	s := mfduty.New()
	f := shortFleet()
	calls := s.Plan(f, start.Add(150*time.Millisecond))
	assert.Assert(t, len(calls) > 1)
	lost := calls[0]
	s.RecordAnswer(lost, mfduty.AnswerUnknown, start)
	completeMoves(s, &f, calls[1:], start.Add(300*time.Millisecond))
	again := false
	for d := 450 * time.Millisecond; d < 3*time.Second; d += 150 * time.Millisecond {
		for _, c := range s.Plan(f, start.Add(d)) {
			again = again || c == lost
			s.RecordAnswer(c, mfduty.AnswerUnknown, start.Add(d))
		}
	}
	assert.Assert(t, again)
}

// TestRefusedMoveIsRetried checks that a move that the platform refuses is replaced in the next
// plan by a move of the same or another machine.
func TestRefusedMoveIsRetried(t *testing.T) {
	s := mfduty.New()
	f := shortFleet()
	calls := s.Plan(f, start.Add(150*time.Millisecond))
	for _, c := range calls {
		s.RecordAnswer(c, mfduty.AnswerRefused, start.Add(200*time.Millisecond))
	}
	assert.Equal(t, len(s.Evacuating()), 0)
	assert.Equal(t, len(s.Plan(f, start.Add(300*time.Millisecond))), len(calls))
}

// TestSuccessorRepeatsDivision checks that a new owner divides the fleet like the previous one,
// which was lost before it made its calls: nothing of a division is stored but calls under way.
func TestSuccessorRepeatsDivision(t *testing.T) {
	f := shortFleet()
	previous := mfduty.New()
	previous.Plan(f, start)
	assert.Assert(t, len(previous.Evacuating()) > 0)
	newOwner := mfduty.New()
	newOwner.Plan(f, start.Add(3*time.Second))
	assert.DeepEqual(t, newOwner.Evacuating(), previous.Evacuating())
}

// TestNoFurtherMachinesAfterListsFailed checks that a plan on an old machine list repeats the
// calls under way and makes no others.
func TestNoFurtherMachinesAfterListsFailed(t *testing.T) {
	s := mfduty.New()
	f := shortFleet()
	calls := s.Plan(f, start)
	assert.Assert(t, len(calls) > 0)
	assert.DeepEqual(t, s.Plan(f, start.Add(10*time.Second)), calls)
}

// TestFluctuatingDemandMovesNothing checks that demand that varies by a fifth every two seconds
// does not move machines back and forth.
func TestFluctuatingDemandMovesNothing(t *testing.T) {
	s := mfduty.New()
	f := shortFleet()
	moves := 0
	for i := range 200 {
		now := start.Add(time.Duration(i) * 150 * time.Millisecond)
		for _, id := range []mothferry.ServiceID{"a", "b"} {
			d := f.Demands[id]
			d.Arriving.Cores = 450
			if (i/13%2 == 0) == (id == "a") {
				d.Arriving.Cores = 550
			}
			f.Demands[id] = d
		}
		calls := s.Plan(f, now)
		if i >= 30 {
			moves += len(calls)
		}
		completeMoves(s, &f, calls, now)
	}
	assert.Equal(t, moves, 0)
}

// TestThrottledMoveIsRetriedInTheNextRound checks that a call beyond the platform's rate limit
// is repeated in the next plan, not after retryInterval.
func TestThrottledMoveIsRetriedInTheNextRound(t *testing.T) {
	s := mfduty.New()
	f := shortFleet()
	calls := s.Plan(f, start.Add(150*time.Millisecond))
	assert.Assert(t, len(calls) > 1)
	s.RecordAnswer(calls[0], mfduty.AnswerThrottled, start.Add(160*time.Millisecond))
	completeMoves(s, &f, calls[1:], start.Add(160*time.Millisecond))
	assert.DeepEqual(t, s.Plan(f, start.Add(300*time.Millisecond)), calls[:1])
}

// TestSlowMachineGoesToStandbyNotToShortPool checks that a slow machine does not move to a
// short pool while a machine of normal speed moves to standby or stays idle.
func TestSlowMachineGoesToStandbyNotToShortPool(t *testing.T) {
	s := mfduty.New()
	f := mfduty.Fleet{
		Standby: map[mothferry.ServiceID]bool{"off": true}, Loads: map[mothferry.WorkerID]mfsched.Load{},
		Demands: map[mothferry.ServiceID]mfdemand.Demand{
			"a": {Arriving: mfdemand.Amount{Cores: 50}}, "b": {Arriving: mfdemand.Amount{Cores: 50}},
		},
	}
	f.Machines = poolMachines("a", 12, mfsched.Load{Known: true}, f.Loads)
	f.Loads["w-a-03"] = mfsched.Load{Known: true, Service: "a", Speed: 0.2}
	to := map[mothferry.ServiceID][]mothferry.MachineID{}
	for _, c := range s.Plan(f, start) {
		to[c.Pool] = append(to[c.Pool], c.Machine)
	}
	assert.Assert(t, len(to["b"]) > 0)
	assert.Assert(t, !slices.Contains(to["b"], "a-03"), "%v", to)
	assert.Equal(t, to["off"][0], mothferry.MachineID("a-03"), "%v", to)
}

// TestSlowMachineIsLastToMoveToAShortPool checks that a slow machine is not among the first to
// move to a short pool that needs nearly all that another pool can spare.
func TestSlowMachineIsLastToMoveToAShortPool(t *testing.T) {
	s := mfduty.New()
	f := mfduty.Fleet{
		Loads: map[mothferry.WorkerID]mfsched.Load{},
		Demands: map[mothferry.ServiceID]mfdemand.Demand{
			"a": {Arriving: mfdemand.Amount{Cores: 50}}, "b": {Arriving: mfdemand.Amount{Cores: 500}},
		},
	}
	f.Machines = poolMachines("a", 12, mfsched.Load{Known: true}, f.Loads)
	f.Loads["w-a-03"] = mfsched.Load{Known: true, Service: "a", Speed: 0.2}
	var moved []mothferry.MachineID
	for _, c := range s.Plan(f, start) {
		assert.Equal(t, c.Pool, mothferry.ServiceID("b"))
		moved = append(moved, c.Machine)
	}
	assert.Assert(t, len(moved) > 3 && len(moved) < 12, "%v", moved)
	assert.Assert(t, !slices.Contains(moved, "a-03"), "%v", moved)
}
