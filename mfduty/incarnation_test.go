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

// TestCrashedMachineEndsIncarnation guards against a restart of a crashed rack's tasks that
// waits five seconds for the leases to expire, although the machines are listed as down,
// without a worker, at once.
func TestCrashedMachineEndsIncarnation(t *testing.T) {
	var tracker mfduty.IncarnationTracker
	assert.Equal(t, len(tracker.Ended([]mothferry.Machine{up("m-1", "w-1")}, nil, start)), 0)
	assert.DeepEqual(t, tracker.Ended([]mothferry.Machine{down("m-1")}, nil, start), []mfsched.IncarnationEnded{{Worker: "w-1", Cause: mfsched.IncarnationCrashed}})
	assert.Equal(t, len(tracker.Ended([]mothferry.Machine{down("m-1")}, nil, start)), 0)
	assert.Equal(t, len(tracker.Ended([]mothferry.Machine{up("m-1", "w-2")}, nil, start)), 0)
	assert.DeepEqual(t, tracker.Ended([]mothferry.Machine{up("m-1", "w-3")}, nil, start), []mfsched.IncarnationEnded{{Worker: "w-2", Cause: mfsched.IncarnationCrashed}})
}

// TestListedIncarnationContinues checks that the incarnation of a worker that is partitioned, or
// whose machine is listed without a worker id for a moment, does not end.
func TestListedIncarnationContinues(t *testing.T) {
	var tracker mfduty.IncarnationTracker
	loads := map[mothferry.WorkerID]mfsched.Load{"w-1": {Tasks: 1, Unresponsive: true}}
	for d := time.Duration(0); d < 5*time.Second; d += 200 * time.Millisecond {
		assert.Equal(t, len(tracker.Ended([]mothferry.Machine{up("m-1", "w-1")}, loads, start.Add(d))), 0)
	}
	assert.Equal(t, len(tracker.Ended([]mothferry.Machine{up("m-1", "")}, nil, start)), 0)
}

// TestUnlistedIncarnationEnds guards against tasks of a worker that crashed before a takeover
// waiting until all leases of the previous owner have expired.
func TestUnlistedIncarnationEnds(t *testing.T) {
	var tracker mfduty.IncarnationTracker
	loads := map[mothferry.WorkerID]mfsched.Load{"w-1": {Tasks: 2}, "w-idle": {}}
	machines := []mothferry.Machine{up("m-1", "w-2")}
	assert.Equal(t, len(tracker.Ended(machines, loads, start)), 0)
	assert.Equal(t, len(tracker.Ended(machines, loads, start.Add(500*time.Millisecond))), 0)
	assert.DeepEqual(t, tracker.Ended(machines, loads, start.Add(time.Second)), []mfsched.IncarnationEnded{{Worker: "w-1", Cause: mfsched.IncarnationEndUnknown}})
}

// TestUnknownStateEndsNoIncarnation checks that a machine state that this program does not know
// does not end the worker's incarnation.
func TestUnknownStateEndsNoIncarnation(t *testing.T) {
	var tracker mfduty.IncarnationTracker
	assert.Equal(t, len(tracker.Ended([]mothferry.Machine{up("m-1", "w-1")}, nil, start)), 0)
	assert.Equal(t, len(tracker.Ended([]mothferry.Machine{{Machine: "m-1", State: mothferry.MachineUnknown}}, nil, start)), 0)
	assert.DeepEqual(t, tracker.Ended([]mothferry.Machine{down("m-1")}, nil, start), []mfsched.IncarnationEnded{{Worker: "w-1", Cause: mfsched.IncarnationCrashed}})
}

// TestRespondingWorkerIsNotLost checks that a responsive worker does not count as ended
// because it is missing from the machine list for a second.
func TestRespondingWorkerIsNotLost(t *testing.T) {
	var tracker mfduty.IncarnationTracker
	loads := map[mothferry.WorkerID]mfsched.Load{"w-1": {Tasks: 2, Known: true}}
	lists := [][]mothferry.Machine{{up("m-1", "")}, {}}
	assert.Equal(t, len(tracker.Ended([]mothferry.Machine{up("m-1", "w-1")}, loads, start)), 0)
	for d := time.Duration(0); d < 3*time.Second; d += 200 * time.Millisecond {
		assert.Equal(t, len(tracker.Ended(lists[int(d/time.Second)%2], loads, start.Add(d))), 0, "after %v", d)
	}
	loads["w-1"] = mfsched.Load{Tasks: 2, Known: true, Unresponsive: true}
	assert.Equal(t, len(tracker.Ended(nil, loads, start.Add(3*time.Second))), 0)
	assert.DeepEqual(t, tracker.Ended(nil, loads, start.Add(4*time.Second)), []mfsched.IncarnationEnded{{Worker: "w-1", Cause: mfsched.IncarnationEndUnknown}})
}
