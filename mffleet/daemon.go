// Package mffleet is the daemon of a fleet that runs jobs: the components that
// accept callers' requests, follow the operator and own a shard, run under a
// supervisor tree. The access to the store, the workers and the operator is
// passed in as an Adapter.
package mffleet

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/thejerf/suture/v4"

	"mothferry"
	"mothferry/mfforward"
	"mothferry/mfguard"
	"mothferry/mfintake"
	"mothferry/mflog"
	"mothferry/mfowner"
	"mothferry/mfqueue"
	"mothferry/mfrelay"
	"mothferry/mfsched"
	"mothferry/mfusage"
)

// Adapter connects the daemon to its platform: store, workers, operator and callers.
type Adapter struct {
	Store   mothferry.RowStore
	Workers mothferry.TaskWorkers
	// OrderTimeout bounds one call to a worker, not counting the time that the worker is
	// asked to wait.
	OrderTimeout time.Duration
	Adviser      mothferry.Adviser
	Machines     mothferry.Machines
	Listing      mfowner.WorkerSource
	// FollowOperator follows the operator's changes until ctx ends.
	FollowOperator func(ctx context.Context, callbacks OperatorCallbacks) error
	// ReportWave reports the progress of a wave to the operator.
	ReportWave func(ctx context.Context, wave mothferry.WaveID, completed bool) error
	// CallersHandler returns the handler of callers' requests.
	CallersHandler func(d *Daemon) http.Handler
}

// OperatorCallbacks holds the functions that are called with the operator's requests.
type OperatorCallbacks struct {
	OnConfig func(c *mfqueue.Config)
	OnWave   func(w mfsched.Wave)
	// OnSynced is called with the time up to which all of the operator's changes are known.
	OnSynced func(upTo time.Time)
}

// Daemon is one running daemon. The exported fields are set before Run.
type Daemon struct {
	Settings Settings
	Adapter  Adapter
	Clock    mothferry.Clock
	Random   mothferry.Random
	Logs     *mflog.Logs
	Registry *prometheus.Registry

	Intake         *mfintake.Intake
	owner          *mfowner.Owner
	log            *log.Entry
	config         atomic.Pointer[mfqueue.Config]
	configSyncedAt atomic.Pointer[time.Time]
	store          *monitoredStore
	relay          *mfrelay.Relay
	relayServer    *mfrelay.Server
	// forwardClient forwards callers' requests to peers, forwardServer serves those of peers;
	// both are nil if forwarding is disabled.
	forwardClient *mfforward.Client
	forwardServer *mfforward.Server
	// Router serves callers' requests about jobs; it is set once Run has started.
	Router         *mfforward.Router
	stopping       atomic.Bool
	mutex          sync.Mutex
	waves          map[mothferry.WaveID]mfsched.Wave
	requestSeconds *prometheus.HistogramVec
	callSeconds    *prometheus.HistogramVec
	refusedEntries prometheus.Counter
	usage          *mfusage.Monitor
	serverMetrics  *mfguard.Metrics
}

// Config returns the config in force, nil before the first one.
func (d *Daemon) Config() *mfqueue.Config { return d.config.Load() }

// ConfigSyncedAt returns the time up to which all changes of the config are known; zero
// before the first config.
func (d *Daemon) ConfigSyncedAt() time.Time {
	if at := d.configSyncedAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// ObserveRequest records the answer to a caller's request.
func (d *Daemon) ObserveRequest(kind string, status int, took time.Duration) {
	d.requestSeconds.WithLabelValues(kind, http.StatusText(status)).Observe(took.Seconds())
}

// ObserveCall records a call to the platform or to a worker.
func (d *Daemon) ObserveCall(operation string, took time.Duration, err error) {
	outcome := "done"
	if err != nil {
		outcome = "failed"
	}
	d.callSeconds.WithLabelValues(operation, outcome).Observe(took.Seconds())
}

// CountRefusedEntry counts an entry of a worker that can't be used.
func (d *Daemon) CountRefusedEntry() { d.refusedEntries.Inc() }

// Log returns the logger of a component.
func (d *Daemon) Log(part string) *log.Entry {
	return d.Logs.Part(part).WithField("daemon", d.Settings.Daemon)
}

// Run serves until ctx ends, then stops gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	d.build()
	mfusage.BoundHeap(d.Settings.Memory)
	d.log.WithFields(log.Fields{"data_centre": d.Settings.DataCentre, "callers": d.Settings.Callers}).Info("daemon started")
	callers, err := d.serveCallers()
	if err != nil {
		return err
	}
	ready, err := d.serveChecks("ready", d.Settings.Ready, http.HandlerFunc(d.serveReady))
	if err != nil {
		return err
	}
	metrics, err := d.serveChecks("metrics", d.Settings.Metrics, promhttp.HandlerFor(d.Registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxMetricsReaders}))
	if err != nil {
		// Callers can be served without metrics.
		d.log.WithError(err).WithField("address", d.Settings.Metrics).Error("metrics are not available: listen failed")
	}
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	done := d.supervise(running, component{"operator", d.followOperator}, component{"owner", d.owner.Run}, component{"usage", d.usage.Run})
	serving, endServing := context.WithCancel(context.WithoutCancel(ctx))
	defer endServing()
	served := d.supervise(serving, append(d.relayComponents(), d.forwardComponents()...)...)
	<-ctx.Done()
	d.log.Info("daemon is stopping")
	d.stopping.Store(true)
	d.relayServer.Leave()
	if d.forwardServer != nil {
		d.forwardServer.Leave()
	}
	cancel()
	d.shutDown(callers)
	<-done
	endServing()
	<-served
	ready.Close()
	metrics.Close()
	d.log.Info("daemon stopped")
	return nil
}

