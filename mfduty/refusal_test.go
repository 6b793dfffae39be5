package mfduty_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfdemand"
	"mothferry/mfduty"
	"mothferry/mfsched"
)

// twoKinds returns a fleet of two pools with machines of one kind each, of which pool a is short.
func twoKinds() mfduty.Fleet {
	f := mfduty.Fleet{
		Loads: map[mothferry.WorkerID]mfsched.Load{},
		Demands: map[mothferry.ServiceID]mfdemand.Demand{
			"a": {Arriving: mfdemand.Amount{Cores: 400}}, "b": {},
		},
	}
	for i := range 20 {
		m := up(mothferry.MachineID(fmt.Sprintf("m-%02d", i)), mothferry.WorkerID(fmt.Sprintf("w-%02d", i)))
		m.Pool, m.Kind, m.Capacity = "a", "large", mothferry.Resources{Cores: 16000}
		if i >= 6 {
			m.Pool, m.Kind = "b", "small"
		}
		f.Machines = append(f.Machines, m)
		f.Loads[m.Worker] = mfsched.Load{Known: true, Service: m.Pool}
	}
	return f
}

// Guards against machines that are out of use for good: a move to a pool of other machines is
// rejected, repeated without end, and the worker gets no task meanwhile.
func TestRejectedMoveGivesMachineBack(t *testing.T) {
	s, f, now := mfduty.New(), twoKinds(), start
	asked := 0
	for range 200 {
		for _, c := range s.Plan(f, now) {
			asked++
			assert.Equal(t, c.Pool, mothferry.ServiceID("a"))
			s.RecordAnswer(c, mfduty.AnswerRejected, now)
		}
		assert.Equal(t, len(s.Evacuating()), 0, "after %v", now.Sub(start))
		now = now.Add(150 * time.Millisecond)
	}
	assert.Equal(t, asked, 1, "one machine is tried for all of its kind")
	f.Machines[6].Pool, f.Machines[6].State = "a", mothferry.MachineMoving
	assert.Assert(t, len(s.Plan(f, now)) > 0, "the pool lists a machine of the kind")
}

// Guards against a pool that is filled one machine after the other, or not at all, as it lists no
// machine of the kind yet: once one has joined, the others follow.
func TestPoolTakesAnotherKindOnceOneJoined(t *testing.T) {
	s, f, now := mfduty.New(), twoKinds(), start
	calls := s.Plan(f, now)
	assert.Equal(t, len(calls), 1)
	s.RecordAnswer(calls[0], mfduty.AnswerDone, now)
	for i := range f.Machines {
		if f.Machines[i].Machine == calls[0].Machine {
			f.Machines[i].Pool, f.Machines[i].State = "a", mothferry.MachineMoving
		}
	}
	assert.Assert(t, len(s.Plan(f, now.Add(150*time.Millisecond))) > 1)
	empty := twoKinds()
	empty.Machines = empty.Machines[6:]
	assert.Assert(t, len(mfduty.New().Plan(empty, now)) > 1, "an empty pool tells nothing about kinds")
}

// Guards against a kind of machines that is kept from a pool for good by the rejection of a machine
// that was just removed.
func TestRejectionOfRemovedMachineSaysNothingOfItsKind(t *testing.T) {
	s, f := mfduty.New(), twoKinds()
	calls := s.Plan(f, start)
	assert.Equal(t, len(calls), 1)
	s.RecordAnswer(calls[0], mfduty.AnswerRejected, start)
	var rest []mothferry.Machine
	for _, m := range f.Machines {
		if m.Machine != calls[0].Machine {
			rest = append(rest, m)
		}
	}
	f.Machines = rest
	again := s.Plan(f, start.Add(150*time.Millisecond))
	assert.Equal(t, len(again), 1)
	assert.Assert(t, again[0].Machine != calls[0].Machine)
}

// Guards against maintenance that is asked for without end though the platform holds it for invalid:
// the worker stays in use, the machine's other wave goes on, and a changed listing is tried again.
func TestRejectedMaintenanceGivesMachineBack(t *testing.T) {
	s := mfduty.New()
	s.AddWave(wave(1, "m-1"), start)
	f := mfduty.Fleet{Machines: []mothferry.Machine{up("m-1", "w-1")}, Standby: standbyOnly}
	calls := s.Plan(f, start)
	assert.Equal(t, len(calls), 1)
	s.RecordAnswer(calls[0], mfduty.AnswerRejected, start)
	for d := 150 * time.Millisecond; d < 5*time.Second; d += 150 * time.Millisecond {
		assert.Equal(t, len(s.Plan(f, start.Add(d))), 0)
		assert.Equal(t, len(s.Evacuating()), 0)
	}
	assert.Assert(t, !s.Waves[1].Completed)
	f.Machines[0].Worker = "w-2"
	assert.Equal(t, len(s.Plan(f, start.Add(5*time.Second))), 1)
}
