package mfcommand

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"mothferry"
	"mothferry/mfclock"
	"mothferry/mfdaemon"
	"mothferry/mfdocument"
	"mothferry/mfoperate"
)

// revisionComment begins the line in which get notes the revision that it
// read, and apply finds the revision that was edited.
const revisionComment = "# revision: "

// Tries of a change whose reply was lost, and the pause between them.
const (
	applyAttempts   = 5
	applyRetryDelay = 500 * time.Millisecond
	pollInterval    = 100 * time.Millisecond
)

func checkCommand() command {
	return command{
		name: "check", arguments: "FILE...", help: "Check service documents without sending them anywhere.",
		prepare: func(e *Environment, _ *flag.FlagSet) runFunc {
			return func(_ context.Context, files []string) error {
				if len(files) == 0 {
					return &errUsage{"name at least one document"}
				}
				for _, f := range files {
					document, _, err := readDocument(f)
					if err != nil {
						return err
					}
					fmt.Fprintf(e.Out, "%s: document of service %s is well formed\n", f, document.Service)
				}
				return nil
			}
		},
	}
}

func readDocument(file string) (mfdocument.Document, string, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return mfdocument.Document{}, "", trace.ConvertSystemError(err)
	}
	document, err := mfdocument.Parse(file, data)
	return document, string(data), err
}

// applyOptions holds the flags of the apply command.
type applyOptions struct {
	environment *Environment
	operator    *string
	output      *string
	author      *string
	base        *string
	overwrite   *bool
	wait        *bool
	timeout     *time.Duration
}

func applyCommand() command {
	return command{
		name: "apply", arguments: "FILE...", help: "Change service documents, each in one transaction.",
		details: "The revision that was edited comes from --base, else from the line \"" + revisionComment + "N\" that get writes,\nelse the document must be new. If somebody else changed the document since, nothing is changed and the difference is shown.",
		prepare: func(e *Environment, flags *flag.FlagSet) runFunc {
			a := &applyOptions{
				environment: e,
				operator:    operatorFlag(e, flags),
				output:      outputFlag(flags),
				author:      flags.String("author", e.Getenv("USER"), "who makes the change"),
				base:        flags.String("base", "", "revision of the document that was edited"),
				overwrite:   flags.Bool("overwrite", false, "take the document in force as the one that was edited"),
				wait:        flags.Bool("wait", false, "wait until the change is in force at every daemon"),
				timeout:     flags.Duration("timeout", time.Minute, "how long to wait"),
			}
			return a.run
		},
	}
}

func (a *applyOptions) run(ctx context.Context, files []string) error {
	if err := checkOutput(*a.output); err != nil {
		return err
	}
	if len(files) == 0 {
		return &errUsage{"name at least one document"}
	}
	if *a.author == "" {
		return &errUsage{"--author must say who makes the change"}
	}
	client := operatorClient(*a.operator)
	for _, f := range files {
		if err := a.applyFile(ctx, client, f); err != nil {
			return err
		}
	}
	return nil
}

// applyResult is the JSON output of one change.
type applyResult struct {
	Service  mothferry.ServiceID `json:"service"`
	Revision mothferry.Revision  `json:"revision"`
	InForce  int                 `json:"in_force,omitempty"`
	Daemons  int                 `json:"daemons,omitempty"`
	Millis   int64               `json:"in_force_after_ms,omitempty"`
}

func (a *applyOptions) applyFile(ctx context.Context, client *mfoperate.Client, file string) error {
	document, text, err := readDocument(file)
	if err != nil {
		return err
	}
	base, err := a.baseOf(ctx, client, document.Service, text)
	if err != nil {
		return err
	}
	began := a.environment.Clock.Now()
	revision, err := a.send(ctx, client, document.Service, text, base)
	if err != nil {
		return err
	}
	result := applyResult{Service: document.Service, Revision: revision}
	if *a.wait {
		if result.InForce, result.Daemons, err = a.awaitInForce(ctx, client, revision); err != nil {
			return err
		}
		result.Millis = a.environment.Clock.Now().Sub(began).Milliseconds()
	}
	return a.print(result)
}

func (a *applyOptions) print(r applyResult) error {
	if *a.output == outputJSON {
		return json.NewEncoder(a.environment.Out).Encode(r)
	}
	fmt.Fprintf(a.environment.Out, "%s is accepted at revision %d", r.Service, r.Revision)
	if r.Daemons > 0 {
		fmt.Fprintf(a.environment.Out, ", in force at %d of %d daemons after %d ms", r.InForce, r.Daemons, r.Millis)
	}
	fmt.Fprintln(a.environment.Out)
	return nil
}

