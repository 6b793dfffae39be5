package mfprocess

import (
	"sort"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfdaemon"
	"mothferry/mfexample"
)

// BenchmarkDocuments measures the time from sending a change to its being in
// force at each of 9 daemons, as each of them says itself, and the bytes
// between peers for each change and daemon. Run with -benchtime 200x.
func BenchmarkDocuments(b *testing.B) {
	d := startDeployment(b, 3, "roles: {entry: false}\n")
	d.apply(b, "kelani")
	documents, err := mfexample.Documents("kelani")
	assert.NilError(b, err)
	quiet := d.idlePeerRate(b, 3*time.Second)
	var took []time.Duration
	before, began := d.peerBytesSent(b), time.Now()
	for i := range b.N {
		k := documents[i%len(documents)]
		k.Requests.Deadline += time.Duration(1+i) * time.Millisecond
		p := d.processes[i%len(d.processes)]
		start := time.Now()
		var revision mothferry.Revision
		eventually(b, "change is accepted", func() bool {
			_, base, err := p.operator.Document(b.Context(), k.Service)
			if err == nil {
				revision, err = p.operator.Apply(b.Context(), k.Service, k.Document.YAML(), base, "test", mfdaemon.NewToken())
			}
			return err == nil
		})
		var group sync.WaitGroup
		for _, o := range d.processes {
			group.Go(func() {
				for {
					if s, err := o.operator.Status(b.Context()); err == nil && s.Revision >= revision {
						return
					}
					time.Sleep(time.Millisecond)
				}
			})
		}
		group.Wait()
		took = append(took, time.Since(start))
	}
	changes := (d.peerBytesSent(b) - before) - quiet*time.Since(began).Seconds()
	sort.Slice(took, func(i, j int) bool { return took[i] < took[j] })
	b.ReportMetric(float64(took[len(took)/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds())/1000, "p99-ms")
	b.ReportMetric(float64(took[len(took)-1].Microseconds())/1000, "most-ms")
	b.ReportMetric(changes/float64(b.N*len(d.processes)), "bytes/change/daemon")

	paused := d.processes[4]
	paused.signal(b, syscall.SIGSTOP)
	k := documents[0]
	_, base, err := d.processes[0].operator.Document(b.Context(), k.Service)
	assert.NilError(b, err)
	revision, err := d.processes[0].operator.Apply(b.Context(), k.Service, k.Document.YAML(), base, "test", mfdaemon.NewToken())
	assert.NilError(b, err)
	time.Sleep(3 * time.Second)
	paused.signal(b, syscall.SIGCONT)
	resumed := time.Now()
	d.awaitRevision(b, revision, []*process{paused})
	b.ReportMetric(float64(time.Since(resumed).Milliseconds()), "after-pause-ms")
}

// peerBytesSent returns the bytes that all daemons sent to peers so far.
func (d *deployment) peerBytesSent(b *testing.B) float64 {
	b.Helper()
	sum := 0.0
	for _, p := range d.processes {
		sum += d.sumMetrics(b, p, "mothferry_peer_sent_bytes_total")
	}
	return sum
}

// idlePeerRate returns the bytes a second that all daemons send to peers while
// nothing changes.
func (d *deployment) idlePeerRate(b *testing.B, span time.Duration) float64 {
	b.Helper()
	before := d.peerBytesSent(b)
	time.Sleep(span)
	return (d.peerBytesSent(b) - before) / span.Seconds()
}
