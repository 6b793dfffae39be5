package mfcommand

import (
	"context"
	"flag"
	"os/signal"
	"syscall"

	"github.com/apex/log"

	"mothferry/mflog"
	"mothferry/platform"
)

func fleetCommand() command {
	return command{
		name: "fleet", help: "Run a daemon of a fleet that runs jobs, set up by the platform's settings file.",
		details: "The settings file is named by --settings or by the platform's own variable.\nSIGTERM or SIGINT stops the daemon gracefully.",
		prepare: func(e *Environment, flags *flag.FlagSet) runFunc {
			file := flags.String("settings", "", "the platform's settings file")
			return func(ctx context.Context, _ []string) error {
				if *file == "" {
					*file = platform.SettingsFile()
				}
				if *file == "" {
					return &errUsage{"--settings must name the platform's settings file"}
				}
				return fleet(ctx, e, *file)
			}
		},
	}
}

func fleet(ctx context.Context, e *Environment, file string) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signal.Ignore(syscall.SIGHUP, syscall.SIGPIPE)
	out := mflog.NewBounded(e.Out)
	defer out.Close()
	logs := &mflog.Logs{Output: out, Format: mflog.FormatJSON, Level: log.InfoLevel}
	daemon, err := platform.NewDaemon(file, e.Clock, e.Random, logs)
	if err != nil {
		return err
	}
	return daemon.Run(ctx)
}
