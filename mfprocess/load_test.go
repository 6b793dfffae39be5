package mfprocess

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sort"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"mothferry"
	"mothferry/mfstandin"
)

// generateLoad sends requests from a number of callers, each on a connection of its
// own, and returns how many were answered a second and their percentiles. It
// writes and reads HTTP by hand: net/http's client would take more of the
// machine than the daemon under test.
func generateLoad(b *testing.B, callers, total int, address, path string) (rate float64, p50, p99 time.Duration, failed int) {
	b.Helper()
	var mutex sync.Mutex
	var took []time.Duration
	var group sync.WaitGroup
	began := time.Now()
	for c := range callers {
		group.Go(func() {
			own, bad, err := runCaller(total/callers, address, fmt.Sprintf("GET %s HTTP/1.1\r\nHost: x\r\n%s: c%d\r\n\r\n", path, mothferry.HeaderCustomer, c))
			if err != nil {
				b.Error(err)
			}
			mutex.Lock()
			defer mutex.Unlock()
			took = append(took, own...)
			failed += bad
		})
	}
	group.Wait()
	span := time.Since(began)
	sort.Slice(took, func(i, j int) bool { return took[i] < took[j] })
	return float64(len(took)) / span.Seconds(), took[len(took)/2], took[len(took)*99/100], failed
}

func runCaller(count int, address, request string) (took []time.Duration, bad int, err error) {
	connection, err := net.Dial("tcp", address)
	if err != nil {
		return nil, 0, err
	}
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for range count {
		start := time.Now()
		if _, err := connection.Write([]byte(request)); err != nil {
			return took, bad, err
		}
		ok, err := readResponse(reader)
		if err != nil {
			return took, bad, err
		}
		if !ok {
			bad++
		}
		took = append(took, time.Since(start))
	}
	return took, bad, nil
}

// readResponse reads one answer with a Content-Length and reports whether it was a 200.
func readResponse(r *bufio.Reader) (ok bool, err error) {
	length := 0
	for first := true; ; first = false {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return false, err
		}
		text := strings.TrimSpace(string(line))
		if first {
			ok = strings.Contains(text, " 200 ")
		}
		if text == "" {
			break
		}
		if n, found := strings.CutPrefix(text, "Content-Length: "); found {
			if length, err = strconv.Atoi(n); err != nil {
				return false, err
			}
		}
	}
	_, err = r.Discard(length)
	return ok, err
}

// BenchmarkThroughDaemon compares requests through one daemon with direct
// calls to a runner, in the same run.
func BenchmarkThroughDaemon(b *testing.B) {
	d := startDeployment(b, 1, "")
	d.apply(b, "kelani")
	runner := ""
	for _, r := range getStandin[[]mfstandin.RunnerStatus](b, d, "runners") {
		if r.Service == "quoting" {
			runner = r.Address
		}
	}
	for _, callers := range []int{1, 8, 24} {
		for _, k := range []struct{ name, address, path string }{
			{"direct", runner, "/x"},
			{"daemon", d.processes[0].address + ":7300", "/quoting/x"},
		} {
			if k.name == "direct" && callers > 8 {
				continue
			}
			b.Run(fmt.Sprintf("callers=%d/%s", callers, k.name), func(b *testing.B) {
				rate, p50, p99, failed := generateLoad(b, callers, max(b.N, callers), k.address, k.path)
				b.ReportMetric(rate, "requests/s")
				b.ReportMetric(float64(p50.Microseconds()), "p50-us")
				b.ReportMetric(float64(p99.Microseconds()), "p99-us")
				b.ReportMetric(float64(failed), "not-answered")
			})
		}
	}
}

