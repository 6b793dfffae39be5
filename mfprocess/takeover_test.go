package mfprocess

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
)

// holder returns the daemon of the first data centre that holds its shard
// among the given ones, and nil if none does.
func holder(t testing.TB, processes []*process) *process {
	t.Helper()
	for _, p := range processes {
		if s, err := p.operator.Status(t.Context()); err == nil && len(s.Shards) > 0 {
			return p
		}
	}
	return nil
}

// TestHolderDies kills the daemon that holds a data centre's shard. Another
// one takes it over with a later epoch and goes on: a runner that died
// meanwhile is replaced.
func TestHolderDies(t *testing.T) {
	d := start(t, 3, "")
	d.apply(t, "kelani")
	near := d.processes[:3]
	old := holder(t, near)
	assert.Assert(t, old != nil)
	old.kill(t)
	began := time.Now()
	var rest []*process
	for _, p := range near {
		if p != old {
			rest = append(rest, p)
		}
	}
	victim := placed(t, rest[0], "quoting")[0]
	d.put(t, "workers/"+string(victim.Host), map[string]any{"dead": true})
	eventually(t, "another daemon holds the shard", func() bool { return holder(t, rest) != nil })
	t.Logf("taken over %s after the kill", time.Since(began).Round(time.Millisecond))
	status, err := holder(t, rest).operator.Status(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, status.Shards[0].Epoch >= mothferry.Epoch(2))
	eventually(t, "the dead runner is replaced", func() bool {
		for _, r := range placed(t, rest[0], "quoting") {
			if r.Task == victim.Task {
				return false
			}
		}
		return true
	})
	d.awaitServing(t, rest)
	t.Logf("every runner serves again %s after the kill", time.Since(began).Round(time.Millisecond))
}
