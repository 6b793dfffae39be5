package mffleet

import (
	"context"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"mothferry/mfrecord"
	"mothferry/mfrelay"
	"mothferry/mfusage"
)

// buildRelay sets up relaying: the client for this host's orders while it owns the shard,
// and the server that relays the orders of another owner.
func (d *Daemon) buildRelay() {
	orders := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "mothferry_orders_total", Help: "Orders of the shard's owner to workers, by whether a relay passed them on.",
	}, []string{"way"})
	d.Registry.MustRegister(orders)
	relayed, direct := orders.WithLabelValues("relay"), orders.WithLabelValues("direct")
	d.relay = &mfrelay.Relay{
		Daemon: d.Settings.Daemon, Direct: d.Adapter.Workers, OrderTimeout: d.Adapter.OrderTimeout,
		Link:  d.Settings.Link,
		Clock: d.Clock, Log: d.Log("relay"),
		OnOrder: func(viaRelay bool) {
			if viaRelay {
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

// relayComponents returns the components that relay orders; none without a relay address.
func (d *Daemon) relayComponents() []component {
	if d.Settings.Relay == "" {
		return nil
	}
	return []component{{"relay", d.relayServer.Run}, {"directory", d.publishHost}}
}

// publishHost stores this host's addresses once for the other hosts.
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

// followRelays keeps links to relays, and lets the heap grow, while this host owns the shard.
func (d *Daemon) followRelays(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { _ = d.directory().Follow(ctx, d.relay.SetHosts) })
	group.Go(func() { _ = d.relay.Run(ctx) })
	group.Go(func() { (&mfusage.Collector{Memory: d.Settings.Memory, Clock: d.Clock}).Run(ctx) })
	group.Wait()
}
