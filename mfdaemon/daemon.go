// Package mfdaemon assembles the parts of one daemon under a tree of
// supervisors and stops them in order.
package mfdaemon

import (
	"context"
	"crypto/rand"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/thejerf/suture/v4"

	"mothferry"
	"mothferry/mfchange"
	"mothferry/mfcontrol"
	"mothferry/mfentry"
	"mothferry/mffollow"
	"mothferry/mfhost"
	"mothferry/mflease"
	"mothferry/mfledger"
	"mothferry/mflog"
	"mothferry/mfmetric"
	"mothferry/mfoperate"
	"mothferry/mfpeer"
	"mothferry/mfplatform"
	"mothferry/mfroute"
	"mothferry/mfsetting"
	"mothferry/mfsnapshot"
	"mothferry/mftraffic"
	"mothferry/mfusage"
)

// Bounds that are not settings.
const (
	// callTimeout bounds one call between peers.
	callTimeout = 2 * time.Second
	// maxMissedHeartbeats is how many heartbeats may be missed by a live peer.
	maxMissedHeartbeats = 4
	// headerTimeout bounds how long a caller may take over its request's header.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long a caller's unused connection is kept.
	idleTimeout = 2 * time.Minute
	// queueWaitFraction is the part of a request's time that it may be expected to wait
	// in the queue, and overloadShare the same under overload; docs/design/routing.md
	// has the figures behind both.
	queueWaitFraction    = 0.12
	overloadWaitFraction = 0.035
	// platformConnections bounds the unused connections to the platform that are kept.
	platformConnections = 16
	// stopGrace is added to the longest deadline in force when a daemon stops.
	stopGrace = 2 * time.Second
)

// Daemon is one mothferry daemon.
type Daemon struct {
	Settings mfsetting.Settings
	Clock    mothferry.Clock
	Random   mothferry.Random
	Logs     *mflog.Logs

	// Listeners may be given by tests; else Run listens at the settings' addresses.
	Callers, Peers, Operators net.Listener

	log        *log.Entry
	store      *mfsnapshot.Store
	platform   mothferry.Platform
	mesh       *mfpeer.Mesh
	follower   *mffollow.Follower
	router     *mfroute.Router
	ledger     *mfledger.Ledger
	entry      *mfentry.Handler
	keeper     *mflease.Keeper
	controller *mfcontrol.Controller
	operate    *mfoperate.Handler
	metrics    *mfmetric.Metrics
	callers    *http.Server
	operators  *http.Server
	usage      *mfusage.Monitor
	stopping   atomic.Bool
	// traffic counts the bytes on connections to the platform.
	traffic mftraffic.Counter
	done    chan struct{}
}

// NewToken returns a token that is never used twice.
func NewToken() mothferry.Token { return mothferry.Token(rand.Text()) }

// Run serves until ctx ends and then stops gracefully: unready first, then no
// new connections, then the requests in flight come to their end.
func (d *Daemon) Run(ctx context.Context) error {
	d.done = make(chan struct{})
	defer close(d.done)
	d.log = d.Logs.Part("daemon")
	if err := d.openListeners(); err != nil {
		return err
	}
	d.build()
	parts, stopParts := context.WithCancel(context.Background())
	defer stopParts()
	root := d.supervise()
	ended := root.ServeBackground(parts)
	d.log.WithField("daemon", d.Settings.Daemon).WithField("data_centre", d.Settings.DataCentre).
		WithField("callers", d.Callers.Addr()).WithField("operators", d.Operators.Addr()).Info("Daemon serves.")
	<-ctx.Done()
	d.stop()
	stopParts()
	err := <-ended
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	d.log.Info("Daemon stopped.")
	return trace.Wrap(err)
}

// Done is closed when Run has returned.
func (d *Daemon) Done() <-chan struct{} { return d.done }

// InFlight returns how many callers' requests are in work.
func (d *Daemon) InFlight() int64 {
	if d.entry == nil {
		return 0
	}
	return d.entry.InFlight()
}

func (d *Daemon) openListeners() error {
	for _, k := range []struct {
		listener *net.Listener
		address  string
	}{
		{&d.Callers, d.Settings.Listen.Callers},
		{&d.Peers, d.Settings.Listen.Peers},
		{&d.Operators, d.Settings.Listen.Operators},
	} {
		if *k.listener != nil {
			continue
		}
		listener, err := net.Listen("tcp", k.address)
		if err != nil {
			return trace.Wrap(err, "listening at %s", k.address)
		}
		*k.listener = listener
	}
	return nil
}

