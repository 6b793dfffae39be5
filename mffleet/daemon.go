// Package mffleet is the daemon of a fleet that runs jobs: the parts that take
// callers' requests in, follow the operator and own a shard, under a
// supervisor tree. What is spoken with the outside is passed in.
package mffleet

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/thejerf/suture/v4"

	"mothferry"
	"mothferry/mfforward"
	"mothferry/mfintake"
	"mothferry/mflog"
	"mothferry/mfowner"
	"mothferry/mfqueue"
	"mothferry/mfrelay"
	"mothferry/mfsched"
	"mothferry/mfusage"
)

// Outside is what the daemon speaks with, as an adapter provides it.
type Outside struct {
	Store   mothferry.RowStore
	Workers mothferry.TaskWorkers
	// OrderTimeout bounds one call to a worker, without the time it is asked to wait.
	OrderTimeout time.Duration
	Adviser      mothferry.Adviser
	Machines     mothferry.Machines
	Listing      mfowner.WorkerSource
	// Operator follows what the operator asks for until ctx ends.
	Operator func(ctx context.Context, news News) error
	// TellWave tells the operator how far a wave is.
	TellWave func(ctx context.Context, wave mothferry.WaveID, completed bool) error
	// Callers returns the handler of callers' requests.
	Callers func(d *Daemon) http.Handler
}

// News is told what the operator asks for.
type News struct {
	Adopt func(c *mfqueue.Config)
	Wave  func(w mfsched.Wave)
	// Heard is told up to when all that the operator asked for is known.
	Heard func(upTo time.Time)
}

// Daemon is one running daemon. The exported fields are set before Run.
type Daemon struct {
	Settings Settings
	Outside  Outside
	Clock    mothferry.Clock
	Random   mothferry.Random
	Logs     *mflog.Logs
	Registry *prometheus.Registry

	Intake *mfintake.Intake
	owner  *mfowner.Owner
	log    *log.Entry
	config atomic.Pointer[mfqueue.Config]
	heard  atomic.Pointer[time.Time]
	store  *reach
	relay  *mfrelay.Relay
	relays *mfrelay.Server
	// forward passes calls on, carrier carries them out for others; nil where that is off.
	forward *mfforward.Client
	carrier *mfforward.Server
	// Router serves callers' requests about jobs; it is set once Run has begun.
	Router  *mfforward.Router
	leaving atomic.Bool
	mutex   sync.Mutex
	waves   map[mothferry.WaveID]mfsched.Wave
	ended   *prometheus.HistogramVec
	calls   *prometheus.HistogramVec
	refused prometheus.Counter
	usage   *mfusage.Watch
}

// Config returns the config in force, nil before the first one.
func (d *Daemon) Config() *mfqueue.Config { return d.config.Load() }

// ConfigHeard returns up to when all changes of the config are known; zero before the
// first one.
func (d *Daemon) ConfigHeard() time.Time {
	if at := d.heard.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Ended counts the end of a caller's request.
func (d *Daemon) Ended(kind string, status int, took time.Duration) {
	d.ended.WithLabelValues(kind, http.StatusText(status)).Observe(took.Seconds())
}

// Called counts a call to the platform or to a worker.
func (d *Daemon) Called(operation string, took time.Duration, err error) {
	outcome := "done"
	if err != nil {
		outcome = "failed"
	}
	d.calls.WithLabelValues(operation, outcome).Observe(took.Seconds())
}

// EntryRefused counts a worker's entry that names no worker to use.
func (d *Daemon) EntryRefused() { d.refused.Inc() }

// Log returns the logger of a part.
func (d *Daemon) Log(part string) *log.Entry {
	return d.Logs.Part(part).WithField("daemon", d.Settings.Daemon)
}

// Run serves until ctx ends, then stops gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	d.build()
	d.log.WithFields(log.Fields{"data_centre": d.Settings.DataCentre, "callers": d.Settings.Callers}).Info("daemon starts")
	callers, err := d.server(d.Settings.Callers, d.Outside.Callers(d))
	if err != nil {
		return err
	}
	ready, err := d.server(d.Settings.Ready, http.HandlerFunc(d.serveReady))
	if err != nil {
		return err
	}
	metrics, err := d.server(d.Settings.Metrics, promhttp.HandlerFor(d.Registry, promhttp.HandlerOpts{}))
	if err != nil {
		// Nobody is served worse without metrics.
		d.log.WithError(err).WithField("address", d.Settings.Metrics).Error("metrics are not served")
		metrics = &http.Server{ReadHeaderTimeout: headerTimeout}
	}
	parts, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	done := d.supervise(parts, part{"operator", d.followOperator}, part{"owner", d.owner.Run}, part{"usage", d.usage.Run})
	relaying, endRelaying := context.WithCancel(context.WithoutCancel(ctx))
	defer endRelaying()
	relayed := d.supervise(relaying, append(d.relayParts(), d.forwardParts()...)...)
	<-ctx.Done()
	d.log.Info("daemon is told to stop")
	d.leaving.Store(true)
	d.relays.Leave()
	if d.carrier != nil {
		d.carrier.Leave()
	}
	cancel()
	d.shutDown(callers)
	<-done
	endRelaying()
	<-relayed
	_ = ready.Close()
	_ = metrics.Close()
	d.log.Info("daemon stops")
	return nil
}

