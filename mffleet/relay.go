package mffleet

import (
	"context"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"mothferry/mfrecord"
	"mothferry/mfrelay"
)

// buildRelay sets up both sides of relaying: this host's calls while it owns the shard,
// and what it passes on for another owner.
func (d *Daemon) buildRelay() {
	passed := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "mothferry_orders_total", Help: "Orders of the shard's owner to workers, by whether a relay passed them on.",
	}, []string{"way"})
	d.Registry.MustRegister(passed)
	relayed, direct := passed.WithLabelValues("relay"), passed.WithLabelValues("direct")
	d.relay = &mfrelay.Relay{
		Daemon: d.Settings.Daemon, Direct: d.Adapter.Workers, OrderTimeout: d.Adapter.OrderTimeout,
		Link:  d.Settings.Link,
		Clock: d.Clock, Log: d.Log("relay"),
		OnOrder: func(over bool) {
			if over {
				relayed.Inc()
			} else {
				direct.Inc()
			}
		},
	}
	d.relayServer = &mfrelay.Server{Address: d.Settings.Relay, Workers: d.Adapter.Workers, Clock: d.Clock, Log: d.Log("relay")}
}

func (d *Daemon) directory() *mfrelay.Directory {
	return &mfrelay.Directory{Store: d.store, Clock: d.Clock, Random: d.Random, Log: d.Log("relay")}
}

// relayComponents are those by which this host passes orders on; none without an address.
func (d *Daemon) relayComponents() []component {
	if d.Settings.Relay == "" {
		return nil
	}
	return []component{{"relay", d.relayServer.Run}, {"directory", d.publishHost}}
}

// publishHost tells the others once where this host passes orders on.
func (d *Daemon) publishHost(ctx context.Context) error {
	err := d.directory().Publish(ctx, mfrecord.Host{
		Daemon: d.Settings.Daemon, DataCentre: d.Settings.DataCentre, Address: d.Settings.Relay, Forward: d.forwardAddress(), Cores: d.Settings.Cores,
	})
	if err != nil {
		return err
	}
	<-ctx.Done()
	return ctx.Err()
}

// followRelays keeps links to relays while this host owns the shard.
func (d *Daemon) followRelays(ctx context.Context) {
	var parts sync.WaitGroup
	parts.Go(func() { _ = d.directory().Follow(ctx, d.relay.SetHosts) })
	parts.Go(func() { _ = d.relay.Run(ctx) })
	parts.Wait()
}
