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

// A host reads the list of hosts regularly and keeps the last one, since it can't read the
// list once the store no longer serves it.
const (
	// minHostsInterval is the interval after a start, when other hosts may be starting too.
	// It grows by hostsIntervalGrowth up to maxHostsInterval: hosts rarely change, forwarding
	// needs only some of them, and each read transfers all rows between data centres.
	minHostsInterval    = time.Second
	hostsIntervalGrowth = 4
	maxHostsInterval    = time.Minute
)

// buildForward sets up forwarding: client, server and router.
func (d *Daemon) buildForward() {
	serving := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "mothferry_store_serving", Help: "1 while the store answers this daemon's calls.",
	}, func() float64 {
		if d.store.health.Serving(d.Clock.Now()) {
			return 1
		}
		return 0
	})
	forwarded := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "mothferry_calls_forwarded_total", Help: "Callers' requests that were passed on to a peer, by kind and outcome.",
	}, []string{"kind", "outcome"})
	served := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "mothferry_calls_carried_total", Help: "Callers' requests that were carried out for another host, by kind and outcome.",
	}, []string{"kind", "outcome"})
	d.Registry.MustRegister(serving, forwarded, served)
	d.Router = &mfforward.Router{Intake: d.Intake, Health: d.store.health, Store: d.store, Clock: d.Clock}
	if d.forwardAddress() == "" {
		return
	}
	d.forwardClient = &mfforward.Client{
		Daemon: d.Settings.Daemon, DataCentre: d.Settings.DataCentre, Health: d.store.health, Clock: d.Clock, Log: d.Log("forward"),
		OnForwarded: func(kind mfforward.Kind, outcome mfintake.Outcome) {
			forwarded.WithLabelValues(string(kind), string(outcome)).Inc()
		},
	}
	d.forwardServer = &mfforward.Server{
		Address: d.Settings.Forward, Intake: d.Intake, Store: d.store, Config: d.Config, Health: d.store.health, Clock: d.Clock, Log: d.Log("forward"),
		OnServed: func(kind mfforward.Kind, outcome mfintake.Outcome) {
			served.WithLabelValues(string(kind), string(outcome)).Inc()
		},
	}
	d.Router.Client = d.forwardClient
	d.owner.ReleaseViaPeer = d.releaseViaPeer
}

// forwardAddress is where this host serves requests forwarded by others; empty if it does not.
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

// readHosts reads the list of hosts at growing intervals.
func (d *Daemon) readHosts(ctx context.Context) error {
	for interval := minHostsInterval; ; {
		if !mfclock.Sleep(ctx, d.Clock, interval*3/4+time.Duration(d.Random.Float64()*float64(interval/2))) {
			return ctx.Err()
		}
		hosts, err := d.directory().Read(ctx)
		if err == nil {
			d.forwardClient.SetHosts(hosts)
			interval = min(hostsIntervalGrowth*interval, maxHostsInterval)
		}
	}
}

// canForward reports whether a peer can serve this host's callers.
func (d *Daemon) canForward() bool { return d.forwardClient != nil && d.forwardClient.Ready() }

// releaseViaPeer releases the shard via a peer if the store does not serve this host.
func (d *Daemon) releaseViaPeer(ctx context.Context, head mfrecord.Head, version mothferry.Version) bool {
	return d.store.health.Unavailable(d.Clock.Now()) && d.forwardClient.Release(ctx, head, version)
}
