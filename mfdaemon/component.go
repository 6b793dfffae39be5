package mfdaemon

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/thejerf/suture/v4"
)

// component is one part of a daemon as its supervisor runs it.
type component struct {
	name string
	run  func(ctx context.Context) error
}

// Serve implements suture.Service.
func (p component) Serve(ctx context.Context) error { return p.run(ctx) }

// String names the part in the supervisor's events.
func (p component) String() string { return p.name }

// supervisor returns a supervisor that logs what happens to its parts.
func (d *Daemon) supervisor(name string) *suture.Supervisor {
	return suture.New(name, suture.Spec{EventHook: func(e suture.Event) {
		d.log.WithField("supervisor", name).Warn(e.String())
	}})
}

// serve returns the run function of an HTTP server. A server that is shut
// down is done; its part is not started again.
func serve(server *http.Server, listener net.Listener, address string) func(context.Context) error {
	first := true
	return func(ctx context.Context) error {
		if !first {
			again, err := net.Listen("tcp", address)
			if err != nil {
				return err
			}
			listener = again
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
