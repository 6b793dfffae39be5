// Package mfrelay spreads the calls of the shard's owner over other hosts: the owner decides
// and stores, and relays in the workers' data centres make its calls to them and return the
// answers in batches. These cases are handled:
//
//   - A relay crashes, hangs or is partitioned: it is lost after silenceTimeout without a
//     message, its pending orders end as unknown (which the owner has to handle anyway), polls
//     are repeated via another relay, and its workers go to the others. A relay that continues
//     later ends the orders that it has not sent.
//   - An order waits at a relay, for its turn at the worker or for a connection: it is sent within
//     the time of a call or not at all. One that is not sent is answered as refused.
//   - A relay is about to stop: it reports so, answers what it has, and gets no more.
//   - There is no relay: the owner calls workers directly.
package mfrelay

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"mothferry"
	"mothferry/mfclock"
	"mothferry/mfrecord"
	"mothferry/mfrelay/mfwire"
)

const (
	// reviewInterval is how often relays are chosen again.
	reviewInterval = 250 * time.Millisecond
	// minAvoid is how long a relay that was lost, or can't be reached, is not tried again:
	// shorter than a restart takes, and long compared with a lost heartbeat. It doubles with
	// each failure up to maxAvoid: the hosts of a partitioned data centre would otherwise be
	// tried one after the other for as long as the partition lasts.
	minAvoid = 2 * time.Second
	maxAvoid = 16 * time.Second
	// maxAvoidDoublings bounds the doublings of minAvoid.
	maxAvoidDoublings = 3
	// unneededLinkTTL is how long a link to a relay that is not needed is kept: the number of
	// workers falls and rises with the demand peaks of the pools, and each change is new
	// connections to workers.
	unneededLinkTTL = 20 * time.Second
	// answerMargin is how much longer than the call itself the answer of a relay may take: it
	// answers each order, so that beyond that the order was lost on the way.
	answerMargin = 400 * time.Millisecond
)

// Relay implements mothferry.TaskWorkers: via relays while Run runs and there are any, else by
// Direct. The exported fields are set before Run.
type Relay struct {
	Daemon mothferry.DaemonID
	// Direct calls workers from this host.
	Direct mothferry.TaskWorkers
	// OrderTimeout bounds a call to a worker, not counting the time that the worker is asked to
	// wait.
	OrderTimeout time.Duration
	// Link is the bandwidth of this host's link; zero if it is not known.
	Link  mothferry.Bandwidth
	Clock mothferry.Clock
	Log   *log.Entry
	// OnOrder is called with whether an order went via a relay; it may be nil.
	OnOrder func(relayed bool)

	mutex sync.Mutex
	// hosts are those that could be relays, links those to the chosen ones.
	hosts      []mfrecord.Host
	links      map[mothferry.DaemonID]*link
	avoided    map[mothferry.DaemonID]avoided
	roster     roster
	generation int
}

// avoided is until when a host is not tried, and how often the next such time is doubled.
type avoided struct {
	until     time.Time
	doublings int
}

// SetHosts replaces the hosts that could be relays.
func (r *Relay) SetHosts(hosts []mfrecord.Host) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.hosts = slices.DeleteFunc(slices.Clone(hosts), func(h mfrecord.Host) bool { return h.Daemon == r.Daemon })
}

// Run keeps links to relays until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	for {
		r.review(ctx)
		if !mfclock.Sleep(ctx, r.Clock, reviewInterval) {
			r.closeAll()
			return ctx.Err()
		}
	}
}

// review opens links to the hosts that should be relays and retires the others.
func (r *Relay) review(ctx context.Context) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.Clock.Now()
	avoid := func(d mothferry.DaemonID) bool { return now.Before(r.avoided[d].until) }
	chosen := map[mothferry.DaemonID]bool{}
	for _, h := range Choose(r.hosts, r.roster.countByDataCentre(now), MaxDirectWorkers(r.Link), avoid) {
		chosen[h.Daemon] = true
		if l, there := r.links[h.Daemon]; there && l.host == h {
			l.lastNeeded = now
			continue
		}
		r.open(ctx, h, now)
	}
	for id, l := range r.links {
		if !chosen[id] && now.Sub(l.lastNeeded) >= unneededLinkTTL && l.retire() {
			r.remove(l)
		}
	}
}

func (r *Relay) open(ctx context.Context, h mfrecord.Host, now time.Time) {
	if r.links == nil {
		r.links = map[mothferry.DaemonID]*link{}
	}
	if old, there := r.links[h.Daemon]; there {
		old.close(errNotNeeded)
	}
	l := &link{host: h, clock: r.Clock, lastNeeded: now}
	r.links[h.Daemon] = l
	go func() {
		err := l.run(ctx, func() { r.linkOpened(l) })
		r.linkLost(l, err)
	}()
}

// linkOpened has workers choose among all relays again.
func (r *Relay) linkOpened(l *link) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.generation++
	delete(r.avoided, l.host.Daemon)
	r.Log.WithField("relay", l.host.Daemon).WithField("address", l.host.Address).WithField("links", len(r.links)).Info("relay connected")
}

