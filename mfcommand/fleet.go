package mfcommand

import (
	"context"
	"flag"
	"os/signal"
	"strings"
	"syscall"

	"github.com/apex/log"

	"mothferry"
	"mothferry/mffleet"
	"mothferry/mfguard"
	"mothferry/mflog"
	"mothferry/platform"
)

func fleetCommand() command {
	return command{
		name: "fleet", help: "Run a daemon of a fleet that runs jobs, set up by the platform's settings file.",
		details: "The settings file is named by --settings or by the platform's own variable.\nSIGTERM or SIGINT stops the daemon gracefully.",
		prepare: func(e *Environment, flags *flag.FlagSet) runFunc {
			file := flags.String("settings", "", "the platform's settings file")
			without := withoutFlag(flags)
			callersMemory := flags.Int64("callers-memory", 0, "MiB that all callers' requests may hold together; 0 for a quarter of the host's memory")
			callersConnections := flags.Int("callers-connections", 0, "connections of callers at the same time; 0 for a third of the host's descriptors for sockets")
			callersSentAhead := flags.Int("callers-sent-ahead", mfguard.DefaultSentAhead, "requests served at a time that were sent before the answer to the one before")
			checksConnections := flags.Int("checks-connections", 0, "connections of the balancer's checks, and those of readers of metrics; 0 for 32 each")
			return func(ctx context.Context, _ []string) error {
				if *file == "" {
					*file = platform.SettingsFile()
				}
				if *file == "" {
					return &errUsage{"--settings must name the platform's settings file"}
				}
				off, err := mothferry.ParseFeaturesOff(*without)
				if err != nil {
					return &errUsage{"--without: " + err.Error()}
				}
				return fleet(ctx, e, *file, func(s *mffleet.Settings) {
					s.Off = off
					s.CallersMemory = mothferry.Bytes(*callersMemory) * mothferry.Mebibyte
					s.CallersConnections = *callersConnections
					s.CallersSentAhead = *callersSentAhead
					s.ChecksConnections = *checksConnections
				})
			}
		},
	}
}

// withoutFlag declares the flag for features that are switched off.
func withoutFlag(flags *flag.FlagSet) *string {
	var names []string
	for _, f := range mothferry.AllFeatures() {
		names = append(names, string(f))
	}
	return flags.String("without", "", "features to switch off, separated by commas: "+strings.Join(names, ", "))
}

// fleet runs a daemon with the settings of a file, which change adapts.
func fleet(ctx context.Context, e *Environment, file string, change func(s *mffleet.Settings)) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signal.Ignore(syscall.SIGHUP, syscall.SIGPIPE)
	out := mflog.NewBoundedWriter(e.Out)
	defer out.Close()
	logs := &mflog.Logs{Output: out, Format: mflog.FormatJSON, Level: log.InfoLevel}
	daemon, err := platform.NewDaemon(file, e.Clock, e.Random, logs)
	if err != nil {
		return err
	}
	change(&daemon.Settings)
	if err := daemon.Settings.Check(); err != nil {
		return err
	}
	return daemon.Run(ctx)
}
