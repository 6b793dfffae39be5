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

// generateLoad sends requests from a number of callers, each on a connection of its times, and
// returns the responses a second, their latency percentiles and how many were not 200. It
// reads and writes HTTP by hand, since net/http's client would use more CPU than the daemon
// under test.
func generateLoad(b *testing.B, callers, total int, address, path string) (rate float64, p50, p99 time.Duration, failed int) {
	b.Helper()
	var mutex sync.Mutex
	var latencies []time.Duration
	var group sync.WaitGroup
	began := time.Now()
	for c := range callers {
		group.Go(func() {
			times, bad, err := runCaller(total/callers, address, fmt.Sprintf("GET %s HTTP/1.1\r\nHost: x\r\n%s: c%d\r\n\r\n", path, mothferry.HeaderCustomer, c))
			if err != nil {
				b.Error(err)
			}
			mutex.Lock()
			defer mutex.Unlock()
			latencies = append(latencies, times...)
			failed += bad
		})
	}
	group.Wait()
	span := time.Since(began)
	sort.Slice(latencies, func(i, j int) bool { return latencies[i] < latencies[j] })
	return float64(len(latencies)) / span.Seconds(), latencies[len(latencies)/2], latencies[len(latencies)*99/100], failed
}

func runCaller(count int, address, request string) (latencies []time.Duration, bad int, err error) {
	connection, err := net.Dial("tcp", address)
	if err != nil {
		return nil, 0, err
	}
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for range count {
		start := time.Now()
		if _, err := connection.Write([]byte(request)); err != nil {
			return latencies, bad, err
		}
		ok, err := readResponse(reader)
		if err != nil {
			return latencies, bad, err
		}
		if !ok {
			bad++
		}
		latencies = append(latencies, time.Since(start))
	}
	return latencies, bad, nil
}

// readResponse reads one response with a Content-Length and reports whether its status is 200.
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

// BenchmarkOverload sends requests of 50 ms to the runners of one data centre through its
// three daemons, at a fraction of the runners' capacity and without waiting for answers. Run
// it with -benchtime 1x.
func BenchmarkOverload(b *testing.B) {
	for _, k := range []struct {
		name     string
		fraction float64
		split    []float64
		noisy    bool
	}{
		{"95%", 0.95, []float64{1. / 3, 1. / 3, 1. / 3}, false},
		{"130%", 1.3, []float64{1. / 3, 1. / 3, 1. / 3}, false},
		{"95%-60-30-10", 0.95, []float64{0.6, 0.3, 0.1}, false},
		{"130%-60-30-10", 1.3, []float64{0.6, 0.3, 0.1}, false},
		{"130%-one-customer-tenfold", 1.3, []float64{1. / 3, 1. / 3, 1. / 3}, true},
	} {
		b.Run(k.name, func(b *testing.B) { measureOverload(b, k.fraction, k.split, k.noisy) })
	}
}

func measureOverload(b *testing.B, fraction float64, split []float64, noisy bool) {
	const (
		work     = 50 * time.Millisecond
		deadline = 500 * time.Millisecond
		span     = 8 * time.Second
		warmUp   = 2 * time.Second
	)
	d := startDeployment(b, 3, "")
	d.apply(b, "stoisk")
	runners := len(placedRunners(b, d.processes[0], "payments"))
	capacity := float64(runners*8) / work.Seconds()
	random := rand.New(rand.NewPCG(3, 5))
	var mutex sync.Mutex
	var latencies []time.Duration
	var group sync.WaitGroup
	answered, quiet, quietAnswered, unknown := 0, 0, 0, 0
	began := time.Now()
	for next := time.Duration(0); next < span; next += time.Duration(random.ExpFloat64() / (fraction * capacity) * float64(time.Second)) {
		time.Sleep(next - time.Since(began))
		customer := mothferry.CustomerID(fmt.Sprint("quiet-", random.IntN(9)))
		if random.Float64()*19 > 9 && noisy || !noisy && random.IntN(10) == 0 {
			customer = "noisy"
		}
		host, point := 0, random.Float64()
		for host < len(split)-1 && point > split[host] {
			point -= split[host]
			host++
		}
		counted := next > warmUp
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
				latencies = append(latencies, time.Since(start))
				if customer != "noisy" {
					quietAnswered++
				}
			case r.end == mothferry.EndUnknown || r.err != nil:
				unknown++
			}
		})
	}
	group.Wait()
	sort.Slice(latencies, func(i, j int) bool { return latencies[i] < latencies[j] })
	refused, mostInFlight, mostConnections, ran := 0, 0, 0, 0
	for _, r := range getStandin[[]mfstandin.RunnerStatus](b, d, "runners") {
		if r.Service == "payments" && r.Ran > 0 {
			refused, ran = refused+r.Refused, ran+r.Ran
			mostInFlight, mostConnections = max(mostInFlight, r.MaxInFlight), max(mostConnections, r.MaxConnections)
		}
	}
	b.ReportMetric(float64(answered)/(capacity*min(fraction, 1)*(span-warmUp).Seconds()), "goodput")
	b.ReportMetric(float64(latencies[len(latencies)/2].Milliseconds()), "p50-ms")
	b.ReportMetric(float64(latencies[len(latencies)*99/100].Milliseconds()), "p99-ms")
	b.ReportMetric(float64(refused)/float64(ran), "refusals/request")
	b.ReportMetric(float64(quietAnswered)/float64(quiet), "quiet-answered")
	b.ReportMetric(float64(unknown), "unknown")
	b.ReportMetric(float64(mostInFlight), "most-in-flight")
	b.ReportMetric(float64(mostConnections), "most-connections")
}
