package mfduty_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfduty"
	"mothferry/mfsched"
)

func down(id mothferry.MachineID) mothferry.Machine {
	return mothferry.Machine{Machine: id, State: mothferry.MachineDown}
}

// Symptom: tasks of a rack that crashed started elsewhere only after five seconds.
// Events: the rack's machines are listed as down, without a worker, at once.
// Cause: only leases were waited for.
func TestCrashedMachineEndsIncarnation(t *testing.T) {
	var l mfduty.IncarnationTracker
	assert.Equal(t, len(l.Ended([]mothferry.Machine{up("m-1", "w-1")}, nil, start)), 0)
	assert.DeepEqual(t, l.Ended([]mothferry.Machine{down("m-1")}, nil, start), []mfsched.IncarnationEnded{{Worker: "w-1", Cause: mfsched.IncarnationCrashed}})
	assert.Equal(t, len(l.Ended([]mothferry.Machine{down("m-1")}, nil, start)), 0)
	assert.Equal(t, len(l.Ended([]mothferry.Machine{up("m-1", "w-2")}, nil, start)), 0)
	assert.DeepEqual(t, l.Ended([]mothferry.Machine{up("m-1", "w-3")}, nil, start), []mfsched.IncarnationEnded{{Worker: "w-2", Cause: mfsched.IncarnationCrashed}})
}

// A worker that is cut off, or whose machine shows no id for a moment, goes on.
func TestListedIncarnationContinues(t *testing.T) {
	var l mfduty.IncarnationTracker
	loads := map[mothferry.WorkerID]mfsched.Load{"w-1": {Tasks: 1, Failing: true}}
	for d := time.Duration(0); d < 5*time.Second; d += 200 * time.Millisecond {
		assert.Equal(t, len(l.Ended([]mothferry.Machine{up("m-1", "w-1")}, loads, start.Add(d))), 0)
	}
	assert.Equal(t, len(l.Ended([]mothferry.Machine{up("m-1", "")}, nil, start)), 0)
}

// Symptom: tasks of a worker that had crashed before a takeover waited until all
// leases of the former owner had lapsed.
func TestUnlistedIncarnationEnds(t *testing.T) {
	var l mfduty.IncarnationTracker
	loads := map[mothferry.WorkerID]mfsched.Load{"w-1": {Tasks: 2}, "w-idle": {}}
	machines := []mothferry.Machine{up("m-1", "w-2")}
	assert.Equal(t, len(l.Ended(machines, loads, start)), 0)
	assert.Equal(t, len(l.Ended(machines, loads, start.Add(500*time.Millisecond))), 0)
	assert.DeepEqual(t, l.Ended(machines, loads, start.Add(time.Second)), []mfsched.IncarnationEnded{{Worker: "w-1", Cause: mfsched.IncarnationEndUnknown}})
}

// A state of a machine that this program does not know must not end the life of its worker.
func TestUnknownStateEndsNoIncarnation(t *testing.T) {
	var l mfduty.IncarnationTracker
	assert.Equal(t, len(l.Ended([]mothferry.Machine{up("m-1", "w-1")}, nil, start)), 0)
	assert.Equal(t, len(l.Ended([]mothferry.Machine{{Machine: "m-1", State: mothferry.MachineUnknown}}, nil, start)), 0)
	assert.DeepEqual(t, l.Ended([]mothferry.Machine{down("m-1")}, nil, start), []mfsched.IncarnationEnded{{Worker: "w-1", Cause: mfsched.IncarnationCrashed}})
}

// A worker that answers must not count as over because the list of machines shows it nowhere for a second.
func TestRespondingWorkerIsNotLost(t *testing.T) {
	var l mfduty.IncarnationTracker
	loads := map[mothferry.WorkerID]mfsched.Load{"w-1": {Tasks: 2, Known: true}}
	lists := [][]mothferry.Machine{{up("m-1", "")}, {}}
	assert.Equal(t, len(l.Ended([]mothferry.Machine{up("m-1", "w-1")}, loads, start)), 0)
	for d := time.Duration(0); d < 3*time.Second; d += 200 * time.Millisecond {
		assert.Equal(t, len(l.Ended(lists[int(d/time.Second)%2], loads, start.Add(d))), 0, "after %v", d)
	}
	loads["w-1"] = mfsched.Load{Tasks: 2, Known: true, Failing: true}
	assert.Equal(t, len(l.Ended(nil, loads, start.Add(3*time.Second))), 0)
	assert.DeepEqual(t, l.Ended(nil, loads, start.Add(4*time.Second)), []mfsched.IncarnationEnded{{Worker: "w-1", Cause: mfsched.IncarnationEndUnknown}})
}
