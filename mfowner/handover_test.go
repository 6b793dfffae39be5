package mfowner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
)

// Symptom: after a takeover in the middle of a turn no machine moved for three
// seconds, and half of the jobs of that time were late.
// Events: as the turn begins the owner sends 200 machines to its pool, and is cut
// off two seconds later; its successor leaves all of them alone until three
// seconds after the former owner's last commit.
// Cause: the head named the machines asked for in the last six seconds, but not
// when.
func TestFormerCallsBlockByTheirAge(t *testing.T) {
	last := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	o := &Owner{MachineHandOver: 3 * time.Second}
	f := formerCalls{lastCommit: last, ago: map[mothferry.MachineID]time.Duration{"old": 3 * time.Second, "new": -time.Second}}
	taken := last.Add(1700 * time.Millisecond)
	assert.DeepEqual(t, f.blocked(taken, o.handOver()), map[mothferry.MachineID]bool{"new": true})
	// The new call may have been sent a second after the last commit and have
	// arrived 0.9 s later still.
	assert.DeepEqual(t, f.blocked(last.Add(5100*time.Millisecond), o.handOver()), map[mothferry.MachineID]bool{"new": true})
	assert.Equal(t, len(f.blocked(last.Add(5200*time.Millisecond), o.handOver())), 0)
}
