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

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func up(id mothferry.MachineID, worker mothferry.WorkerID) mothferry.Machine {
	return mothferry.Machine{Machine: id, Worker: worker, Pool: "s", State: mothferry.MachineUp}
}

// standbyOnly puts the machines of a test on standby, so that only waves act on them.
var standbyOnly = map[mothferry.ServiceID]bool{"s": true}

func wave(maxDown int, machines ...mothferry.MachineID) mfsched.Wave {
	return mfsched.Wave{Wave: 1, Machines: machines, Within: 20 * time.Second, MaxDown: maxDown}
}

// TestDoneAnswerAloneEndsNoIncarnation guards against tasks that run twice at the same time:
// an owner has a machine taken down and dies before that is stored, and the new owner repeats
// the call, which the platform answers as done. If that answer alone ended the incarnation,
// the tasks of the machine's new incarnation would be started on other workers too.
func TestDoneAnswerAloneEndsNoIncarnation(t *testing.T) {
	s := mfduty.New()
	s.AddWave(wave(1, "m-1"), start)
	machines := []mothferry.Machine{up("m-1", "w-2")}
	calls := s.Plan(mfduty.Fleet{Machines: machines, Standby: standbyOnly}, start)
	assert.Equal(t, len(calls), 1)
	s.RecordAnswer(calls[0], mfduty.AnswerDone, start)
	var tracker mfduty.IncarnationTracker
	for d := time.Duration(0); d < 3*time.Second; d += 300 * time.Millisecond {
		assert.Equal(t, len(s.Plan(mfduty.Fleet{Machines: machines, Standby: standbyOnly}, start.Add(d))), 0)
		assert.Equal(t, len(tracker.Ended(machines, map[mothferry.WorkerID]mfsched.Load{"w-2": {Tasks: 2}}, start.Add(d))), 0)
	}
	assert.Assert(t, s.Waves[1].Completed)
	assert.Equal(t, len(s.Evacuating()), 0)
}

// TestWaveStaysWithinItsParallelLimit checks that no more machines are down than the wave
// allows, also while the answer to a call is unknown.
func TestWaveStaysWithinItsParallelLimit(t *testing.T) {
	s := mfduty.New()
	s.AddWave(wave(1, "m-1", "m-2"), start)
	machines := []mothferry.Machine{up("m-1", "w-1"), up("m-2", "w-2")}
	first := s.Plan(mfduty.Fleet{Machines: machines, Standby: standbyOnly}, start)
	assert.Equal(t, len(first), 1)
	s.RecordAnswer(first[0], mfduty.AnswerUnknown, start)
	for d := 300 * time.Millisecond; d < 4*time.Second; d += 300 * time.Millisecond {
		for _, c := range s.Plan(mfduty.Fleet{Machines: machines, Standby: standbyOnly}, start.Add(d)) {
			assert.Equal(t, c.Machine, first[0].Machine)
		}
	}
}

// TestMachineMissingFromOneListIsNotRemoved checks that a wave does not count as completed, nor
// its machine as back, because a single list lacks the machine.
func TestMachineMissingFromOneListIsNotRemoved(t *testing.T) {
	s := mfduty.New()
	s.AddWave(wave(1, "m-1", "m-2"), start)
	all := []mothferry.Machine{up("m-1", "w-1"), up("m-2", "w-2")}
	now := start
	plan := func(machines []mothferry.Machine) []mfduty.Call {
		now = now.Add(300 * time.Millisecond)
		return s.Plan(mfduty.Fleet{Machines: machines, Standby: standbyOnly}, now)
	}
	assert.Equal(t, len(plan(nil)), 0)
	assert.Assert(t, !s.Waves[1].Completed, "no machine of the wave is done")
	first := plan(all)
	assert.Equal(t, len(first), 1)
	s.RecordAnswer(first[0], mfduty.AnswerUnknown, now)
	assert.Equal(t, len(plan(all[1:])), 0, "the other machine is called while the first may be down")
	assert.Equal(t, len(plan(all)), 0)
	s.RecordAnswer(first[0], mfduty.AnswerDone, now)
	for range 5 {
		assert.Equal(t, len(plan(nil)), 0)
	}
	assert.Assert(t, s.Waves[1].Completed, "the other machine is removed")
}

