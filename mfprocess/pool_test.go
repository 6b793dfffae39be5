package mfprocess

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfhost"
	"mothferry/mfstandin"
)

// TestPoolMove moves a host between pools under load while two operators ask
// for different pools, the request is repeated, the holder is killed and the
// table loses replies. No request is cut off, the host ends in the pool of the
// operator who was first, and nothing of the old pool is left there.
func TestPoolMove(t *testing.T) {
	d := startDeploymentWith(t, 3, "", "--hosts", "8", "--pools", "general,spare,third")
	d.apply(t, "stoisk")
	near := d.processes[:3]
	victim := placedRunners(t, near[0], "stands")[0].Host
	ctx, stop := context.WithCancel(t.Context())
	var group sync.WaitGroup
	for w := range 8 {
		group.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				c := call{method: http.MethodPost, service: "stands", path: "/x?work=50ms", customer: mothferry.CustomerID(fmt.Sprint("c", w)), id: mothferry.RequestID(fmt.Sprint("r-", w, "-", i))}
				r := d.send(t.Context(), d.processes[3+w%6], c)
				assert.Check(t, r.end == mothferry.EndAnswered, "%s: %s %s %v", c.id, r.end, r.reason, r.err)
			}
		})
	}
	_, err := near[0].operator.Move(t.Context(), "dc1", victim, "spare", "ann")
	assert.NilError(t, err)
	_, err = near[1].operator.Move(t.Context(), "dc1", victim, "third", "ben")
	assert.ErrorContains(t, err, "already moving to pool spare, as ann asked")
	d.setStandin(t, "faults", mfstandin.Faults{LoseReplies: 6})
	old := shardHolder(t, near)
	if old != nil {
		old.kill(t)
	}
	var rest []*process
	for _, p := range near {
		if p != old {
			rest = append(rest, p)
		}
	}
	_, _ = rest[0].operator.Move(t.Context(), "dc1", victim, "spare", "ann")
	if old != nil {
		// Until the killed daemon is heard again, runners that leave wait for
		// the longest deadline that its requests could have had.
		d.startDaemon(t, old)
	}
	var record mfhost.Record
	eventually(t, "host is in its new pool", func() bool {
		records, err := rest[0].operator.Hosts(t.Context(), "dc1")
		for _, r := range records {
			if r.Host == victim {
				record = r
			}
		}
		return err == nil && record.Pool == "spare" && record.MoveTo == ""
	})
	assert.Equal(t, record.State, mfhost.StateServing)
	d.awaitServing(t, rest)
	records, err := rest[0].operator.Placements(t.Context())
	assert.NilError(t, err)
	for _, p := range records {
		for _, r := range p.Runners {
			assert.Check(t, r.Host != victim, "%s is still placed on %s", r.Task, victim)
		}
	}
	stop()
	group.Wait()
}
