package mfcommand

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"

	"mothferry"
	"mothferry/mfowner"
	"mothferry/platform"
)

// shardTimeout bounds the reading of the shard's rows.
const shardTimeout = 5 * time.Second

func shardCommand() command {
	return command{
		name: "shard", help: "Show who owns the jobs and what waits, as the store has it.",
		details: "Reads the owner's row and the waves from the platform's store, named by a daemon's settings file.\n" +
			"Run it twice: the version of a living owner's row rises at least twice a second.",
		prepare: func(e *Environment, flags *flag.FlagSet) runFunc {
			file := flags.String("settings", "", "the platform's settings file")
			output := outputFlag(flags)
			return func(ctx context.Context, _ []string) error {
				if err := checkOutput(*output); err != nil {
					return err
				}
				path := *file
				if path == "" {
					path = e.Getenv(platform.SettingsVariable)
				}
				if path == "" {
					return &errUsage{"--settings must name the platform's settings file"}
				}
				store, err := platform.OpenStore(path, e.Clock)
				if err != nil {
					return err
				}
				ctx, cancel := context.WithTimeout(ctx, shardTimeout)
				defer cancel()
				status, err := mfowner.ReadStatus(ctx, store)
				if err != nil {
					return err
				}
				return printShard(e, *output, status)
			}
		},
	}
}

// shardResult is the JSON output of the shard command.
type shardResult struct {
	Owner        mothferry.DaemonID            `json:"owner"`
	Epoch        mothferry.Epoch               `json:"epoch"`
	Version      mothferry.Version             `json:"version"`
	Cores        mothferry.Millicores          `json:"millicores"`
	PendingKnown bool                          `json:"counted"`
	Pending      map[mothferry.QueueID]int     `json:"pending"`
	WaitMs       map[mothferry.ServiceID]int64 `json:"wait_ms"`
	AdviceWaitMs int64                         `json:"advice_wait_ms"`
	// RequestedMs is how long before the row was written each machine was requested.
	RequestedMs map[mothferry.MachineID]int64 `json:"machines_asked_ms"`
	Waves       []shardWave                   `json:"waves"`
}

type shardWave struct {
	Wave      mothferry.WaveID      `json:"wave"`
	StartedAt time.Time             `json:"begun"`
	Done      []mothferry.MachineID `json:"machines_done"`
}

func printShard(e *Environment, output string, s mfowner.Status) error {
	f := shardResult{
		Owner: s.Head.Holder, Epoch: s.Head.Epoch, Version: s.Version, Cores: s.Head.Cores, PendingKnown: s.Head.PendingKnown, Pending: s.Head.Pending,
		AdviceWaitMs: s.Head.AdviceWait.Milliseconds(), WaitMs: map[mothferry.ServiceID]int64{}, RequestedMs: map[mothferry.MachineID]int64{}, Waves: []shardWave{},
	}
	for service, wait := range s.Head.EstimatedWaits {
		f.WaitMs[service] = wait.Milliseconds()
	}
	for machine, ago := range s.Head.CallAges {
		f.RequestedMs[machine] = ago.Milliseconds()
	}
	for _, w := range s.Waves {
		f.Waves = append(f.Waves, shardWave{Wave: w.Wave, StartedAt: w.StartedAt, Done: w.Done})
	}
	if output == outputJSON {
		return trace.Wrap(json.NewEncoder(e.Out).Encode(f))
	}
	return printShardText(e, f)
}

func printShardText(e *Environment, f shardResult) error {
	owner := string(f.Owner)
	switch {
	case f.Version == 0:
		owner = "none yet"
	case owner == "":
		owner = "none, the last one gave it up"
	}
	w := tabwriter.NewWriter(e.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "owner\t%s\nepoch\t%d\nversion\t%d\nmillicores\t%d\n", owner, f.Epoch, f.Version, f.Cores)
	pending := "not counted yet"
	if f.PendingKnown {
		pending = formatMap(f.Pending)
	}
	fmt.Fprintf(w, "jobs not begun\t%s\nwait, ms\t%s\nwait for advice, ms\t%d\nmachines asked for, ms before\t%s\n", pending, formatMap(f.WaitMs), f.AdviceWaitMs, formatMap(f.RequestedMs))
	for _, wave := range f.Waves {
		fmt.Fprintf(w, "wave %d\tbegun %s, %d machines done\n", wave.Wave, wave.StartedAt.UTC().Format(time.RFC3339), len(wave.Done))
	}
	return trace.Wrap(w.Flush())
}

// formatMap formats a map in the order of its keys.
func formatMap[K ~string, V int | int64](m map[K]V) string {
	if len(m) == 0 {
		return "none"
	}
	var out []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		out = append(out, fmt.Sprintf("%s %d", k, m[k]))
	}
	return strings.Join(out, ", ")
}