// build makes the parts and ties them together.
func (d *Daemon) build() {
	s := d.Settings
	client := &mfplatform.Client{URL: s.Platform.URL, Timeout: s.Platform.Timeout, HTTP: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: platformConnections, DialContext: d.traffic.Dial},
	}}
	d.platform = client.Platform()
	d.store = mfsnapshot.NewStore()
	d.buildState()
	d.buildEntry()
	d.buildControl()
	d.buildOperators()
	d.mesh.Spill = d.entry
	d.mesh.Prepare()
	d.router.Prepare()
}

func (d *Daemon) buildState() {
	s := d.Settings
	var peers []mfpeer.Peer
	for _, p := range s.Peers {
		peers = append(peers, mfpeer.Peer(p))
	}
	d.follower = &mffollow.Follower{
		Self: s.Daemon, DataCentre: s.DataCentre, Clock: d.Clock,
		Table: d.platform.Table, Store: d.store, PollInterval: s.Timing.Poll, Heartbeat: s.Timing.Heartbeat,
		CompareTimeout: s.Timing.Notice / 3, MaxConfirmAge: s.Timing.Notice, Log: d.Logs.Part("config"),
	}
	d.follower.Prepare(d.Random)
	d.mesh = &mfpeer.Mesh{
		Self: s.Daemon, DataCentre: s.DataCentre, Listener: d.Peers, Peers: peers, Heartbeat: s.Timing.Heartbeat,
		Connect: s.Timing.Connect, Timeout: callTimeout, Clock: d.Clock, Random: d.Random, Node: d.follower, Log: d.Logs.Part("peers"),
	}
	d.follower.Mesh = d.mesh
}

func (d *Daemon) buildEntry() {
	s := d.Settings
	d.router = &mfroute.Router{
		Self: s.Daemon, DataCentre: s.DataCentre, Clock: d.Clock, Random: d.Random,
		Limits: mfroute.Limits{
			Queue: s.Limits.Queue, MaxWaitFraction: queueWaitFraction, MaxOverloadWaitFraction: overloadWaitFraction, MaxEjectedFraction: s.Limits.EjectShare,
			RetryRatio: s.Limits.RetryRatio, Borrow: true,
		},
		Store: d.store, Peers: d.mesh, EntryHosts: s.EntryHosts(), Heartbeat: s.Timing.Heartbeat,
	}
	d.ledger = &mfledger.Ledger{
		Table: d.platform.Table, Clock: d.Clock, Retention: s.Limits.LedgerKeep,
		MaxRecordBytes: s.Limits.RecordBytes, NewToken: NewToken, Log: d.Logs.Part("ledger"),
	}
	d.ledger.Prepare()
	d.usage = &mfusage.Monitor{Clock: d.Clock, Used: mfusage.ProcessorTime, Log: d.Logs.Part("usage")}
	d.metrics = mfmetric.New(mfmetric.Gauges{
		Cores:       d.usage.CoreFraction,
		Revision:    func() float64 { return float64(d.store.Current().Revision) },
		InFlight:    func() float64 { return float64(d.entry.InFlight()) },
		Peers:       func() float64 { return float64(len(d.mesh.Live(d.peerTimeout()))) },
		Holdings:    func() float64 { return float64(len(d.keeper.Holdings())) },
		PeerTraffic: &d.mesh.Traffic, PlatformTraffic: &d.traffic,
	})
	d.entry = &mfentry.Handler{
		DataCentre: s.DataCentre, Store: d.store, Router: d.router, Ledger: d.ledger, Mesh: d.mesh,
		Transports: &mfentry.Transports{ConnectTimeout: s.Timing.Connect, MaxHeaderBytes: int64(s.Limits.HeaderBytes)},
		Clock:      d.Clock, Random: d.Random, Observer: d.metrics, Log: d.Logs.Part("entry"), NewToken: NewToken,
		BufferBytes: s.Limits.BufferBytes, MaxBodyBytes: s.Limits.BodyBytes,
		EntryHostCount: len(s.EntryHosts()), PeerTimeout: d.peerTimeout(), Confirmed: d.follower.Confirmed, Notice: s.Timing.Notice,
	}
	d.follower.SetStatusProvider(d.router)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/ready", func(w http.ResponseWriter, _ *http.Request) {
		if !d.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.Handle("/", d.entry)
	d.callers = &http.Server{
		Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: int(s.Limits.HeaderBytes),
	}
}

