// Package mfdemo runs a whole deployment on loopback in one process, against in-memory
// stand-ins of the platform, and checks mothferry's guarantees.
package mfdemo

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/gravitational/trace"

	"mothferry"
	"mothferry/mfclock"
	"mothferry/mfdaemon"
	"mothferry/mflog"
	"mothferry/mfoperate"
	"mothferry/mfsetting"
	"mothferry/mfstandin"
)

const (
	dataCentres          = 3
	daemonsPerDataCentre = 2
	hostsPerDataCentre   = 16
	hostsPerRack         = 4
	startDelay           = 20 * time.Millisecond
)

// node is one daemon of the deployment with its addresses.
type node struct {
	settings mfsetting.Settings
	daemon   *mfdaemon.Daemon
	operator *mfoperate.Client
}

// callersURL returns the URL for callers.
func (n *node) callersURL() string { return "http://" + n.settings.Listen.Callers }

// deployment is a stand-in of the platform with the daemons.
type deployment struct {
	clock    mothferry.Clock
	random   mothferry.Random
	standin  *mfstandin.Server
	platform net.Listener
	nodes    []*node

	group sync.WaitGroup
}

func newDeployment(clock mothferry.Clock, random mothferry.Random) (*deployment, error) {
	d := &deployment{clock: clock, random: random}
	var fleet mfstandin.Fleet
	for i := range dataCentres {
		fleet.DataCentres = append(fleet.DataCentres, dataCentreName(i))
	}
	fleet.Pools = []mothferry.PoolID{"general"}
	fleet.HostsPerPool, fleet.HostsPerRack = hostsPerDataCentre, hostsPerRack
	fleet.Capacity = mothferry.Resources{Cores: 16_000, Memory: 32 * mothferry.Gibibyte}
	standin, err := mfstandin.New(clock, fleet)
	if err != nil {
		return nil, err
	}
	standin.Workers.StartDelay = startDelay
	d.standin = standin
	if d.platform, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, trace.Wrap(err)
	}
	return d, d.addNodes()
}

func dataCentreName(i int) mothferry.DataCentre {
	return mothferry.DataCentre(fmt.Sprintf("dc%d", i+1))
}

// addNodes opens all listeners first, since each daemon's settings name the addresses of all.
func (d *deployment) addNodes() error {
	for i := range dataCentres * daemonsPerDataCentre {
		s := mfsetting.Default()
		s.Daemon = mothferry.DaemonID(fmt.Sprintf("entry-%d", i+1))
		s.DataCentre = dataCentreName(i / daemonsPerDataCentre)
		s.Platform.URL = "http://" + d.platform.Addr().String()
		s.Timing.Unready = 100 * time.Millisecond
		logs := &mflog.Logs{Output: io.Discard, Level: log.FatalLevel}
		n := &node{daemon: &mfdaemon.Daemon{Clock: d.clock, Random: d.random, Logs: logs}}
		for _, l := range []struct {
			listener *net.Listener
			address  *string
		}{
			{&n.daemon.Callers, &s.Listen.Callers},
			{&n.daemon.Peers, &s.Listen.Peers},
			{&n.daemon.Operators, &s.Listen.Operators},
		} {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return trace.Wrap(err)
			}
			*l.listener, *l.address = listener, listener.Addr().String()
		}
		n.settings = s
		n.operator = &mfoperate.Client{URL: "http://" + s.Listen.Operators, HTTP: &http.Client{Timeout: 10 * time.Second}}
		d.nodes = append(d.nodes, n)
	}
	for _, n := range d.nodes {
		for _, o := range d.nodes {
			if o != n {
				n.settings.Peers = append(n.settings.Peers, mfsetting.Peer{
					Daemon: o.settings.Daemon, DataCentre: o.settings.DataCentre, Address: o.settings.Listen.Peers,
				})
			}
		}
		n.daemon.Settings = n.settings
	}
	return nil
}

// run starts everything; it ends when ctx does.
func (d *deployment) run(ctx context.Context) {
	server := &http.Server{Handler: d.standin.Handler(), ReadHeaderTimeout: time.Minute}
	d.group.Go(func() { _ = server.Serve(d.platform) })
	var daemons sync.WaitGroup
	for _, n := range d.nodes {
		daemons.Go(func() { _ = n.daemon.Run(ctx) })
	}
	d.group.Go(func() {
		daemons.Wait()
		_ = server.Close()
	})
}

// wait returns when everything has stopped.
func (d *deployment) wait() { d.group.Wait() }

// waitUntil polls done until it returns true, for at most bound.
func (d *deployment) waitUntil(ctx context.Context, bound time.Duration, condition string, done func(ctx context.Context) bool) error {
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	for !done(ctx) {
		if !mfclock.Sleep(ctx, d.clock, 20*time.Millisecond) {
			return trace.LimitExceeded("%s: not within %s", condition, bound)
		}
	}
	return nil
}
