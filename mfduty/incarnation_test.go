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
	loads := map[mothferry.WorkerID]mfsched.Load{"w-0": {Tasks: 2, Known: true}, "w-1": {Tasks: 2, Known: true}}
	lists := [][]mothferry.Machine{{up("m-1", "")}, {}, {up("m-1", "w-2")}}
	assert.Equal(t, len(tracker.Ended([]mothferry.Machine{up("m-1", "w-1")}, loads, start)), 0)
	for d := time.Duration(0); d < 2*time.Second; d += 200 * time.Millisecond {
		assert.Equal(t, len(tracker.Ended(lists[int(d/time.Second)%2], loads, start.Add(d))), 0, "after %v", d)
	}
	assert.DeepEqual(t, tracker.Ended(lists[2], loads, start.Add(2*time.Second)), []mfsched.IncarnationEnded{{Worker: "w-1", Cause: mfsched.IncarnationCrashed}})
	delete(loads, "w-1")
	for d := 2 * time.Second; d < 5*time.Second; d += 200 * time.Millisecond {
		assert.Equal(t, len(tracker.Ended(lists[2], loads, start.Add(d))), 0, "after %v", d)
	}
	loads["w-0"] = mfsched.Load{Tasks: 2, Known: true, Unresponsive: true}
	for d := 5 * time.Second; d < 20*time.Second; d += 200 * time.Millisecond {
		assert.Equal(t, len(tracker.Ended(lists[2], loads, start.Add(d))), 0, "after %v", d)
	}
	loads["w-0"] = mfsched.Load{Tasks: 2}
	assert.Equal(t, len(tracker.Ended(lists[2], loads, start.Add(20*time.Second))), 0)
	assert.DeepEqual(t, tracker.Ended(lists[2], loads, start.Add(21*time.Second)), []mfsched.IncarnationEnded{{Worker: "w-0", Cause: mfsched.IncarnationEndUnknown}})
}

// Guards against tasks that run twice: lists lacked a worker's machine for long while the worker answered,
// and it counted as ended once it was silent for a second, though its lease went on.
func TestKnownWorkerWithoutMachineIsNotLost(t *testing.T) {
	var tracker mfduty.IncarnationTracker
	loads := map[mothferry.WorkerID]mfsched.Load{"w-1": {Tasks: 2, Known: true}}
	tracker.Ended([]mothferry.Machine{up("m-1", "w-1"), up("m-2", "w-2")}, loads, start)
	for d := time.Duration(0); d < 30*time.Second; d += 200 * time.Millisecond {
		if d > 20*time.Second {
			loads["w-1"] = mfsched.Load{Tasks: 2, Known: true, Unresponsive: true}
		}
		assert.Equal(t, len(tracker.Ended([]mothferry.Machine{up("m-2", "w-2")}, loads, start.Add(d))), 0, "after %v", d)
	}
}

// TestMissingFromListsIsNoEnd guards against runs that are started twice: a worker that did not
// answer counted as ended, whatever its lease, as soon as no list had named it for a second. Its
// machine may be listed without a worker for a moment, or be missing from a list.
func TestMissingFromListsIsNoEnd(t *testing.T) {
	unknown := mothferry.Machine{Machine: "m-1", State: mothferry.MachineUnknown}
	lists := map[string][]mothferry.Machine{
		"its machine is up without a worker": {up("m-1", ""), up("m-2", "w-2")},
		"its machine's state is not known":   {unknown, up("m-2", "w-2")},
		"its machine is missing":             {up("m-2", "w-2")},
		"the list is empty":                  nil,
	}
	for name, list := range lists {
		for _, load := range []mfsched.Load{{Tasks: 2, Known: true, Unresponsive: true}, {Tasks: 2}} {
			t.Run(name, func(t *testing.T) {
				var tracker mfduty.IncarnationTracker
				loads := map[mothferry.WorkerID]mfsched.Load{"w-1": load}
				first := []mothferry.Machine{up("m-1", "w-1"), up("m-2", "w-2")}
				assert.Equal(t, len(tracker.Ended(first, loads, start)), 0)
				for d := time.Duration(0); d < 5*time.Second; d += 200 * time.Millisecond {
					assert.Equal(t, len(tracker.Ended(list, loads, start.Add(d))), 0, "after %v", d)
				}
				assert.Equal(t, len(tracker.Ended(first, loads, start.Add(5*time.Second))), 0)
				assert.DeepEqual(t, tracker.Ended([]mothferry.Machine{down("m-1"), up("m-2", "w-2")}, loads, start.Add(6*time.Second)),
					[]mfsched.IncarnationEnded{{Worker: "w-1", Cause: mfsched.IncarnationCrashed}})
			})
		}
	}
}

