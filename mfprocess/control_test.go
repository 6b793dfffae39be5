package mfprocess

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfdaemon"
	"mothferry/mfdocument"
	"mothferry/mfstandin"
)

// controlSize is what a measurement of control runs at.
type controlSize struct {
	daemonsPerCentre int
	pools            int
	hosts            int
	documents        int
	// entry leaves the entry on, idle, so that heartbeats tell of services.
	entry bool
}

// usage is what one daemon has used up to a moment.
type usage struct {
	cpuTime       time.Duration
	resident      mothferry.Bytes
	peerBytes     float64
	platformBytes float64
}

// BenchmarkControl measures a daemon's control alone, its entry switched off,
// while nothing changes. Each size is varied by itself. Run with -benchtime 1x.
func BenchmarkControl(b *testing.B) {
	base := controlSize{daemonsPerCentre: 2, pools: 1, hosts: 32, documents: 10}
	sizes := []controlSize{base}
	for _, n := range []int{1, 4, 8} {
		sizes = append(sizes, controlSize{n, base.pools, base.hosts, base.documents, false})
	}
	for _, n := range []int{4, 8, 16} {
		sizes = append(sizes, controlSize{base.daemonsPerCentre, n, base.hosts, base.documents, false})
	}
	for _, n := range []int{64, 128, 256} {
		sizes = append(sizes, controlSize{base.daemonsPerCentre, base.pools, n, base.documents, false})
	}
	for _, n := range []int{40, 80, 160} {
		sizes = append(sizes, controlSize{base.daemonsPerCentre, base.pools, base.hosts, n, false})
	}
	for _, n := range []int{10, 40, 160} {
		sizes = append(sizes, controlSize{base.daemonsPerCentre, base.pools, base.hosts, n, true})
	}
	for _, s := range sizes {
		name := fmt.Sprintf("daemons=%d/pools=%d/hosts=%d/documents=%d/entry=%t", 3*s.daemonsPerCentre, s.pools, s.hosts, s.documents, s.entry)
		b.Run(name, func(b *testing.B) { measureControl(b, s) })
	}
}

func measureControl(b *testing.B, s controlSize) {
	const settled, span = 4 * time.Second, 5 * time.Second
	var pools []string
	for i := range s.pools {
		pools = append(pools, fmt.Sprint("pool-", i))
	}
	d := startDeploymentWith(b, s.daemonsPerCentre, fmt.Sprintf("roles: {entry: %t}\n", s.entry), "--hosts", strconv.Itoa(s.hosts), "--pools", strings.Join(pools, ","))
	for i := range s.documents {
		k := mfdocument.Default()
		k.Service, k.Team, k.Runners = mothferry.ServiceID(fmt.Sprint("service-", i)), "team", 6
		k.Place.DataCentres = []mothferry.DataCentre{"dc1", "dc2", "dc3"}
		k.Place.Pools = []mothferry.PoolID{mothferry.PoolID(pools[i%len(pools)])}
		k.Unavailability.Window = time.Hour
		eventually(b, "document is accepted", func() bool {
			_, err := d.processes[0].operator.Apply(b.Context(), k.Service, k.YAML(), 0, "test", mfdaemon.NewToken())
			return err == nil
		})
	}
	d.awaitRevision(b, mothferry.Revision(s.documents), d.processes)
	d.awaitServing(b, d.processes)
	time.Sleep(settled)
	before := make([]usage, len(d.processes))
	for i, p := range d.processes {
		before[i] = d.resourceUsage(b, p)
	}
	load := getStandin[mfstandin.TableLoad](b, d, "load")
	time.Sleep(span)
	after := getStandin[mfstandin.TableLoad](b, d, "load")
	var most, sum usage
	for i, p := range d.processes {
		u := d.resourceUsage(b, p)
		u.cpuTime, u.peerBytes, u.platformBytes = u.cpuTime-before[i].cpuTime, u.peerBytes-before[i].peerBytes, u.platformBytes-before[i].platformBytes
		most = usage{max(most.cpuTime, u.cpuTime), max(most.resident, u.resident), max(most.peerBytes, u.peerBytes), max(most.platformBytes, u.platformBytes)}
		sum = usage{sum.cpuTime + u.cpuTime, sum.resident + u.resident, sum.peerBytes + u.peerBytes, sum.platformBytes + u.platformBytes}
	}
	n := float64(len(d.processes))
	b.ReportMetric(100*most.cpuTime.Seconds()/span.Seconds(), "most-core-%")
	b.ReportMetric(100*sum.cpuTime.Seconds()/span.Seconds()/n, "mean-core-%")
	b.ReportMetric(float64(most.resident/mothferry.Mebibyte), "most-MiB")
	b.ReportMetric(sum.peerBytes/span.Seconds()/n/1000, "mean-peer-kB/s")
	b.ReportMetric(most.platformBytes/span.Seconds()/1000, "most-platform-kB/s")
	b.ReportMetric(float64(after.Reads-load.Reads)/span.Seconds(), "table-reads/s")
	b.ReportMetric(float64(after.Writes-load.Writes)/span.Seconds(), "table-writes/s")
	b.ReportMetric(0, "ns/op")
}

// resourceUsage reads a daemon's use of processor and memory from the operating system
// and its bytes, both ways together, from its metrics.
func (d *deployment) resourceUsage(t testing.TB, p *process) usage {
	t.Helper()
	const tick = 10 * time.Millisecond
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	assert.NilError(t, err)
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')'):]))
	user, err := strconv.Atoi(fields[12])
	assert.NilError(t, err)
	system, err := strconv.Atoi(fields[13])
	assert.NilError(t, err)
	pages, err := strconv.Atoi(fields[22])
	assert.NilError(t, err)
	return usage{
		cpuTime:       time.Duration(user+system) * tick,
		resident:      mothferry.Bytes(pages * os.Getpagesize()),
		peerBytes:     d.sumMetrics(t, p, "mothferry_peer_"),
		platformBytes: d.sumMetrics(t, p, "mothferry_platform_"),
	}
}

// sumMetrics sums a daemon's metrics whose names begin with prefix.
func (d *deployment) sumMetrics(t testing.TB, p *process, prefix string) float64 {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+p.address+":7302/metrics", nil)
	assert.NilError(t, err)
	response, err := d.client.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	sum := 0.0
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		name, value, _ := strings.Cut(lines.Text(), " ")
		if strings.HasPrefix(name, prefix) {
			n, err := strconv.ParseFloat(value, 64)
			assert.NilError(t, err)
			sum += n
		}
	}
	return sum
}
