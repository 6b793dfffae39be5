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

// TestTakeoverDuringPeakFollowsDemand guards against machines that stay where a previous owner
// moved them: a pool's minimum must not depend on the size that the pool has when a new owner
// first sees it, which may be that of its demand peak.
func TestTakeoverDuringPeakFollowsDemand(t *testing.T) {
	s := mfduty.New()
	f := mfduty.Fleet{
		Standby: map[mothferry.ServiceID]bool{"off": true}, Loads: map[mothferry.WorkerID]mfsched.Load{},
		Demands: map[mothferry.ServiceID]mfdemand.Demand{"a": {}, "b": {Arriving: mfdemand.Amount{Cores: 400}}},
	}
	for i := range 30 {
		pool := mothferry.ServiceID("a")
		if i >= 26 {
			pool = "b"
		}
		m := up(mothferry.MachineID(fmt.Sprintf("m-%02d", i)), mothferry.WorkerID(fmt.Sprintf("w-%02d", i)))
		m.Pool, m.Capacity = pool, mothferry.Resources{Cores: 16000}
		f.Machines = append(f.Machines, m)
		f.Loads[m.Worker] = mfsched.Load{Known: true, Service: pool}
	}
	to := map[mothferry.ServiceID]int{}
	for _, c := range s.Plan(f, start) {
		to[c.Pool]++
	}
	assert.Assert(t, to["b"] >= 20, "%v", to)
}

// TestOnlyMachinesOfPreviousCallsAreBlocked guards against late jobs in a demand peak just
// after a takeover: only the machines that the previous owner made calls for are blocked, not
// all machines until three seconds after its last call.
func TestOnlyMachinesOfPreviousCallsAreBlocked(t *testing.T) {
	s := mfduty.New()
	standby := map[mothferry.ServiceID]bool{"off": true}
	f := mfduty.Fleet{
		Standby: standby, Demands: map[mothferry.ServiceID]mfdemand.Demand{"a": {Arriving: mfdemand.Amount{Cores: 10}}},
		Blocked: map[mothferry.MachineID]bool{"m-1": true},
	}
	for _, id := range []mothferry.MachineID{"m-1", "m-2"} {
		m := up(id, "")
		m.Pool, m.Capacity = "off", mothferry.Resources{Cores: 16000}
		f.Machines = append(f.Machines, m)
	}
	s.AddWave(wave(2, "m-1"), start)
	calls := s.Plan(f, start)
	assert.Equal(t, len(calls), 1)
	assert.Equal(t, calls[0].Machine, mothferry.MachineID("m-2"))
	f.Blocked = nil
	assert.Equal(t, len(s.Plan(f, start)), 1)
}

// TestDonorKeepsItsReserve guards against a pool without demand that falls below its reserve
// when another pool's demand rises: a plan selects free machines twice, and those that the
// first pass moves away must not count for the pool again in the second.
func TestDonorKeepsItsReserve(t *testing.T) {
	s := mfduty.New()
	f := mfduty.Fleet{
		Standby: map[mothferry.ServiceID]bool{"off": true}, Loads: map[mothferry.WorkerID]mfsched.Load{},
		Demands: map[mothferry.ServiceID]mfdemand.Demand{"a": {}, "b": {Arriving: mfdemand.Amount{Cores: 400}}},
	}
	for i := range 26 {
		m := up(mothferry.MachineID(fmt.Sprintf("m-%02d", i)), mothferry.WorkerID(fmt.Sprintf("w-%02d", i)))
		m.Pool, m.Capacity = "a", mothferry.Resources{Cores: 16000}
		f.Machines = append(f.Machines, m)
		f.Loads[m.Worker] = mfsched.Load{Known: true, Service: "a"}
	}
	// Two pools share 26 machines; each keeps a fifth of its half.
	const reserve = 3
	assert.Assert(t, len(s.Plan(f, start)) <= len(f.Machines)-reserve)
}

// TestMachinesOfAWaveAreReplaced guards against lasting tasks that wait because most machines
// of a small pool are evacuated for maintenance in parallel: machines under evacuation must
// not count for the pool, so that others replace them.
func TestMachinesOfAWaveAreReplaced(t *testing.T) {
	s := mfduty.New()
	f := mfduty.Fleet{
		Standby: map[mothferry.ServiceID]bool{"off": true}, Loads: map[mothferry.WorkerID]mfsched.Load{},
		Demands: map[mothferry.ServiceID]mfdemand.Demand{"a": {MinWorkers: 3}},
	}
	for i := range 6 {
		m := up(mothferry.MachineID(fmt.Sprintf("m-%d", i)), mothferry.WorkerID(fmt.Sprintf("w-%d", i)))
		m.Pool, m.Capacity = "a", mothferry.Resources{Cores: 16000}
		if i >= 3 {
			m.Pool = "off"
		}
		f.Machines = append(f.Machines, m)
		f.Loads[m.Worker] = mfsched.Load{Known: true, Service: m.Pool, Tasks: 1, Lasting: 1}
	}
	s.AddWave(wave(2, "m-0", "m-1"), start)
	s.Plan(f, start)
	to := map[mothferry.ServiceID]int{}
	for _, c := range s.Plan(f, start.Add(200*time.Millisecond)) {
		to[c.Pool]++
	}
	assert.Equal(t, to["a"], 2, "%v", to)
}
