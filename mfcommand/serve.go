package mfcommand

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/apex/log"
	"github.com/gravitational/trace"

	"mothferry/mfdaemon"
	"mothferry/mfdemo"
	"mothferry/mflog"
	"mothferry/mfsetting"
)

func serveCommand() command {
	return command{
		name: "serve", help: "Run a daemon until it is told to stop.",
		details: "SIGTERM or SIGINT stops it gracefully: no request in flight is cut off. A second one ends it at once.",
		prepare: func(e *Environment, flags *flag.FlagSet) runFunc {
			file := flags.String("settings", "", "settings file, YAML")
			return func(ctx context.Context, _ []string) error {
				if *file == "" {
					return &errUsage{"--settings must name the settings file"}
				}
				settings, err := mfsetting.Load(*file)
				if err != nil {
					return err
				}
				return serve(ctx, e, settings)
			}
		},
	}
}

func serve(ctx context.Context, e *Environment, settings mfsetting.Settings) error {
	daemon := &mfdaemon.Daemon{Settings: settings, Clock: e.Clock, Random: e.Random, Logs: logsOf(e, settings.Log)}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	ended := make(chan error, 1)
	go func() { ended <- daemon.Run(ctx) }()
	stopping := false
	for {
		select {
		case err := <-ended:
			return err
		case <-signals:
			if stopping {
				return trace.Errorf("stopped at once, %d requests in flight were cut off", daemon.InFlight())
			}
			stopping = true
			cancel()
		}
	}
}

// logsOf creates the logs from validated settings.
func logsOf(e *Environment, s mfsetting.Log) *mflog.Logs {
	logs := &mflog.Logs{Output: e.Err, Format: s.Format, Level: log.MustParseLevel(s.Level), Parts: map[string]log.Level{}}
	for part, level := range s.Parts {
		logs.Parts[part] = log.MustParseLevel(level)
	}
	return logs
}

func demoCommand() command {
	return command{
		name: "demo", help: "Run a whole deployment on loopback in one process and show that it holds.",
		prepare: func(e *Environment, flags *flag.FlagSet) runFunc {
			keep := flags.Bool("serve", false, "leave it running and print the addresses")
			return func(ctx context.Context, _ []string) error {
				ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
				defer stop()
				demo := &mfdemo.Demo{Clock: e.Clock, Random: e.Random, Out: e.Out, Serve: *keep}
				return demo.Run(ctx)
			}
		},
	}
}

func versionCommand() command {
	return command{
		name: "version", help: "Print the program's version.",
		prepare: func(e *Environment, _ *flag.FlagSet) runFunc {
			return func(context.Context, []string) error {
				toolchain := "unknown"
				if info, ok := debug.ReadBuildInfo(); ok {
					toolchain = info.GoVersion
				}
				_, err := fmt.Fprintf(e.Out, "mothferry %s, built with %s\n", e.Version, toolchain)
				return trace.Wrap(err)
			}
		},
	}
}
