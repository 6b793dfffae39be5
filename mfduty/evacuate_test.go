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

// TestMachinesWithLastingTasksAreEvacuatedInTime guards against a wave that misses its
// deadline: machines without lasting tasks go first, and those with lasting tasks are
// evacuated one by one, as their step allows one task to be unavailable at a time, and must
// not all be left to the end.
func TestMachinesWithLastingTasksAreEvacuatedInTime(t *testing.T) {
	const machines, lasting = 30, 12
	s := mfduty.New()
	w := wave(10)
	f := mfduty.Fleet{
		Loads: map[mothferry.WorkerID]mfsched.Load{},
		// The pool is always short, so that only the deadline makes the wave take machines.
		Demands: map[mothferry.ServiceID]mfdemand.Demand{"s": {Arriving: mfdemand.Amount{Cores: 10000}}},
	}
	for i := range machines {
		m := up(mothferry.MachineID(fmt.Sprintf("m-%02d", i)), mothferry.WorkerID(fmt.Sprintf("w-%02d", i)))
		m.Capacity = mothferry.Resources{Cores: 16000}
		f.Machines = append(f.Machines, m)
		load := mfsched.Load{Known: true, Service: "s"}
		if i < lasting {
			load.Tasks, load.Lasting = 1, 1
		}
		f.Loads[m.Worker] = load
		w.Machines = append(w.Machines, m.Machine)
	}
	s.AddWave(w, start)
	back := map[mothferry.MachineID]time.Time{}
	for d := time.Duration(0); d < w.Within; d += 150 * time.Millisecond {
		now := start.Add(d)
		returnMachines(f, back, now)
		if d%(1500*time.Millisecond) == 0 {
			moveOneTask(f, s.Evacuating())
		}
		for _, c := range s.Plan(f, now) {
			s.RecordAnswer(c, mfduty.AnswerDone, now)
			back[c.Machine] = now.Add(2 * time.Second)
			setDown(f, c.Machine)
		}
	}
	assert.Equal(t, len(s.Waves[1].Done), machines)
}

// moveOneTask moves a lasting task away from one of the workers being evacuated.
func moveOneTask(f mfduty.Fleet, evacuating map[mothferry.WorkerID]bool) {
	for _, m := range f.Machines {
		if evacuating[m.Worker] && f.Loads[m.Worker].Lasting > 0 {
			f.Loads[m.Worker] = mfsched.Load{Known: true, Service: "s"}
			return
		}
	}
}

func setDown(f mfduty.Fleet, id mothferry.MachineID) {
	for i := range f.Machines {
		if f.Machines[i].Machine == id {
			f.Machines[i].State, f.Machines[i].Worker = mothferry.MachineMaintenance, ""
		}
	}
}

// returnMachines lists machines whose maintenance is finished as up, with new incarnations.
func returnMachines(f mfduty.Fleet, back map[mothferry.MachineID]time.Time, now time.Time) {
	for i := range f.Machines {
		m := &f.Machines[i]
		if at, down := back[m.Machine]; down && !now.Before(at) {
			m.State, m.Worker = mothferry.MachineUp, mothferry.WorkerID(m.Machine+"-new")
			f.Loads[m.Worker] = mfsched.Load{Known: true, Service: "s"}
			delete(back, m.Machine)
		}
	}
}