func (d *Daemon) buildControl() {
	s := d.Settings
	d.keeper = &mflease.Keeper{
		Self: s.Daemon, DataCentre: s.DataCentre, Table: d.platform.Table, Clock: d.Clock, Lease: s.Timing.Lease,
		Live: d.liveInDataCentre, NewToken: NewToken, Log: d.Logs.Part("lease"),
	}
	d.controller = &mfcontrol.Controller{
		DataCentre: s.DataCentre, Platform: d.platform, Clock: d.Clock, Interval: s.Timing.Control, Notice: s.Timing.Notice,
		Leases: d.keeper, Peers: d.mesh, Self: d.follower, Store: d.store, Log: d.Logs.Part("control"),
	}
	d.keeper.Wanted = d.controller.WantedPools
}

func (d *Daemon) buildOperators() {
	s := d.Settings
	d.operate = &mfoperate.Handler{
		Daemon: s.Daemon, DataCentre: s.DataCentre, Store: d.store,
		Accepter: &mfchange.Accepter{Table: d.platform.Table, Clock: d.Clock},
		Follower: d.follower, Mesh: d.mesh, Leases: d.keeper, Hosts: &mfhost.Changer{Table: d.platform.Table}, Clock: d.Clock, PeerTimeout: d.peerTimeout(), Ready: d.ready,
		Metrics: promhttp.HandlerFor(d.metrics.Registry, promhttp.HandlerOpts{}), Log: d.Logs.Part("operate"),
	}
	d.operators = &http.Server{Handler: d.operate.Mux(), ReadHeaderTimeout: headerTimeout}
}

func (d *Daemon) peerTimeout() time.Duration {
	return maxMissedHeartbeats * d.Settings.Timing.Heartbeat
}

// liveInDataCentre returns the live daemons of this data centre, this one included.
func (d *Daemon) liveInDataCentre() []mothferry.DaemonID {
	live := []mothferry.DaemonID{d.Settings.Daemon}
	for _, s := range d.mesh.Live(d.peerTimeout()) {
		if s.Peer.DataCentre == d.Settings.DataCentre {
			live = append(live, s.Peer.Daemon)
		}
	}
	return live
}

// ready reports whether callers should be sent here.
func (d *Daemon) ready() bool {
	return !d.stopping.Load() && d.Settings.Roles.Entry && d.store.Current().Revision > 0
}

// supervise arranges the parts in a tree: a part that fails is started again
// without the others noticing.
func (d *Daemon) supervise() *suture.Supervisor {
	state := d.supervisor("state")
	state.Add(component{"peers", d.mesh.Run})
	state.Add(component{"config", d.follower.Run})
	operators := d.supervisor("operators")
	operators.Add(component{"operate", serve(d.operators, d.Operators, d.Settings.Listen.Operators)})
	operators.Add(component{"usage", d.usage.Run})
	root := d.supervisor("mothferry")
	root.Add(state)
	root.Add(operators)
	if d.Settings.Roles.Entry {
		requests := d.supervisor("requests")
		requests.Add(component{"route", d.router.Run})
		requests.Add(component{"ledger", d.ledger.Run})
		requests.Add(component{"entry", serve(d.callers, d.Callers, d.Settings.Listen.Callers)})
		root.Add(requests)
	}
	if d.Settings.Roles.Control {
		control := d.supervisor("control")
		control.Add(component{"lease", d.keeper.Run})
		control.Add(component{"control", d.controller.Run})
		root.Add(control)
	}
	return root
}

// stop ends the requests' side of the daemon, nothing in flight cut off.
func (d *Daemon) stop() {
	d.log.WithField("in_flight", d.InFlight()).Info("Daemon is stopping.")
	d.stopping.Store(true)
	d.entry.BeginShutdown()
	d.follower.SetStopping()
	<-d.Clock.After(d.Settings.Timing.Unready)
	ctx, cancel := context.WithTimeout(context.Background(), d.longestDeadline()+stopGrace)
	defer cancel()
	if err := d.callers.Shutdown(ctx); err != nil {
		d.log.WithField("in_flight", d.InFlight()).WithError(err).Warn("Requests were cut off after the longest deadline.")
	}
	_ = d.operators.Close()
}

// longestDeadline returns the longest that a request in flight may take.
func (d *Daemon) longestDeadline() time.Duration {
	longest := time.Duration(0)
	for _, r := range d.store.Current().Documents {
		longest = max(longest, r.Document.Requests.Deadline)
	}
	return longest
}