func (d *Daemon) build() {
	d.log = d.Log("daemon")
	if d.Registry == nil {
		d.Registry = prometheus.NewRegistry()
	}
	d.ended = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "mothferry_job_request_seconds", Help: "Time from a caller's request about a job to its answer, by kind and status.",
		Buckets: prometheus.ExponentialBuckets(0.002, 2, 12),
	}, []string{"kind", "status"})
	d.calls = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "mothferry_platform_call_seconds", Help: "Time of a call to the platform or to a worker, by operation and outcome.",
		Buckets: prometheus.ExponentialBuckets(0.002, 2, 11),
	}, []string{"operation", "outcome"})
	decisions := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "mothferry_decisions_total", Help: "Decisions of the shard's owner, by the message that the log has of them.",
	}, []string{"decision"})
	commits := prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "mothferry_commit_seconds", Help: "Time until a commit of the shard's owner is known to be stored.",
		Buckets: prometheus.ExponentialBuckets(0.004, 2, 11),
	})
	owning := prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "mothferry_owning", Help: "1 while this daemon owns the shard."}, func() float64 {
		if d.owner.Owning() {
			return 1
		}
		return 0
	})
	d.refused = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "mothferry_worker_entries_refused_total", Help: "Workers' entries that were read and name no worker to use.",
	})
	d.usage = &mfusage.Watch{Clock: d.Clock, Used: mfusage.ProcessorTime, Log: d.Log("usage")}
	cores := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "mothferry_cores_used", Help: "Cores that this daemon used lately, over half a second.",
	}, d.usage.Share)
	pools := newPoolGauges()
	shares := newShareMetrics(func() *mfowner.Shares { return d.owner.Shares() })
	d.Registry.MustRegister(d.refused, d.ended, d.calls, decisions, commits, owning, cores, pools.machines, pools.binding, shares)
	uneven := newStragglers(d.Registry)
	d.store = &reach{RowStore: d.Outside.Store, clock: d.Clock, health: &mfforward.Health{}}
	d.buildRelay()
	d.owner = &mfowner.Owner{
		Daemon: d.Settings.Daemon, Store: d.store, Workers: d.relay, WhileOwning: d.followRelays, Adviser: d.Outside.Adviser,
		Listing: d.Outside.Listing, Config: d.Config, Limits: d.Settings.Limits, Off: d.Settings.Off, Cores: d.Settings.Cores, Link: d.Settings.Link, Clock: d.Clock, Random: d.Random,
		Machines: d.Outside.Machines, Waves: d.waveList, ReportWave: d.Outside.TellWave,
		OnDecision: func(message string) {
			decisions.WithLabelValues(message).Inc()
			uneven.decided(message)
		},
		OnSlowWorkers:        uneven.tell,
		OnCommit:             func(took time.Duration) { commits.Observe(took.Seconds()) },
		OnJobEnd:             shares.jobEnded,
		OnPoolSizes:          pools.set,
		MachineHandoverDelay: d.Settings.MachineHandOver, Log: d.Log("owner"),
	}
	d.Intake = &mfintake.Intake{
		Store: d.store, Clock: d.Clock, Random: d.Random, Log: d.Log("intake"), LastHead: d.owner.LastHead,
		Off: d.Settings.Off, OnResult: shares.counted,
	}
	d.buildForward()
}

// server starts an HTTP server at an address.
func (d *Daemon) server(address string, handler http.Handler) (*http.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	go func() { _ = server.Serve(listener) }()
	return server, nil
}

// Times of the callers' connections.
const (
	headerTimeout = 3 * time.Second
	idleTimeout   = 60 * time.Second
)

// supervise runs parts until ctx ends; the channel is closed when all have ended.
func (d *Daemon) supervise(ctx context.Context, parts ...part) <-chan struct{} {
	top := suture.New("fleet", suture.Spec{EventHook: func(e suture.Event) { d.log.Warn(e.String()) }})
	for _, p := range parts {
		top.Add(p)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = top.Serve(ctx)
	}()
	return done
}

func (d *Daemon) followOperator(ctx context.Context) error {
	return d.Outside.Operator(ctx, News{
		Adopt: func(c *mfqueue.Config) { d.config.Store(c) },
		Wave:  d.addWave,
		Heard: func(upTo time.Time) { d.heard.Store(&upTo) },
	})
}

func (d *Daemon) addWave(w mfsched.Wave) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.waves == nil {
		d.waves = map[mothferry.WaveID]mfsched.Wave{}
	}
	d.waves[w.Wave] = w
	d.log.WithFields(log.Fields{"wave": w.Wave, "machines": len(w.Machines), "at_once": w.MaxDown, "within": w.Within.String()}).Info("wave is asked for")
}

// waveList returns the waves that the operator has asked for.
func (d *Daemon) waveList() []mfsched.Wave {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return slices.Collect(maps.Values(d.waves))
}

func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if d.Config() == nil || d.leaving.Load() || !d.store.there() && !d.forwards() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// shutDown lets requests in flight end. New connections are still taken for a
// while, since the balancer learns only at its next look that this host leaves.
func (d *Daemon) shutDown(callers *http.Server) {
	linger := min(lingerFor, d.Settings.Grace/2)
	<-d.Clock.After(linger)
	ctx, cancel := context.WithTimeout(context.Background(), d.Settings.Grace/4)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		d.log.WithError(err).Warn("requests in flight were cut off")
	}
}

// lingerFor is how long a host that is told to stop goes on serving: the
// balancer asks once a second and needs two misses.
const lingerFor = 2500 * time.Millisecond

type part struct {
	name string
	run  func(ctx context.Context) error
}

// Serve implements suture.Service.
func (p part) Serve(ctx context.Context) error { return p.run(ctx) }

// String names the part in the supervisor's events.
func (p part) String() string { return p.name }
