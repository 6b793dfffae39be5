package mfcommand

import (
	"context"
	"encoding/json"
	"flag"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"mothferry/mfclock"
	"mothferry/mfreport"
)

// hostsVariable names the environment variable with the hosts' metrics addresses.
const hostsVariable = "MOTHFERRY_HOSTS"

const (
	// defaultMetricsTimeout is the usual bound of one host's answer.
	defaultMetricsTimeout = 3 * time.Second
	// defaultTop is the usual bound of a table's rows.
	defaultTop = 20
)

func loadCommand() command {
	return command{
		name: "load", arguments: "[SECTION...]", help: "Show who was refused and why, pools, slow workers, and where calls went.",
		details: "Sums what a fleet's hosts tell by their metrics. Sections: " + sectionNames() + "; all of them if none is named.\n" +
			"Counters run from each host's start, or over an interval with --over. Hosts that don't answer are named, and what\n" +
			"the others tell is shown.",
		prepare: func(e *Environment, flags *flag.FlagSet) runFunc {
			hosts := flags.String("hosts", e.Getenv(hostsVariable), "metrics addresses of all hosts (HOST:PORT or URL), separated by commas; "+hostsVariable+" sets the default")
			timeout := flags.Duration("timeout", defaultMetricsTimeout, "how long one host may take to answer")
			over := flags.Duration("over", 0, "read twice, this long apart, and show what was counted between")
			top := flags.Int("top", defaultTop, "how many rows of a table are shown, the most refused first")
			output := outputFlag(flags)
			return func(ctx context.Context, arguments []string) error {
				if err := checkOutput(*output); err != nil {
					return err
				}
				if *timeout <= 0 || *over < 0 || *top < 1 {
					return &errUsage{"--timeout must be above 0, --over not below 0, --top 1 or more"}
				}
				sections, err := parseSections(arguments)
				if err != nil {
					return err
				}
				addresses := parseAddresses(*hosts)
				if len(addresses) == 0 {
					return &errUsage{"--hosts must list the metrics addresses of the hosts"}
				}
				reader := &mfreport.Fetcher{HTTP: &http.Client{}, Timeout: *timeout}
				read, missing, err := fetchInterval(ctx, e, reader, addresses, *over)
				if err != nil {
					return err
				}
				report := mfreport.New(read, missing, *top).WithSections(sections)
				if *output == outputJSON {
					return trace.Wrap(json.NewEncoder(e.Out).Encode(report))
				}
				return report.WriteText(e.Out, sections)
			}
		},
	}
}

// fetchInterval reads the hosts' metrics, twice if there is an interval: counters are
// those of the interval then, and a host that missed either reading is missing.
func fetchInterval(ctx context.Context, e *Environment, f *mfreport.Fetcher, addresses []mfreport.Address, over time.Duration) ([]mfreport.Host, []mfreport.MissingHost, error) {
	before, missing, err := f.Fetch(ctx, addresses)
	if err != nil || over == 0 {
		return before, missing, err
	}
	if !mfclock.Sleep(ctx, e.Clock, over) {
		return nil, nil, trace.Wrap(ctx.Err())
	}
	answered := make([]mfreport.Address, 0, len(before))
	earlier := map[mfreport.Address]mfreport.Metrics{}
	for _, h := range before {
		answered = append(answered, h.Address)
		earlier[h.Address] = h.Metrics
	}
	after, lost, err := f.Fetch(ctx, answered)
	for i, h := range after {
		after[i].Metrics = h.Metrics.Delta(earlier[h.Address])
	}
	return after, append(missing, lost...), err
}

func sectionNames() string {
	var names []string
	for _, s := range mfreport.AllSections() {
		names = append(names, string(s))
	}
	return strings.Join(names, ", ")
}

func parseSections(names []string) ([]mfreport.Section, error) {
	if len(names) == 0 {
		return mfreport.AllSections(), nil
	}
	var out []mfreport.Section
	for _, n := range names {
		s := mfreport.Section(n)
		if !slices.Contains(mfreport.AllSections(), s) {
			return nil, &errUsage{"there is no section " + n + "; sections are " + sectionNames()}
		}
		out = append(out, s)
	}
	return out, nil
}

// parseAddresses parts a list at its commas; each address counts once.
func parseAddresses(list string) []mfreport.Address {
	var out []mfreport.Address
	for text := range strings.SplitSeq(list, ",") {
		a := mfreport.Address(strings.TrimSpace(text))
		if a != "" && !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}