// TestBusyMachineIsEvacuatedFirst checks that a machine with tasks is evacuated before the call.
// Its pool has a second machine, as the last one would be left until the deadline requires it.
func TestBusyMachineIsEvacuatedFirst(t *testing.T) {
	s := mfduty.New()
	s.AddWave(wave(1, "m-1"), start)
	machines := []mothferry.Machine{up("m-1", "w-1"), up("m-2", "w-2")}
	for i := range machines {
		machines[i].Capacity = mothferry.Resources{Cores: 16000}
	}
	f := mfduty.Fleet{Machines: machines, Loads: map[mothferry.WorkerID]mfsched.Load{"w-1": {Known: true, Tasks: 1, Lasting: 1}}}
	assert.Equal(t, len(s.Plan(f, start)), 0)
	assert.Assert(t, s.Evacuating()["w-1"])
	f.Loads["w-1"] = mfsched.Load{Known: true}
	assert.Equal(t, len(s.Plan(f, start.Add(time.Second))), 1)
}

// TestWaveWaitsWhilePoolsAreShort guards against late jobs at the start of a demand peak: a wave
// that starts in the same second takes down idle machines that a short pool needs, although its
// deadline leaves time to wait.
func TestWaveWaitsWhilePoolsAreShort(t *testing.T) {
	s := mfduty.New()
	s.AddWave(wave(1, "m-1"), start)
	f := mfduty.Fleet{
		Machines: []mothferry.Machine{{Machine: "m-1", Worker: "w-1", Pool: "s", State: mothferry.MachineUp, Capacity: mothferry.Resources{Cores: 16000}}},
		Demands:  map[mothferry.ServiceID]mfdemand.Demand{"s": {Arriving: mfdemand.Amount{Cores: 100}}},
		Loads:    map[mothferry.WorkerID]mfsched.Load{"w-1": {Known: true}},
	}
	assert.Equal(t, len(s.Plan(f, start)), 0)
	assert.Equal(t, len(s.Plan(f, start.Add(15*time.Second))), 1, "the deadline is near")
}

// TestWaveTakesWhatPoolsCanSpare guards against late jobs when demand starts to rise: no pool
// is short yet, and a wave takes as many machines as it may have down in parallel instead of
// as many as pools can spare.
func TestWaveTakesWhatPoolsCanSpare(t *testing.T) {
	s := mfduty.New()
	f := mfduty.Fleet{
		Standby: map[mothferry.ServiceID]bool{"off": true}, Loads: map[mothferry.WorkerID]mfsched.Load{},
		Demands: map[mothferry.ServiceID]mfdemand.Demand{"s": {Forecast: mfdemand.Amount{Cores: 5 * 16 * 0.85}}},
	}
	w := mfsched.Wave{Wave: 1, Within: 60 * time.Second, MaxDown: 10}
	for i := range 12 {
		m := up(mothferry.MachineID(fmt.Sprint("m-", i)), mothferry.WorkerID(fmt.Sprint("w-", i)))
		m.Capacity = mothferry.Resources{Cores: 16000}
		if i >= 6 {
			m.Pool = "off"
		}
		f.Machines = append(f.Machines, m)
		f.Loads[m.Worker] = mfsched.Load{Known: true, Service: m.Pool}
		w.Machines = append(w.Machines, m.Machine)
	}
	s.AddWave(w, start)
	// Six machines are needed, so six of twelve can be spared.
	assert.Equal(t, len(s.Plan(f, start)), 6)
}

