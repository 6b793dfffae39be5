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

// standbyOnly has the machines of these tests stand by, so that only waves act on them.
var standbyOnly = map[mothferry.ServiceID]bool{"s": true}

func wave(atOnce int, machines ...mothferry.MachineID) mfsched.Wave {
	return mfsched.Wave{Wave: 1, Machines: machines, Within: 20 * time.Second, MaxDown: atOnce}
}

// Symptom: tasks ran twice at the same time during a wave.
// Events: an owner has a machine taken down, and dies before that is stored;
// its successor asks for the same machine again, which the platform answers as
// done because it was done already.
// Cause: the answer alone was taken to mean that the worker's life is over, so
// that the tasks of the new life were started elsewhere too.
func TestDoneAnswerAloneEndsNoIncarnation(t *testing.T) {
	s := mfduty.New()
	s.AddWave(wave(1, "m-1"), start)
	machines := []mothferry.Machine{up("m-1", "w-2")}
	calls := s.Plan(mfduty.Fleet{Machines: machines, Standby: standbyOnly}, start)
	assert.Equal(t, len(calls), 1)
	s.RecordAnswer(calls[0], mfduty.AnswerDone, start)
	var lives mfduty.IncarnationTracker
	for d := time.Duration(0); d < 3*time.Second; d += 300 * time.Millisecond {
		assert.Equal(t, len(s.Plan(mfduty.Fleet{Machines: machines, Standby: standbyOnly}, start.Add(d))), 0)
		assert.Equal(t, len(lives.Ended(machines, map[mothferry.WorkerID]mfsched.Load{"w-2": {Tasks: 2}}, start.Add(d))), 0)
	}
	assert.Assert(t, s.Waves[1].Completed)
	assert.Equal(t, len(s.Evacuating()), 0)
}

// More machines than the wave allows must not be down, also while the answer
// to a call is not known.
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

// A wave must not count as completed, nor its machine as back, because a single list lacks the machine.
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
	assert.Assert(t, !s.Waves[1].Completed, "nothing is done")
	first := plan(all)
	assert.Equal(t, len(first), 1)
	s.RecordAnswer(first[0], mfduty.AnswerUnknown, now)
	assert.Equal(t, len(plan(all[1:])), 0, "the other one is begun while the first may be down")
	assert.Equal(t, len(plan(all)), 0)
	s.RecordAnswer(first[0], mfduty.AnswerDone, now)
	for range 5 {
		assert.Equal(t, len(plan(nil)), 0)
	}
	assert.Assert(t, s.Waves[1].Completed, "the other one is gone")
}

// A machine with work on it is emptied first. Another one keeps its pool going: the
// last one would be left until the deadline asks for it.
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

// Symptom: in the first seconds of a pool's turn half of its jobs were late.
// Events: a wave begins in the same second and takes ten idle machines down
// that the pool would have got, 24 s before its deadline.
// Cause: waves did not regard what pools are short of.
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

// Symptom: a wave took 66 of 350 machines at the moment in which a pool's demand
// began to rise, and a tenth of the jobs of the next two seconds were late.
// Events: no pool is short at that moment, so that the wave takes as many machines
// as it may have away at a time.
// Cause: a wave asked whether pools are short, not how many machines they can spare.
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

// A wave does not wait so long that it would have to have more machines away than
// it may: then it takes an even part of them, though pools are short.
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
	assert.Equal(t, len(s.Plan(f, start)), 0, "three at a time would do")
	assert.Equal(t, len(s.Plan(f, start.Add(21*time.Second))), 7, "30 machines of 4 s in 19 s")
}

// Symptom: lasting tasks were ended by moves, more than their steps may miss.
// Events: an owner is killed, starts again and claims at once; it lists machines
// before it has read the jobs and looked at the workers.
// Cause: a worker of which nothing was known yet counted as empty.
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

// Symptom guarded against: more machines of a wave are down than it allows.
// Events: an owner asks for a machine and dies; its successor's list does not
// show the machine as down yet.
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

// Guards against a sound machine that leaves a pool while a slow one stays.
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
