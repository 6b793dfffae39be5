package mfcommand

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/gravitational/trace"

	"mothferry"
	"mothferry/mfclock"
	"mothferry/mfhost"
	"mothferry/mfoperate"
)

// hostFlags are the flags that commands about hosts share.
type hostFlags struct {
	environment *Environment
	operator    *string
	output      *string
	author      *string
	centre      *string
	wait        *bool
	timeout     *time.Duration
}

func newHostFlags(e *Environment, flags *flag.FlagSet) *hostFlags {
	return &hostFlags{
		environment: e,
		operator:    operatorFlag(e, flags),
		output:      outputFlag(flags),
		author:      flags.String("author", e.Getenv("USER"), "who asks for the change"),
		centre:      flags.String("data-centre", "", "data centre of the host; the daemon's own by default"),
		wait:        flags.Bool("wait", false, "wait until it is done"),
		timeout:     flags.Duration("timeout", time.Minute, "how long to wait"),
	}
}

func (f *hostFlags) check() error {
	if *f.author == "" {
		return &errUsage{"--author must say who asks for the change"}
	}
	return checkOutput(*f.output)
}

// await waits until a host's record is as it is to be.
func (f *hostFlags) await(ctx context.Context, client *mfoperate.Client, record mfhost.Record, done func(mfhost.Record) bool) (mfhost.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, *f.timeout)
	defer cancel()
	for !done(record) {
		if !mfclock.Sleep(ctx, f.environment.Clock, pollInterval) {
			return record, trace.LimitExceeded("host %s is %s in pool %s still; asking again does no harm", record.Host, record.State, record.Pool)
		}
		records, err := client.Hosts(ctx, record.DataCentre)
		if err != nil {
			continue
		}
		for _, r := range records {
			if r.Host == record.Host {
				record = r
			}
		}
	}
	return record, nil
}

func (f *hostFlags) print(r mfhost.Record) error {
	if *f.output == outputJSON {
		return json.NewEncoder(f.environment.Out).Encode(r)
	}
	printHost(f.environment.Out, r)
	return nil
}

func printHost(out io.Writer, r mfhost.Record) {
	fmt.Fprintf(out, "%-24s %-8s %-16s %-9s", r.Host, r.DataCentre, r.Pool, r.State)
	if r.MoveTo != "" {
		fmt.Fprintf(out, " moving to %s, asked by %s", r.MoveTo, r.Author)
	}
	fmt.Fprintln(out)
}

func poolCommand() command {
	return command{
		name: "pool", arguments: "list | move HOST POOL", help: "List hosts and their pools, or move a host to another pool.",
		details: "A host that moves is emptied first, replacements before runners leave; it belongs to its old pool until it is\nempty. Moving it to the pool that it is in calls the move off.",
		prepare: func(e *Environment, flags *flag.FlagSet) runFunc {
			f := newHostFlags(e, flags)
			return func(ctx context.Context, arguments []string) error {
				switch {
				case len(arguments) == 1 && arguments[0] == "list":
					return f.list(ctx)
				case len(arguments) == 3 && arguments[0] == "move":
					return f.move(ctx, mothferry.HostID(arguments[1]), mothferry.PoolID(arguments[2]))
				}
				return &errUsage{"say list, or move HOST POOL"}
			}
		},
	}
}

func (f *hostFlags) list(ctx context.Context) error {
	if err := checkOutput(*f.output); err != nil {
		return err
	}
	records, err := operatorClient(*f.operator).Hosts(ctx, mothferry.DataCentre(*f.centre))
	if err != nil {
		return err
	}
	if *f.output == outputJSON {
		return json.NewEncoder(f.environment.Out).Encode(records)
	}
	for _, r := range records {
		printHost(f.environment.Out, r)
	}
	return nil
}

func (f *hostFlags) move(ctx context.Context, host mothferry.HostID, pool mothferry.PoolID) error {
	if err := f.check(); err != nil {
		return err
	}
	client := operatorClient(*f.operator)
	record, err := client.Move(ctx, mothferry.DataCentre(*f.centre), host, pool, *f.author)
	if err == nil && *f.wait {
		record, err = f.await(ctx, client, record, func(r mfhost.Record) bool { return r.Pool == pool && r.MoveTo == "" })
	}
	if err != nil {
		return err
	}
	return f.print(record)
}

func drainCommand() command {
	return command{
		name: "drain", arguments: "HOST", help: "Empty a host, replacements before runners leave, and keep it empty.",
		prepare: func(e *Environment, flags *flag.FlagSet) runFunc {
			f := newHostFlags(e, flags)
			undo := flags.Bool("undo", false, "let the host take runners again")
			return func(ctx context.Context, hosts []string) error {
				if len(hosts) != 1 {
					return &errUsage{"name one host"}
				}
				if err := f.check(); err != nil {
					return err
				}
				client := operatorClient(*f.operator)
				host := mothferry.HostID(hosts[0])
				record, err := client.Drain(ctx, mothferry.DataCentre(*f.centre), host, *undo, *f.author)
				if err == nil && *f.wait && !*undo {
					err = f.awaitEmpty(ctx, client, host)
				}
				if err != nil {
					return err
				}
				return f.print(record)
			}
		},
	}
}

// awaitEmpty waits until no runner is placed on a host of the daemon's data centre.
func (f *hostFlags) awaitEmpty(ctx context.Context, client *mfoperate.Client, host mothferry.HostID) error {
	ctx, cancel := context.WithTimeout(ctx, *f.timeout)
	defer cancel()
	for {
		placements, err := client.Placements(ctx)
		count := 0
		for _, p := range placements {
			for _, r := range p.Runners {
				if r.Host == host {
					count++
				}
			}
		}
		if err == nil && count == 0 {
			return nil
		}
		if !mfclock.Sleep(ctx, f.environment.Clock, pollInterval) {
			return trace.LimitExceeded("host %s still has %d runners; they leave as replacements serve, so there may be no room for these", host, count)
		}
	}
}
