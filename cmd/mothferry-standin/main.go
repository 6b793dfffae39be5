// Command mothferry-standin serves a stand-in of the platform, or of a single upstream runner,
// for tests and trials.
package main

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"mothferry"
	"mothferry/mfclock"
	"mothferry/mfstandin"
)

func main() {
	listen := flag.String("listen", "127.0.0.1:7400", "address to listen at")
	runner := flag.Bool("runner", false, "be one runner instead of the platform")
	centres := flag.String("data-centres", "dc1,dc2,dc3", "data centres of the fleet")
	pools := flag.String("pools", "general", "pools of each data centre")
	hosts := flag.Int("hosts", 17, "hosts of each pool in each data centre")
	rack := flag.Int("rack", 4, "hosts of a rack")
	cores := flag.Int("cores", 16, "cores of a host")
	memory := flag.Int("memory", 32, "memory of a host, in GiB")
	delay := flag.Duration("start-delay", 50*time.Millisecond, "how long a runner takes until it serves")
	flag.Parse()
	listener, err := net.Listen("tcp", *listen)
	if err != nil {
		fail(err)
	}
	if *runner {
		r := &mfstandin.Runner{Task: "lone", Service: "lone", Slots: 8, Connections: 64, Journal: &mfstandin.Journal{}, Listener: listener}
		r.Start()
		select {}
	}
	server, err := mfstandin.New(mfclock.System{}, mfstandin.Fleet{
		DataCentres:  splitNames[mothferry.DataCentre](*centres),
		Pools:        splitNames[mothferry.PoolID](*pools),
		HostsPerPool: *hosts, HostsPerRack: *rack,
		Capacity: mothferry.Resources{Cores: mothferry.Millicores(*cores) * 1000, Memory: mothferry.Bytes(*memory) * mothferry.Gibibyte},
	})
	if err != nil {
		fail(err)
	}
	server.Workers.StartDelay = *delay
	// Runners listen at the stand-in's own IP address, so that deployments that run in
	// parallel on one machine never get one another's ports.
	if server.Workers.Address, _, err = net.SplitHostPort(*listen); err != nil {
		fail(err)
	}
	fail(http.Serve(listener, server.Handler()))
}

func splitNames[T ~string](list string) []T {
	var out []T
	for _, n := range strings.Split(list, ",") {
		out = append(out, T(n))
	}
	return out
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, "mothferry-standin:", err)
	os.Exit(1)
}