// TestWaveTakesMachinesInTimeForItsDeadline checks that a wave does not wait for short pools so
// long that it would need more machines down in parallel than allowed: it then takes machines at
// an even rate.
func TestWaveTakesMachinesInTimeForItsDeadline(t *testing.T) {
	s := mfduty.New()
	f := mfduty.Fleet{
		Standby: map[mothferry.ServiceID]bool{"off": true}, Loads: map[mothferry.WorkerID]mfsched.Load{},
		Demands: map[mothferry.ServiceID]mfdemand.Demand{"s": {Forecast: mfdemand.Amount{Cores: 1000}}},
	}
	w := mfsched.Wave{Wave: 1, Within: 47 * time.Second, MaxDown: 10}
	for i := range 30 {
		m := up(mothferry.MachineID(fmt.Sprint("m-", i)), mothferry.WorkerID(fmt.Sprint("w-", i)))
		m.Capacity = mothferry.Resources{Cores: 16000}
		f.Machines = append(f.Machines, m)
		f.Loads[m.Worker] = mfsched.Load{Known: true, Service: m.Pool}
		w.Machines = append(w.Machines, m.Machine)
	}
	s.AddWave(w, start)
	assert.Equal(t, len(s.Plan(f, start)), 0, "three in parallel are enough")
	assert.Equal(t, len(s.Plan(f, start.Add(21*time.Second))), 7, "30 machines of 4 s in 19 s")
}

// TestUnknownWorkersAreNotIdle guards against moves that end more lasting tasks than their steps
// allow: a new owner lists machines before it has read the jobs and polled the workers, and must
// not take a worker with unknown tasks for an idle one.
func TestUnknownWorkersAreNotIdle(t *testing.T) {
	s := mfduty.New()
	s.AddWave(wave(1, "m-1"), start)
	f := mfduty.Fleet{Machines: []mothferry.Machine{up("m-1", "w-1"), up("m-2", "w-2")}, Standby: map[mothferry.ServiceID]bool{"off": true}}
	for d := time.Duration(0); d < 19*time.Second; d += 300 * time.Millisecond {
		assert.Equal(t, len(s.Plan(f, start.Add(d))), 0)
	}
	f.Loads = map[mothferry.WorkerID]mfsched.Load{"w-1": {Known: true}, "w-2": {Known: true}}
	assert.Assert(t, len(s.Plan(f, start.Add(19*time.Second))) > 0)
}

// TestPreviousOwnersCallsCountForTheWave guards against more machines of a wave down than it
// allows: an owner makes a call for a machine and dies, and the new owner's machine list does
// not show the machine as down yet.
func TestPreviousOwnersCallsCountForTheWave(t *testing.T) {
	s := mfduty.New()
	s.AddWave(wave(1, "m-1", "m-2"), start)
	f := mfduty.Fleet{
		Machines: []mothferry.Machine{up("m-1", "w-1"), up("m-2", "w-2")}, Standby: standbyOnly,
		Blocked: map[mothferry.MachineID]bool{"m-1": true},
	}
	assert.Equal(t, len(s.Plan(f, start)), 0)
	f.Blocked = nil
	assert.Equal(t, len(s.Plan(f, start.Add(5*time.Second))), 1)
}

// TestSlowMachineLeavesFirst checks that a slow machine leaves a pool before machines of normal
// speed.
func TestSlowMachineLeavesFirst(t *testing.T) {
	s := mfduty.New()
	f := mfduty.Fleet{
		Standby: map[mothferry.ServiceID]bool{"off": true}, Loads: map[mothferry.WorkerID]mfsched.Load{},
		Demands: map[mothferry.ServiceID]mfdemand.Demand{"s": {}},
	}
	for i := range 30 {
		m := up(mothferry.MachineID(fmt.Sprintf("m-%02d", i)), mothferry.WorkerID(fmt.Sprintf("w-%02d", i)))
		m.Capacity = mothferry.Resources{Cores: 16000}
		f.Machines = append(f.Machines, m)
		f.Loads[m.Worker] = mfsched.Load{Known: true, Service: "s", Speed: 1}
	}
	f.Loads["w-29"] = mfsched.Load{Known: true, Service: "s", Speed: 0.2}
	var moved []mothferry.MachineID
	for d := time.Duration(0); d < 20*time.Second && len(moved) == 0; d += 100 * time.Millisecond {
		for _, c := range s.Plan(f, start.Add(d)) {
			moved = append(moved, c.Machine)
		}
	}
	assert.Assert(t, slices.Contains(moved, "m-29") && len(moved) < 30, "%v", moved)
}
