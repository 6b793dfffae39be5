package mfprocess

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"mothferry"
)

// TestEndToEnd serves both users' services from separate processes and
// checks that each caller gets the whole answer to its own request.
func TestEndToEnd(t *testing.T) {
	for _, team := range []string{"kelani", "stoisk"} {
		t.Run(team, func(t *testing.T) {
			d := startDeployment(t, 2, "")
			services := d.apply(t, team)
			assert.Equal(t, len(services), 5)
			var group sync.WaitGroup
			for i, service := range services {
				for n := range 20 {
					p := d.processes[(i+n)%len(d.processes)]
					c := call{
						method: http.MethodPost, service: service, path: fmt.Sprintf("/orders?size=%d", n*n*200),
						customer: mothferry.CustomerID(fmt.Sprintf("customer-%d", n%3)),
						id:       mothferry.RequestID(fmt.Sprintf("%s-%d", service, n)),
						body:     fmt.Sprintf("%0*d", n*100, n),
					}
					group.Go(func() {
						r := d.send(t.Context(), p, c)
						assert.Check(t, r.err)
						assert.Check(t, r.end == mothferry.EndAnswered, "%s: %s %s %s", c.id, r.end, r.reason, r.body)
						if r.end == mothferry.EndAnswered {
							checkOwnAnswer(t, c, r)
						}
					})
				}
			}
			group.Wait()
			for id, n := range d.runCounts(t) {
				assert.Check(t, n == 1, "%s ran %d times", id, n)
			}
			// A connection that never carried a request would keep the daemons
			// for 5 s, as http.Server's Shutdown waits for its first.
			d.client.CloseIdleConnections()
			for _, p := range d.processes {
				p.signal(t, syscall.SIGTERM)
			}
			for _, p := range d.processes {
				<-p.exited
				assert.Check(t, p.command.ProcessState.ExitCode() == 0, "%s: %s", p.name, p.command.ProcessState)
			}
		})
	}
}

// TestDaemonStartsDuringPlatformOutage shows that a daemon which starts while
// the platform is out takes the documents that its peers hold, and serves.
func TestDaemonStartsDuringPlatformOutage(t *testing.T) {
	d := startDeployment(t, 2, "")
	d.apply(t, "kelani")
	late := d.processes[0]
	late.kill(t)
	d.setStandin(t, "faults", map[string]any{"down": true})
	d.startDaemon(t, late)
	d.awaitServing(t, []*process{late})
	s, err := late.operator.Status(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, string(s.Source), "peer")
	c := call{method: http.MethodPost, service: "quoting", path: "/orders", customer: "c", id: "late-1", body: "x"}
	r := d.send(t.Context(), late, c)
	assert.Equal(t, r.end, mothferry.EndAnswered, "%s", r.body)
	checkOwnAnswer(t, c, r)
}
