package mfprocess

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
)

// shardHolder returns the daemon of the first data centre that holds its shard
// among the given ones, and nil if none does.
func shardHolder(t testing.TB, processes []*process) *process {
	t.Helper()
	for _, p := range processes {
		if s, err := p.operator.Status(t.Context()); err == nil && len(s.Shards) > 0 {
			return p
		}
	}
	return nil
}

// TestShardHolderCrash kills the daemon that holds a data centre's shard. Another
// one takes it over with a later epoch and goes on: a runner that died
// meanwhile is replaced.
func TestShardHolderCrash(t *testing.T) {
	d := startDeployment(t, 3, "")
	d.apply(t, "kelani")
	near := d.processes[:3]
	old := shardHolder(t, near)
	assert.Assert(t, old != nil)
	old.kill(t)
	began := time.Now()
	var rest []*process
	for _, p := range near {
		if p != old {
			rest = append(rest, p)
		}
	}
	victim := placedRunners(t, rest[0], "quoting")[0]
	d.setStandin(t, "workers/"+string(victim.Host), map[string]any{"dead": true})
	eventually(t, "another daemon holds the shard", func() bool { return shardHolder(t, rest) != nil })
	t.Logf("taken over %s after the kill", time.Since(began).Round(time.Millisecond))
	status, err := shardHolder(t, rest).operator.Status(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, status.Shards[0].Epoch >= mothferry.Epoch(2))
	eventually(t, "the dead runner is replaced", func() bool {
		for _, r := range placedRunners(t, rest[0], "quoting") {
			if r.Task == victim.Task {
				return false
			}
		}
		return true
	})
	d.awaitServing(t, rest)
	t.Logf("every runner serves again %s after the kill", time.Since(began).Round(time.Millisecond))
}
