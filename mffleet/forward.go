package mffleet

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"mothferry"
	"mothferry/mfclock"
	"mothferry/mfforward"
	"mothferry/mfintake"
	"mothferry/mfrecord"
)

// Times of reading which hosts there are. A host can't read that once the store turns
// it away, so each keeps what it read last.
const (
	// minHostsInterval is when they are read again after a start: the others start about then.
	// The pause grows up to hostsEvery: hosts come and go rarely, some of those that are
	// known are enough, and all rows cross between data centres for each host.
	minHostsInterval    = time.Second
	hostsIntervalGrowth = 4
	maxHostsInterval    = time.Minute
)

// buildForward sets up both sides of forwarding.
func (d *Daemon) buildForward() {
	serving := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "mothferry_store_serving", Help: "1 while the store answers this daemon's calls.",
	}, func() float64 {
		if d.store.health.Serving(d.Clock.Now()) {
			return 1
		}
		return 0
	})
	passed := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "mothferry_calls_forwarded_total", Help: "Callers' requests that were passed on to a peer, by kind and outcome.",
	}, []string{"kind", "outcome"})
	carried := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "mothferry_calls_carried_total", Help: "Callers' requests that were carried out for another host, by kind and outcome.",
	}, []string{"kind", "outcome"})
	d.Registry.MustRegister(serving, passed, carried)
	d.Router = &mfforward.Router{Intake: d.Intake, Health: d.store.health, Store: d.store, Clock: d.Clock}
	if d.forwardAddress() == "" {
		return
	}
	d.forwardClient = &mfforward.Client{
		Daemon: d.Settings.Daemon, DataCentre: d.Settings.DataCentre, Health: d.store.health, Clock: d.Clock, Log: d.Log("forward"),
		OnForwarded: func(kind mfforward.Kind, outcome mfintake.Outcome) {
			passed.WithLabelValues(string(kind), string(outcome)).Inc()
		},
	}
	d.forwardServer = &mfforward.Server{
		Address: d.Settings.Forward, Intake: d.Intake, Store: d.store, Config: d.Config, Health: d.store.health, Clock: d.Clock, Log: d.Log("forward"),
		OnServed: func(kind mfforward.Kind, outcome mfintake.Outcome) {
			carried.WithLabelValues(string(kind), string(outcome)).Inc()
		},
	}
	d.Router.Client = d.forwardClient
	d.owner.ReleaseViaPeer = d.releaseViaPeer
}

// forwardAddress is where this host carries out others' calls; empty if it does not.
func (d *Daemon) forwardAddress() string {
	if d.Settings.Off[mothferry.FeatureForwarding] {
		return ""
	}
	return d.Settings.Forward
}

func (d *Daemon) forwardComponents() []component {
	if d.forwardClient == nil {
		return nil
	}
	return []component{{"forward", d.forwardClient.Run}, {"carrier", d.forwardServer.Run}, {"hosts", d.readHosts}}
}

// readHosts reads now and then which hosts there are.
func (d *Daemon) readHosts(ctx context.Context) error {
	for pause := minHostsInterval; ; {
		if !mfclock.Sleep(ctx, d.Clock, pause*3/4+time.Duration(d.Random.Float64()*float64(pause/2))) {
			return ctx.Err()
		}
		hosts, err := d.directory().Read(ctx)
		if err == nil {
			d.forwardClient.SetHosts(hosts)
			pause = min(hostsIntervalGrowth*pause, maxHostsInterval)
		}
	}
}

// canForward reports whether a peer can serve this host's callers.
func (d *Daemon) canForward() bool { return d.forwardClient != nil && d.forwardClient.Ready() }

// releaseViaPeer gives the shard up by a peer if the store turns this host away.
func (d *Daemon) releaseViaPeer(ctx context.Context, head mfrecord.Head, version mothferry.Version) bool {
	return d.store.health.Unavailable(d.Clock.Now()) && d.forwardClient.Release(ctx, head, version)
}
