package mfdemo

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/gravitational/trace"

	"mothferry"
	"mothferry/mffleet"
	"mothferry/mfintake"
	"mothferry/mfjob"
	"mothferry/mflog"
	"mothferry/mfqueue"
	"mothferry/mfsched"
	"mothferry/mfstandin"
)

const (
	demoJobs     = 20
	demoTaskTime = 30 * time.Millisecond
	jobsTimeout  = 10 * time.Second
	jobQueue     = mothferry.QueueID("proofs")
	jobService   = mothferry.ServiceID("lacquer")
)

// jobHost is one daemon that accepts jobs.
type jobHost struct {
	intake *mfintake.Intake
	stop   context.CancelFunc
	done   chan error
}

// runJobs submits jobs at two daemons that share an in-memory store and worker, stops the
// owner of the jobs halfway, and waits until all jobs are completed.
func (d *Demo) runJobs(ctx context.Context) ([]checkResult, error) {
	rows := &mfstandin.Rows{}
	worker := &mfstandin.TaskWorker{Service: jobService, TaskTime: demoTaskTime, Cores: 64_000, Clock: d.Clock}
	var hosts []jobHost
	for i := range 2 {
		h, err := d.startJobHost(ctx, mothferry.DaemonID(fmt.Sprintf("jobs-%d", i+1)), rows, worker)
		if err != nil {
			return nil, err
		}
		defer h.stop()
		hosts = append(hosts, h)
	}
	start := d.Clock.Now()
	for i := range demoJobs {
		// The first host owns the jobs, since it started first; once it is stopped, the second
		// takes over.
		host := hosts[1]
		if i < demoJobs/2 && i%2 == 0 {
			host = hosts[0]
		}
		if err := d.submit(ctx, host.intake, jobName(i)); err != nil {
			return nil, err
		}
		if i == demoJobs/2 {
			hosts[0].stop()
		}
	}
	for i := range demoJobs {
		if err := d.waitCompleted(ctx, hosts[1].intake, jobName(i)); err != nil {
			return nil, err
		}
	}
	took := d.Clock.Now().Sub(start)
	if err := <-hosts[0].done; err != nil {
		return nil, err
	}
	twice := worker.StartedTwice()
	return []checkResult{
		{"jobs completed over a planned stop", fmt.Sprintf("%d jobs, %d tasks, %d ms", demoJobs, worker.EndedTasks(), took.Milliseconds()), true},
		{"no task of a job ran twice", fmt.Sprintf("%d did", len(twice)), len(twice) == 0},
	}, nil
}

func jobName(i int) mothferry.JobID { return mothferry.JobID(fmt.Sprintf("%016x", i+1)) }

// startJobHost starts a daemon and waits until it accepts jobs.
func (d *Demo) startJobHost(ctx context.Context, name mothferry.DaemonID, rows *mfstandin.Rows, worker *mfstandin.TaskWorker) (jobHost, error) {
	config := &mfqueue.Config{Version: 1, Queues: []mfqueue.Queue{{
		ID: jobQueue, Service: jobService, MaxAttempts: 2, Stretch: 2, Latency: time.Second,
	}}}
	settings := mffleet.Settings{Daemon: name, Grace: time.Second, Cores: 400, MachineHandoverDelay: time.Second, Limits: mfsched.DefaultLimits()}
	for _, address := range []*string{&settings.Callers, &settings.Ready, &settings.Metrics} {
		free, err := freeAddress()
		if err != nil {
			return jobHost{}, err
		}
		*address = free
	}
	serving := make(chan *mfintake.Intake, 1)
	daemon := &mffleet.Daemon{
		Settings: settings, Clock: d.Clock, Random: d.Random,
		Logs: &mflog.Logs{Output: io.Discard, Format: mflog.FormatJSON, Level: log.FatalLevel},
		Adapter: mffleet.Adapter{
			Store: rows, Workers: worker, Listing: worker, Machines: worker,
			FollowOperator: func(ctx context.Context, news mffleet.OperatorCallbacks) error {
				news.OnConfig(config)
				<-ctx.Done()
				return ctx.Err()
			},
			ReportWave: func(context.Context, mothferry.WaveID, bool) error { return nil },
			CallersHandler: func(daemon *mffleet.Daemon) http.Handler {
				serving <- daemon.Intake
				return http.NotFoundHandler()
			},
		},
	}
	inner, stop := context.WithCancel(ctx)
	h := jobHost{stop: stop, done: make(chan error, 1)}
	go func() { h.done <- daemon.Run(inner) }()
	select {
	case h.intake = <-serving:
	case err := <-h.done:
		stop()
		return h, trace.Wrap(err)
	}
	err := d.waitUntil(ctx, "a daemon owns the jobs", func() bool {
		_, known := h.intake.Pending(jobQueue)
		return known
	})
	if err != nil {
		stop()
	}
	return h, err
}

func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", trace.Wrap(err)
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// waitUntil polls f until it returns true.
func (d *Demo) waitUntil(ctx context.Context, condition string, f func() bool) error {
	for end := d.Clock.Now().Add(jobsTimeout); !f(); {
		if d.Clock.Now().After(end) {
			return trace.Errorf("%s: not within %v", condition, jobsTimeout)
		}
		select {
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		case <-d.Clock.After(20 * time.Millisecond):
		}
	}
	return nil
}

// submit submits a job of two steps and retries until it is accepted.
func (d *Demo) submit(ctx context.Context, intake *mfintake.Intake, id mothferry.JobID) error {
	step := mfjob.Step{Count: 4, Need: mothferry.Resources{Cores: 500, Memory: 64 * mothferry.Mebibyte}, Estimate: demoTaskTime}
	last := step
	last.Count, last.After = 2, []int{0}
	return d.waitUntil(ctx, "job is accepted", func() bool {
		return intake.Accept(ctx, id, mfjob.Submission{Queue: jobQueue, Service: jobService, Steps: []mfjob.Step{step, last}}) == mfintake.OutcomeDone
	})
}

func (d *Demo) waitCompleted(ctx context.Context, intake *mfintake.Intake, id mothferry.JobID) error {
	return d.waitUntil(ctx, "job is completed", func() bool {
		state, outcome := intake.State(ctx, id, "")
		return outcome == mfintake.OutcomeDone && state == mfjob.StateCompleted
	})
}
