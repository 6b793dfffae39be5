package mfdaemon

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/thejerf/suture/v4"
)

// component is one component of a daemon, run by a supervisor.
type component struct {
	name string
	run  func(ctx context.Context) error
}

// Serve implements suture.Service.
func (p component) Serve(ctx context.Context) error { return p.run(ctx) }

// String returns the component's name for the supervisor's events.
func (p component) String() string { return p.name }

// supervisor returns a supervisor that logs its events.
func (d *Daemon) supervisor(name string) *suture.Supervisor {
	return suture.New(name, suture.Spec{EventHook: func(e suture.Event) {
		d.log.WithField("supervisor", name).Warn(e.String())
	}})
}

// serve returns the run function of an HTTP server. After a failure it listens at address
// again; a server that was shut down is not restarted.
func serve(server *http.Server, listener net.Listener, address string) func(context.Context) error {
	first := true
	return func(ctx context.Context) error {
		if !first {
			reopened, err := net.Listen("tcp", address)
			if err != nil {
				return err
			}
			listener = reopened
		}
		first = false
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			return suture.ErrDoNotRestart
		}
		return err
	}
}