// linkLost records that a link has ended, and avoids its relay unless it was ended on purpose.
func (r *Relay) linkLost(l *link, err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.links[l.host.Daemon] == l {
		r.remove(l)
	}
	if errors.Is(err, errNotNeeded) || errors.Is(err, context.Canceled) {
		return
	}
	if r.avoided == nil {
		r.avoided = map[mothferry.DaemonID]avoided{}
	}
	a := r.avoided[l.host.Daemon]
	a.until = r.Clock.Now().Add(min(maxAvoid, minAvoid<<a.doublings))
	a.doublings = min(a.doublings+1, maxAvoidDoublings)
	r.avoided[l.host.Daemon] = a
	r.Log.WithError(err).WithField("relay", l.host.Daemon).WithField("orders", l.unansweredOrders()).Warn("relay lost")
}

// remove removes a link; the mutex is held.
func (r *Relay) remove(l *link) {
	delete(r.links, l.host.Daemon)
	r.generation++
}

func (r *Relay) closeAll() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, l := range r.links {
		l.close(context.Canceled)
	}
	clear(r.links)
	r.generation++
}

// linkFor returns the link to the relay of a worker, or nil if there is none.
func (r *Relay) linkFor(at mothferry.WorkerAddress) *link {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.roster.workers == nil {
		r.roster.workers = map[mothferry.WorkerID]*assignment{}
	}
	a, known := r.roster.workers[at.Worker]
	if !known {
		a = &assignment{dataCentre: at.DataCentre}
		r.roster.workers[at.Worker] = a
	}
	a.lastCalled = r.Clock.Now()
	if a.link != nil && a.generation == r.generation && a.link.usable() {
		return a.link
	}
	a.link, a.generation = nil, r.generation
	for _, l := range r.links {
		if l.host.DataCentre != at.DataCentre || !l.usable() {
			continue
		}
		if a.link == nil || rank(at.Worker, l.host.Daemon) > rank(at.Worker, a.link.host.Daemon) {
			a.link = l
		}
	}
	return a.link
}

func (r *Relay) route(at mothferry.WorkerAddress) *link {
	l := r.linkFor(at)
	if r.OnOrder != nil {
		r.OnOrder(l != nil)
	}
	return l
}

// Start implements mothferry.TaskWorkers.
func (r *Relay) Start(ctx context.Context, at mothferry.WorkerAddress, o mothferry.StartOrder) (mothferry.WorkerClock, error) {
	return r.order(ctx, at, encodeStart(at, o), func() (mothferry.WorkerClock, error) { return r.Direct.Start(ctx, at, o) })
}

// Stop implements mothferry.TaskWorkers.
func (r *Relay) Stop(ctx context.Context, at mothferry.WorkerAddress, task mothferry.TaskName, run mothferry.RunNumber, epoch mothferry.Epoch) (mothferry.WorkerClock, error) {
	return r.order(ctx, at, encodeStop(at, task, run, epoch), func() (mothferry.WorkerClock, error) { return r.Direct.Stop(ctx, at, task, run, epoch) })
}

// Pace implements mothferry.TaskWorkers.
func (r *Relay) Pace(ctx context.Context, at mothferry.WorkerAddress, task mothferry.TaskName, run mothferry.RunNumber, percent int, epoch mothferry.Epoch) (mothferry.WorkerClock, error) {
	return r.order(ctx, at, encodePace(at, task, run, percent, epoch), func() (mothferry.WorkerClock, error) {
		return r.Direct.Pace(ctx, at, task, run, percent, epoch)
	})
}

// order has an order executed via the worker's relay, or by direct if there is none. An order that was
// not yet written when its relay was lost goes another way. The outcome of one that was written is
// returned only once the relay can no longer send it to the worker: until then its task must not count
// as free, whatever the worker answers meanwhile.
func (r *Relay) order(ctx context.Context, at mothferry.WorkerAddress, o *mfwire.Order, direct func() (mothferry.WorkerClock, error)) (mothferry.WorkerClock, error) {
	for {
		l := r.route(at)
		if l == nil {
			return direct()
		}
		if trace := mothferry.OrderTraceOf(ctx); trace != nil {
			trace.Relay = l.host.Daemon
		}
		reply, err := l.execute(ctx, o, r.OrderTimeout, 0)
		var lost *errLinkLost
		if !errors.As(err, &lost) || ctx.Err() != nil {
			return reply.Clock, err
		}
		if lost.written {
			mfclock.Sleep(ctx, r.Clock, lost.sendBy.Sub(r.Clock.Now()))
			return reply.Clock, err
		}
	}
}

// Poll implements mothferry.TaskWorkers. A poll whose relay was lost is repeated via another
// one: polling twice does no harm, and the worker may be healthy. If it counted as
// unresponsive, it would get no work for a third of a second, and 80 workers with it.
func (r *Relay) Poll(ctx context.Context, at mothferry.WorkerAddress, o mothferry.PollOrder) (mothferry.PollReport, error) {
	for {
		l := r.route(at)
		if l == nil {
			return r.Direct.Poll(ctx, at, o)
		}
		reply, err := l.execute(ctx, encodeLook(at, o), r.OrderTimeout, o.Wait)
		var lost *errLinkLost
		if !errors.As(err, &lost) || ctx.Err() != nil {
			return reply, err
		}
	}
}
