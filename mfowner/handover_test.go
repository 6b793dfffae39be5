package mfowner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfduty"
	"mothferry/mfrecord"
)

// Guards against a new owner that leaves all machines called for by the previous one alone for
// the same time. If the head names the machines of the last six seconds without ages, no
// machine moves for three seconds after a takeover at the start of a demand peak, and half of
// the jobs of that time are late.
func TestPredecessorCallsBlockByAge(t *testing.T) {
	last := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	o := &Owner{MachineHandoverDelay: 3 * time.Second}
	f := predecessorCalls{lastCommit: last, self: "h-2", head: mfrecord.Head{Holder: "h-1"}, ages: map[mothferry.MachineID]time.Duration{"old": 3 * time.Second, "new": -time.Second}}
	claimed := last.Add(1700 * time.Millisecond)
	assert.DeepEqual(t, f.blocked(claimed, o.handoverDelay()), map[mothferry.MachineID]bool{"new": true})
	// The new call may have been sent a second after the last commit, and have arrived another
	// 0.9 s later.
	assert.DeepEqual(t, f.blocked(last.Add(5100*time.Millisecond), o.handoverDelay()), map[mothferry.MachineID]bool{"new": true})
	assert.Equal(t, len(f.blocked(last.Add(5200*time.Millisecond), o.handoverDelay())), 0)
}

// Guards against two hosts calling for one machine within the handover delay, such as 2.2 s
// apart. A new owner that is killed before it does anything and restarts claims the shard as
// the last holder's next incarnation. It must not take calls that it had inherited for its own.
func TestRestartedOwnerRespectsInheritedCalls(t *testing.T) {
	last := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	o := &Owner{Daemon: "h-2", MachineHandoverDelay: 3 * time.Second}
	head := mfrecord.Head{
		Holder: "h-2", CallAges: map[mothferry.MachineID]time.Duration{"own": time.Second, "inherited": time.Second},
		CalledBy: map[mothferry.MachineID]mothferry.DaemonID{"inherited": "h-1"},
	}
	f := predecessorCalls{lastCommit: last, self: o.Daemon, head: head, ages: head.CallAges}
	assert.DeepEqual(t, f.blocked(last.Add(time.Second), o.handoverDelay()), map[mothferry.MachineID]bool{"inherited": true})
	// The head for the next owner still attributes the machine to the other host.
	assert.DeepEqual(t, f.otherCallers(), map[mothferry.MachineID]mothferry.DaemonID{"inherited": "h-1"})
	// Calls of a host that released the shard can't be told apart any more.
	head.Holder = ""
	f.head = head
	assert.Equal(t, len(f.blocked(last.Add(time.Second), o.handoverDelay())), 2)
}

// A host must not take the next owner's repeated call for its own earlier one.
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
	next := predecessorCalls{lastCommit: now, self: "h-1", head: head, ages: head.CallAges}
	assert.DeepEqual(t, next.blocked(now.Add(time.Second), o.handoverDelay()), map[mothferry.MachineID]bool{"m": true})
}

// Machines must follow the demand on a slow store too, and a new owner must leave them alone
// for correspondingly longer.
func TestMachineCallsOnSlowStore(t *testing.T) {
	sent := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	o := &Owner{Daemon: "h-1", MachineHandoverDelay: 3 * time.Second}
	for _, latency := range []time.Duration{10 * time.Millisecond, 650 * time.Millisecond, 1200 * time.Millisecond} {
		s := &session{owner: o, machines: newMachineControl(nil), confirmedAt: sent, commitLatency: latency}
		s.machines.queued = []mfduty.Call{{Machine: "m"}}
		head := mfrecord.Head{Holder: "h-1", CallAges: s.callAges(sent)}
		stored := sent.Add(latency)
		assert.Assert(t, s.confirmedWithin(s.machines.callWindow, stored), "commits of %v", latency)
		latest := sent.Add(s.machines.callWindow)
		assert.Assert(t, !s.confirmedWithin(s.machines.callWindow, latest))
		f := predecessorCalls{lastCommit: sent, self: "h-2", head: head, ages: head.CallAges}
		free := latest.Add(callTimeout + o.MachineHandoverDelay)
		assert.Equal(t, len(f.blocked(free, o.handoverDelay())), 1, "commits of %v", latency)
		assert.Equal(t, len(f.blocked(free.Add(handoverMargin), o.handoverDelay())), 0, "commits of %v", latency)
	}
	stuck := &session{owner: o, commitLatency: time.Minute}
	assert.Equal(t, stuck.callWindow(), maxCallWindow)
}