func (d *Daemon) build() {
	d.log = d.Log("daemon")
	if d.Registry == nil {
		d.Registry = prometheus.NewRegistry()
	}
	d.serverMetrics = mfguard.NewMetrics(d.Registry)
	d.requestSeconds = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "mothferry_job_request_seconds", Help: "Time from a caller's request about a job to its answer, by kind and status.",
		Buckets: prometheus.ExponentialBuckets(0.002, 2, 12),
	}, []string{"kind", "status"})
	d.callSeconds = prometheus.NewHistogramVec(prometheus.HistogramOpts{
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
	d.refusedEntries = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "mothferry_worker_entries_refused_total", Help: "Workers' entries that were read and name no worker to use.",
	})
	d.usage = &mfusage.Monitor{Clock: d.Clock, Used: mfusage.ProcessorTime, Log: d.Log("usage")}
	cores := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "mothferry_cores_used", Help: "Cores that this daemon used lately, over half a second.",
	}, d.usage.CoreFraction)
	pools := newPoolGauges()
	shares := newShareMetrics(func() *mfowner.Shares { return d.owner.Shares() })
	d.Registry.MustRegister(d.refusedEntries, d.requestSeconds, d.callSeconds, decisions, commits, owning, cores, pools.machines, pools.binding, shares)
	stragglers := newStragglerMetrics(d.Registry)
	loop := newLoopMetrics(d.Registry)
	gauges := newOwnerGauges(d.Registry)
	d.store = &monitoredStore{RowStore: d.Adapter.Store, clock: d.Clock, health: &mfforward.Health{}}
	d.buildRelay()
	d.owner = &mfowner.Owner{
		Daemon: d.Settings.Daemon, Store: d.store, Workers: d.relay, WhileOwning: d.followRelays, Adviser: d.Adapter.Adviser,
		Listing: d.Adapter.Listing, Config: d.Config, Limits: d.Settings.Limits, Off: d.Settings.Off, Cores: d.Settings.Cores, Link: d.Settings.Link, Clock: d.Clock, Random: d.Random,
		Machines: d.Adapter.Machines, Waves: d.waveList, ReportWave: d.Adapter.ReportWave,
		OnDecision: func(message string) {
			decisions.WithLabelValues(message).Inc()
			stragglers.countDecision(message)
		},
		OnSlowWorkers:        stragglers.setSlowWorkers,
		OnCommit:             func(took time.Duration) { commits.Observe(took.Seconds()) },
		OnJobEnd:             shares.countJobEnd,
		OnPoolSizes:          pools.set,
		OnGauge:              gauges.set,
		OnLoopTime:           loop.addTimes,
		OnTaskStage:          loop.addTaskStage,
		MachineHandoverDelay: d.Settings.MachineHandoverDelay, Log: d.Log("owner"),
	}
	d.Intake = &mfintake.Intake{
		Store: d.store, MaxRow: d.Settings.Limits.MaxRow, Clock: d.Clock, Random: d.Random, Log: d.Log("intake"), LastHead: d.owner.LastHead,
		Off: d.Settings.Off, OnResult: shares.countSubmission,
	}
	d.buildForward()
}

// maxMetricsReaders is how many requests for metrics are answered at the same time.
const maxMetricsReaders = 4

// supervise runs components until ctx ends; the channel is closed when all have ended.
func (d *Daemon) supervise(ctx context.Context, components ...component) <-chan struct{} {
	top := suture.New("fleet", suture.Spec{EventHook: func(e suture.Event) { d.log.Warn(e.String()) }})
	for _, c := range components {
		top.Add(c)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = top.Serve(ctx)
	}()
	return done
}

func (d *Daemon) followOperator(ctx context.Context) error {
	return d.Adapter.FollowOperator(ctx, OperatorCallbacks{
		OnConfig: func(c *mfqueue.Config) { d.config.Store(c) },
		OnWave:   d.addWave,
		OnSynced: func(upTo time.Time) { d.configSyncedAt.Store(&upTo) },
	})
}

func (d *Daemon) addWave(w mfsched.Wave) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.waves == nil {
		d.waves = map[mothferry.WaveID]mfsched.Wave{}
	}
	d.waves[w.Wave] = w
	d.log.WithFields(log.Fields{"wave": w.Wave, "machines": len(w.Machines), "at_once": w.MaxDown, "within": w.Within.String()}).Info("wave requested")
}

// waveList returns the waves that the operator has requested.
func (d *Daemon) waveList() []mfsched.Wave {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return slices.Collect(maps.Values(d.waves))
}

func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if d.Config() == nil || d.stopping.Load() || !d.store.answeredRecently() && !d.canForward() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// shutDown waits for requests in flight to end. New connections are still accepted
// for a while, since the balancer notices only at its next health check that this host
// is stopping.
func (d *Daemon) shutDown(callers *mfguard.Server) {
	delay := min(maxStopDelay, d.Settings.Grace/2)
	<-d.Clock.After(delay)
	ctx, cancel := context.WithTimeout(context.Background(), d.Settings.Grace/4)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		d.log.WithError(err).Warn("requests in flight were cut off")
	}
}

// maxStopDelay is the longest time for which a stopping host still accepts connections:
// the balancer checks once a second and removes a host after two failed checks.
const maxStopDelay = 2500 * time.Millisecond

// component is a supervised part of the daemon.
type component struct {
	name string
	run  func(ctx context.Context) error
}

// Serve implements suture.Service.
func (c component) Serve(ctx context.Context) error { return c.run(ctx) }

// String returns the name of the component for the supervisor's events.
func (c component) String() string { return c.name }