// TestUnlistedIncarnationMayBeOnUnaccountedMachine checks that a worker that no list has named
// counts as ended only once each machine has another worker or a state without one.
func TestUnlistedIncarnationMayBeOnUnaccountedMachine(t *testing.T) {
	var tracker mfduty.IncarnationTracker
	loads := map[mothferry.WorkerID]mfsched.Load{"w-1": {Tasks: 2}}
	for d := time.Duration(0); d < 3*time.Second; d += 200 * time.Millisecond {
		assert.Equal(t, len(tracker.Ended([]mothferry.Machine{up("m-1", ""), up("m-2", "w-2")}, loads, start.Add(d))), 0, "after %v", d)
	}
	accounted := []mothferry.Machine{down("m-1"), up("m-2", "w-2")}
	assert.Equal(t, len(tracker.Ended(accounted, loads, start.Add(3*time.Second))), 0)
	assert.DeepEqual(t, tracker.Ended(accounted, loads, start.Add(4*time.Second)), []mfsched.IncarnationEnded{{Worker: "w-1", Cause: mfsched.IncarnationEndUnknown}})
}

// TestRemovedMachineDoesNotDelayEnds checks that a machine that was taken away does not keep
// unlisted workers from counting as ended for good.
func TestRemovedMachineDoesNotDelayEnds(t *testing.T) {
	var tracker mfduty.IncarnationTracker
	assert.Equal(t, len(tracker.Ended([]mothferry.Machine{up("m-1", "w-1"), up("m-2", "w-2")}, nil, start)), 0)
	loads := map[mothferry.WorkerID]mfsched.Load{"w-3": {Tasks: 2}}
	remaining := []mothferry.Machine{up("m-2", "w-2")}
	var ended []mfsched.IncarnationEnded
	for d := time.Duration(0); d < 15*time.Second; d += 200 * time.Millisecond {
		if now := tracker.Ended(remaining, loads, start.Add(d)); len(now) > 0 {
			ended = append(ended, now...)
			loads = nil
		}
	}
	assert.DeepEqual(t, ended, []mfsched.IncarnationEnded{{Worker: "w-3", Cause: mfsched.IncarnationEndUnknown}})
}

// TestMissingTimeStartsAnew checks that a worker that was removed and added again is not missing
// since before.
func TestMissingTimeStartsAnew(t *testing.T) {
	var tracker mfduty.IncarnationTracker
	loads := map[mothferry.WorkerID]mfsched.Load{"w-1": {Tasks: 2}}
	machines := []mothferry.Machine{up("m-1", "w-2")}
	assert.Equal(t, len(tracker.Ended(machines, loads, start)), 0)
	assert.Equal(t, len(tracker.Ended(machines, nil, start.Add(200*time.Millisecond))), 0)
	assert.Equal(t, len(tracker.Ended(machines, loads, start.Add(2*time.Second))), 0)
}

// Guards against tasks that run twice: a list that is older than the one before shows the former worker of
// a machine, and the present one, which is at work, counted as ended.
func TestOlderListEndsNoWorker(t *testing.T) {
	for name, between := range map[string][]mothferry.Machine{"replaced at once": nil, "machine down in between": {down("m-1")}} {
		t.Run(name, func(t *testing.T) {
			var tracker mfduty.IncarnationTracker
			tracker.Ended([]mothferry.Machine{up("m-1", "w-1")}, nil, start)
			if between != nil {
				tracker.Ended(between, nil, start)
			}
			tracker.Ended([]mothferry.Machine{up("m-1", "w-2")}, nil, start)
			assert.Equal(t, len(tracker.Ended([]mothferry.Machine{up("m-1", "w-1")}, nil, start)), 0)
			assert.Equal(t, len(tracker.Ended([]mothferry.Machine{up("m-1", "w-2")}, nil, start)), 0)
			assert.DeepEqual(t, tracker.Ended([]mothferry.Machine{up("m-1", "w-3")}, nil, start), []mfsched.IncarnationEnded{{Worker: "w-2", Cause: mfsched.IncarnationCrashed}})
		})
	}
}

// A worker that starts again under its id is a new incarnation at its machine, not an old list.
func TestWorkerThatReturnsUnderItsIDMayEndAgain(t *testing.T) {
	var tracker mfduty.IncarnationTracker
	for range 3 {
		assert.Equal(t, len(tracker.Ended([]mothferry.Machine{up("m-1", "w-1")}, nil, start)), 0)
		assert.Equal(t, len(tracker.Ended([]mothferry.Machine{down("m-1")}, nil, start)), 1)
	}
}

// Guards against tasks that run twice: lists don't name a worker that doesn't answer, while its entry says
// that it is there.
func TestWorkerWithEntryIsNotLost(t *testing.T) {
	var tracker mfduty.IncarnationTracker
	machines := []mothferry.Machine{up("m-1", "w-2")}
	loads := map[mothferry.WorkerID]mfsched.Load{"w-1": {Tasks: 2, Listed: true, Unresponsive: true}}
	for d := time.Duration(0); d < 5*time.Second; d += 200 * time.Millisecond {
		assert.Equal(t, len(tracker.Ended(machines, loads, start.Add(d))), 0)
	}
}
