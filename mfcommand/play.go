package mfcommand

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"slices"

	"github.com/gravitational/trace"

	"mothferry"
	"mothferry/mfemulate"
	"mothferry/mfsched"
)

func playCommand() command {
	return command{
		name: "play", arguments: "FILE", help: "Play a load file against the emulator and print what came of it.",
		details: "The real decisions run against a model of store, workers and machines in simulated time,\nso that a change of policy is measured in seconds. mfexample/loads holds an example.",
		prepare: func(e *Environment, flags *flag.FlagSet) runFunc {
			seed := flags.Uint64("seed", 1, "seed of the first play")
			plays := flags.Int("plays", 1, "how many plays, each with the next seed")
			fixed := flags.Bool("fixed-pools", false, "let no machine move between pools")
			without := withoutFlag(flags)
			output := outputFlag(flags)
			return func(_ context.Context, files []string) error {
				if len(files) != 1 || *plays < 1 {
					return &errUsage{"give one load file, and one play or more"}
				}
				if err := checkOutput(*output); err != nil {
					return err
				}
				off, err := mothferry.ParseFeaturesOff(*without)
				if err != nil {
					return &errUsage{"--without: " + err.Error()}
				}
				load, err := mfemulate.ReadLoad(files[0])
				if err != nil {
					return err
				}
				for k := range *plays {
					s := *seed + uint64(k)
					f, asked := mfemulate.PlayAccounts(load, mfemulate.Options{Limits: mfsched.DefaultLimits(), Seed: s, Moves: !*fixed, Off: off})
					if err := printPlay(e, *output, s, f, asked); err != nil {
						return err
					}
				}
				return nil
			}
		},
	}
}

// playResult is one play in the command's JSON.
type playResult struct {
	Seed               uint64                        `json:"seed"`
	Jobs               int                           `json:"jobs"`
	OnTime             int                           `json:"in_time"`
	Late               int                           `json:"late"`
	TooLate            int                           `json:"too_late"`
	Failed             int                           `json:"failed"`
	WeightedOnTime     float64                       `json:"worth_in_time"`
	LargestTenthOnTime float64                       `json:"widest_tenth_in_time"`
	QueuesOnTime       map[mothferry.QueueID]float64 `json:"queues_in_time"`
	MachineSeconds     float64                       `json:"machine_seconds"`
	Moves              int                           `json:"moves"`
	Starts             int                           `json:"starts"`
	Stops              int                           `json:"stops"`
	Polls              int                           `json:"looks"`
	Commits            int                           `json:"commits"`
	Crashes            int                           `json:"crashes"`
	UnrelatedFailures  int                           `json:"blameless"`
	Violations         int                           `json:"broken"`
	// Accounts holds the client accounts whose callers asked hosts.
	Accounts map[mothferry.AccountID]playAccount `json:"accounts,omitempty"`
}

// playAccount is what came of an account's jobs.
type playAccount struct {
	Jobs                int `json:"jobs"`
	Accepted            int `json:"accepted"`
	OnTime              int `json:"in_time"`
	TooLateOrFailed     int `json:"useless"`
	Refused             int `json:"refused"`
	Refusals            int `json:"refusals"`
	RefusedWithCapacity int `json:"refusals_beside_room"`
}

func printPlay(e *Environment, output string, seed uint64, f mfemulate.Stats, asked map[mothferry.AccountID]mfemulate.AccountStats) error {
	p := playResult{
		Seed: seed, Jobs: f.Jobs, OnTime: f.OnTime, Late: f.Late, TooLate: f.TooLate, Failed: f.Failed, WeightedOnTime: f.WeightedOnTime, LargestTenthOnTime: f.LargestOnTime, QueuesOnTime: f.OnTimeByQueue,
		MachineSeconds: f.MachineSeconds, Moves: f.Moves, Starts: f.Starts, Stops: f.Stops, Polls: f.Polls, Commits: f.Commits,
		Crashes: f.Crashes, UnrelatedFailures: f.UnrelatedFailures, Violations: f.Violations,
	}
	if output == outputJSON {
		p.Accounts = map[mothferry.AccountID]playAccount{}
		for id, a := range asked {
			p.Accounts[id] = playAccount(a)
		}
		return trace.Wrap(json.NewEncoder(e.Out).Encode(p))
	}
	_, err := fmt.Fprintf(e.Out, "seed %d: %d jobs, %d in time, %d late, %d too late, %d failed\n"+
		"  worth in time %.3f, of the widest tenth %.3f, of the worst queue's jobs %.3f\n"+
		"  %.0f machine-seconds in pools, %d moves; %d starts, %d stops, %d looks, %d commits\n"+
		"  %d workers ended by tasks, %d jobs failed that have no such task, %d rules broken\n",
		p.Seed, p.Jobs, p.OnTime, p.Late, p.TooLate, p.Failed, p.WeightedOnTime, p.LargestTenthOnTime, minFraction(p.QueuesOnTime), p.MachineSeconds, p.Moves, p.Starts, p.Stops, p.Polls, p.Commits,
		p.Crashes, p.UnrelatedFailures, p.Violations)
	if err != nil {
		return trace.Wrap(err)
	}
	for _, id := range slices.Sorted(maps.Keys(asked)) {
		a := asked[id]
		if _, err := fmt.Fprintf(e.Out, "  account %s: %d jobs, %d accepted, %d in time, %d of no use, %d refused for good; %d refusals, %d of them beside room\n",
			id, a.Jobs, a.Accepted, a.OnTime, a.TooLateOrFailed, a.Refused, a.Refusals, a.RefusedWithCapacity); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// minFraction returns the smallest of the queues' parts in time, 1 without any.
func minFraction(queues map[mothferry.QueueID]float64) float64 {
	least := 1.0
	for _, part := range queues {
		least = min(least, part)
	}
	return least
}
