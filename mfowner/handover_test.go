package mfowner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfduty"
	"mothferry/mfrecord"
)

// Symptom: after a takeover in the middle of a turn no machine moved for three
// seconds, and half of the jobs of that time were late.
// Events: as the turn begins the owner sends 200 machines to its pool, and is cut
// off two seconds later; its successor leaves all of them alone until three
// seconds after the former owner's last commit.
// Cause: the head named the machines asked for in the last six seconds, but not
// when.
func TestPredecessorCallsBlockByAge(t *testing.T) {
	last := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	o := &Owner{MachineHandoverDelay: 3 * time.Second}
	f := predecessorCalls{lastCommit: last, self: "h-2", head: mfrecord.Head{Holder: "h-1"}, ages: map[mothferry.MachineID]time.Duration{"old": 3 * time.Second, "new": -time.Second}}
	taken := last.Add(1700 * time.Millisecond)
	assert.DeepEqual(t, f.blocked(taken, o.handoverDelay()), map[mothferry.MachineID]bool{"new": true})
	// The new call may have been sent a second after the last commit and have
	// arrived 0.9 s later still.
	assert.DeepEqual(t, f.blocked(last.Add(5100*time.Millisecond), o.handoverDelay()), map[mothferry.MachineID]bool{"new": true})
	assert.Equal(t, len(f.blocked(last.Add(5200*time.Millisecond), o.handoverDelay())), 0)
}

// Symptom: two hosts asked for one machine 2.2 s after one another.
// Events: an owner asks for a machine and is stopped; its successor is killed before
// it does anything, starts again and claims as the last holder's next life.
// Cause: all calls that the head names were taken for its own earlier life's, also
// those that this had inherited.
func TestRestartedOwnerRespectsInheritedCalls(t *testing.T) {
	last := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	o := &Owner{Daemon: "h-2", MachineHandoverDelay: 3 * time.Second}
	head := mfrecord.Head{
		Holder: "h-2", CallAges: map[mothferry.MachineID]time.Duration{"own": time.Second, "inherited": time.Second},
		CalledBy: map[mothferry.MachineID]mothferry.DaemonID{"inherited": "h-1"},
	}
	f := predecessorCalls{lastCommit: last, self: o.Daemon, head: head, ages: head.CallAges}
	assert.DeepEqual(t, f.blocked(last.Add(time.Second), o.handoverDelay()), map[mothferry.MachineID]bool{"inherited": true})
	// What its successor is told: the machine stays another host's.
	assert.DeepEqual(t, f.otherCallers(), map[mothferry.MachineID]mothferry.DaemonID{"inherited": "h-1"})
	// A host that gave the shard up is not told apart any more.
	head.Holder = ""
	f.head = head
	assert.Equal(t, len(f.blocked(last.Add(time.Second), o.handoverDelay())), 2)
}

// A host must not take what the owner after it is about to ask for as its own earlier call.
func TestRepeatedCallBelongsToNewOwner(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	o := &Owner{Daemon: "h-2", MachineHandoverDelay: 3 * time.Second}
	s := &session{owner: o, machines: newMachineControl(nil), predecessor: predecessorCalls{
		lastCommit: now.Add(-5 * time.Second), self: "h-2",
		head: mfrecord.Head{Holder: "h-1"}, ages: map[mothferry.MachineID]time.Duration{"m": 0},
	}}
	s.inheritCalls()
	assert.Equal(t, len(s.predecessor.blocked(now, o.handoverDelay())), 0)
	s.machines.queued = []mfduty.Call{{Machine: "m"}}
	head := mfrecord.Head{Holder: "h-2", CallAges: s.callAges(now), CalledBy: s.machines.calledBy}
	successor := predecessorCalls{lastCommit: now, self: "h-1", head: head, ages: head.CallAges}
	assert.DeepEqual(t, successor.blocked(now.Add(time.Second), o.handoverDelay()), map[mothferry.MachineID]bool{"m": true})
}

// Machines must follow the demand on a slow store too, and a successor must leave them alone for as much longer.
func TestMachineCallsOnSlowStore(t *testing.T) {
	sent := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	o := &Owner{Daemon: "h-1", MachineHandoverDelay: 3 * time.Second}
	for _, takes := range []time.Duration{10 * time.Millisecond, 650 * time.Millisecond, 1200 * time.Millisecond} {
		s := &session{owner: o, machines: newMachineControl(nil), confirmedAt: sent, commitLatency: takes}
		s.machines.queued = []mfduty.Call{{Machine: "m"}}
		head := mfrecord.Head{Holder: "h-1", CallAges: s.callAges(sent)}
		stored := sent.Add(takes)
		assert.Assert(t, s.confirmedWithin(s.machines.callWindow, stored), "commits of %v", takes)
		latest := sent.Add(s.machines.callWindow)
		assert.Assert(t, !s.confirmedWithin(s.machines.callWindow, latest))
		f := predecessorCalls{lastCommit: sent, self: "h-2", head: head, ages: head.CallAges}
		free := latest.Add(callTimeout + o.MachineHandoverDelay)
		assert.Equal(t, len(f.blocked(free, o.handoverDelay())), 1, "commits of %v", takes)
		assert.Equal(t, len(f.blocked(free.Add(handoverMargin), o.handoverDelay())), 0, "commits of %v", takes)
	}
	stuck := &session{owner: o, commitLatency: time.Minute}
	assert.Equal(t, stuck.callWindow(), maxCallWindow)
}