// baseOf returns the revision that a document's edit was based on.
func (a *applyOptions) baseOf(ctx context.Context, client *mfoperate.Client, service mothferry.ServiceID, text string) (mothferry.Revision, error) {
	if *a.overwrite {
		_, revision, err := client.Document(ctx, service)
		var refused *mfoperate.ErrRefused
		if errors.As(err, &refused) {
			return 0, nil
		}
		return revision, err
	}
	number := *a.base
	if number == "" {
		number = revisionOf(text)
	}
	if number == "" {
		return 0, nil
	}
	base, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return 0, &errUsage{"the revision that was edited must be a whole number, not " + strconv.Quote(number)}
	}
	return mothferry.Revision(base), nil
}

// revisionOf returns the revision that get noted in a document's text.
func revisionOf(text string) string {
	lines := bufio.NewScanner(strings.NewReader(text))
	for lines.Scan() {
		if number, ok := strings.CutPrefix(lines.Text(), revisionComment); ok {
			return strings.TrimSpace(number)
		}
	}
	return ""
}

// send makes a change, trying again with the same token if no reply came.
func (a *applyOptions) send(ctx context.Context, client *mfoperate.Client, service mothferry.ServiceID, text string, base mothferry.Revision) (mothferry.Revision, error) {
	token := mfdaemon.NewToken()
	var last error
	for range applyAttempts {
		revision, err := client.Apply(ctx, service, text, base, *a.author, token)
		if err == nil || exitCode(err) != exitNoReply {
			return revision, err
		}
		last = err
		if !mfclock.Sleep(ctx, a.environment.Clock, applyRetryDelay) {
			break
		}
	}
	return 0, last
}

// awaitInForce waits until every daemon has a revision in force.
func (a *applyOptions) awaitInForce(ctx context.Context, client *mfoperate.Client, revision mothferry.Revision) (count, all int, err error) {
	ctx, cancel := context.WithTimeout(ctx, *a.timeout)
	defer cancel()
	var lagging []mothferry.DaemonID
	for {
		status, err := client.Status(ctx)
		if err == nil {
			count, all, lagging = status.InForce(revision)
			if count == all {
				return count, all, nil
			}
		}
		if !mfclock.Sleep(ctx, a.environment.Clock, pollInterval) {
			return count, all, trace.LimitExceeded("revision %d is accepted, but in force at %d of %d daemons only; these lag: %v", revision, count, all, lagging)
		}
	}
}

func getCommand() command {
	return command{
		name: "get", arguments: "SERVICE", help: "Print the document in force of a service, ready for editing and apply.",
		prepare: func(e *Environment, flags *flag.FlagSet) runFunc {
			operator := operatorFlag(e, flags)
			return func(ctx context.Context, services []string) error {
				if len(services) != 1 {
					return &errUsage{"name one service"}
				}
				text, revision, err := operatorClient(*operator).Document(ctx, mothferry.ServiceID(services[0]))
				if err != nil {
					return err
				}
				_, err = io.WriteString(e.Out, revisionComment+strconv.FormatUint(uint64(revision), 10)+"\n"+text)
				return trace.Wrap(err)
			}
		},
	}
}

func statusCommand() command {
	return command{
		name: "status", help: "Show what a daemon and its peers have in force.",
		prepare: func(e *Environment, flags *flag.FlagSet) runFunc {
			operator, output := operatorFlag(e, flags), outputFlag(flags)
			return func(ctx context.Context, _ []string) error {
				if err := checkOutput(*output); err != nil {
					return err
				}
				status, err := operatorClient(*operator).Status(ctx)
				if err != nil {
					return err
				}
				if *output == outputJSON {
					return json.NewEncoder(e.Out).Encode(status)
				}
				printStatus(e.Out, status)
				return nil
			}
		},
	}
}

func printStatus(out io.Writer, s mfoperate.Status) {
	count, all, lagging := s.InForce(s.Revision)
	fmt.Fprintf(out, "%s in %s: ready %t, revision %d from %s, in force at %d of %d daemons\n", s.Daemon, s.DataCentre, s.Ready, s.Revision, s.Source, count, all)
	if len(lagging) > 0 {
		fmt.Fprintf(out, "lagging: %v\n", lagging)
	}
	fmt.Fprintf(out, "\n%-12s %-8s %-6s %-9s %s\n", "PEER", "CENTRE", "LIVE", "REVISION", "HEARD")
	for _, p := range s.Peers {
		heard := "never"
		if p.HeardAgoMs >= 0 {
			heard = fmt.Sprintf("%d ms ago", p.HeardAgoMs)
		}
		fmt.Fprintf(out, "%-12s %-8s %-6t %-9d %s\n", p.Daemon, p.DataCentre, p.Live, p.Revision, heard)
	}
	fmt.Fprintf(out, "\n%-20s %-9s %-7s %-7s %s\n", "SERVICE", "REVISION", "WANTED", "PLACED", "SERVING")
	for _, k := range s.Services {
		fmt.Fprintf(out, "%-20s %-9d %-7d %-7d %d\n", k.Service, k.Revision, k.Wanted, k.Placed, k.Serving)
	}
	for _, k := range s.Shards {
		fmt.Fprintf(out, "holds shard %s with epoch %d\n", k.Pool, k.Epoch)
	}
}