// BenchmarkOverload sends requests of 50 ms to the runners of one data centre
// through its three daemons, at a share of the runners' capacity, without
// waiting for answers. Run it with -benchtime 1x.
func BenchmarkOverload(b *testing.B) {
	for _, k := range []struct {
		name  string
		share float64
		split []float64
		noisy bool
	}{
		{"95%", 0.95, []float64{1. / 3, 1. / 3, 1. / 3}, false},
		{"130%", 1.3, []float64{1. / 3, 1. / 3, 1. / 3}, false},
		{"95%-60-30-10", 0.95, []float64{0.6, 0.3, 0.1}, false},
		{"130%-60-30-10", 1.3, []float64{0.6, 0.3, 0.1}, false},
		{"130%-one-customer-tenfold", 1.3, []float64{1. / 3, 1. / 3, 1. / 3}, true},
	} {
		b.Run(k.name, func(b *testing.B) { measureOverload(b, k.share, k.split, k.noisy) })
	}
}

func measureOverload(b *testing.B, share float64, split []float64, noisy bool) {
	const (
		work     = 50 * time.Millisecond
		deadline = 500 * time.Millisecond
		span     = 8 * time.Second
		warm     = 2 * time.Second
	)
	d := startDeployment(b, 3, "")
	d.apply(b, "stoisk")
	runners := len(placedRunners(b, d.processes[0], "payments"))
	capacity := float64(runners*8) / work.Seconds()
	random := rand.New(rand.NewPCG(3, 5))
	var mutex sync.Mutex
	var took []time.Duration
	var group sync.WaitGroup
	answered, quiet, quietAnswered, unknown := 0, 0, 0, 0
	began := time.Now()
	for next := time.Duration(0); next < span; next += time.Duration(random.ExpFloat64() / (share * capacity) * float64(time.Second)) {
		time.Sleep(next - time.Since(began))
		customer := mothferry.CustomerID(fmt.Sprint("quiet-", random.IntN(9)))
		if random.Float64()*19 > 9 && noisy || !noisy && random.IntN(10) == 0 {
			customer = "noisy"
		}
		host, part := 0, random.Float64()
		for host < len(split)-1 && part > split[host] {
			part -= split[host]
			host++
		}
		counted := next > warm
		if counted && customer != "noisy" {
			quiet++
		}
		group.Go(func() {
			start := time.Now()
			r := d.send(context.Background(), d.processes[host], call{method: "POST", service: "payments", path: "/x?work=" + work.String(), customer: customer, id: "load", timeout: deadline})
			mutex.Lock()
			defer mutex.Unlock()
			if !counted {
				return
			}
			switch {
			case r.end == mothferry.EndAnswered && time.Since(start) <= deadline:
				answered++
				took = append(took, time.Since(start))
				if customer != "noisy" {
					quietAnswered++
				}
			case r.end == mothferry.EndUnknown || r.err != nil:
				unknown++
			}
		})
	}
	group.Wait()
	sort.Slice(took, func(i, j int) bool { return took[i] < took[j] })
	refused, mostInFlight, mostConnections, ran := 0, 0, 0, 0
	for _, r := range getStandin[[]mfstandin.RunnerStatus](b, d, "runners") {
		if r.Service == "payments" && r.Ran > 0 {
			refused, ran = refused+r.Refused, ran+r.Ran
			mostInFlight, mostConnections = max(mostInFlight, r.MaxInFlight), max(mostConnections, r.MaxConnections)
		}
	}
	b.ReportMetric(float64(answered)/(capacity*min(share, 1)*(span-warm).Seconds()), "goodput")
	b.ReportMetric(float64(took[len(took)/2].Milliseconds()), "p50-ms")
	b.ReportMetric(float64(took[len(took)*99/100].Milliseconds()), "p99-ms")
	b.ReportMetric(float64(refused)/float64(ran), "refusals/request")
	b.ReportMetric(float64(quietAnswered)/float64(quiet), "quiet-answered")
	b.ReportMetric(float64(unknown), "unknown")
	b.ReportMetric(float64(mostInFlight), "most-in-flight")
	b.ReportMetric(float64(mostConnections), "most-connections")
}
