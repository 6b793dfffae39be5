package mfcommand

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

func explainCommand() command {
	return command{
		name: "explain", arguments: "ID [FILE...]", help: "Print one job's story from the daemons' logs.",
		details: "Reads the logs of all daemons from files, or from standard input, and prints the lines that name the job,\nand those on its workers and on the shard's ownership while it was there, in the order of time.",
		prepare: func(e *Environment, _ *flag.FlagSet) runFunc {
			return func(_ context.Context, arguments []string) error {
				if len(arguments) == 0 {
					return &errUsage{"give a job's id"}
				}
				lines, err := readLogs(e, arguments[1:])
				if err != nil {
					return err
				}
				story := storyOf(arguments[0], lines)
				if len(story) == 0 {
					return trace.Errorf("no line of these logs names job %s: were all daemons' logs given?", arguments[0])
				}
				for _, l := range story {
					fmt.Fprintln(e.Out, l)
				}
				return nil
			}
		},
	}
}

// logLine is one structured line of a daemon's log.
type logLine struct {
	Time    time.Time      `json:"timestamp"`
	Level   string         `json:"level"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

// String returns the line for people: time, daemon, message and the rest.
func (l logLine) String() string {
	var out strings.Builder
	fmt.Fprintf(&out, "%s %-20v %s", l.Time.UTC().Format("15:04:05.000"), l.Fields["daemon"], l.Message)
	var names []string
	for n := range l.Fields {
		if n != "daemon" && n != "part" {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	for _, n := range names {
		fmt.Fprintf(&out, " %s=%v", n, l.Fields[n])
	}
	return out.String()
}

func readLogs(e *Environment, files []string) ([]logLine, error) {
	if len(files) == 0 {
		return decodeLog(e.In)
	}
	var lines []logLine
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		some, err := decodeLog(f)
		_ = f.Close()
		if err != nil {
			return nil, trace.Wrap(err, name)
		}
		lines = append(lines, some...)
	}
	return lines, nil
}

// longestLine bounds one line of a log.
const longestLine = 1 << 20

// decodeLog reads structured lines. Whatever stands before the first brace, as
// a collector's prefix, and lines without one are passed over.
func decodeLog(r io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, longestLine)
	for scanner.Scan() {
		_, text, found := strings.Cut(scanner.Text(), "{")
		var l logLine
		if found && json.Unmarshal([]byte("{"+text), &l) == nil && l.Message != "" {
			lines = append(lines, l)
		}
	}
	return lines, trace.Wrap(scanner.Err())
}

// ownership holds the messages on who owns the shard, which decide about every job.
var ownership = []string{"shard is taken over", "shard is lost", "shard is given up"}

// storyOf returns the lines that bear on a job, in the order of time.
func storyOf(job string, lines []logLine) []logLine {
	var from, to time.Time
	workers := map[string]bool{}
	for _, l := range lines {
		if l.Fields["job"] != job {
			continue
		}
		if from.IsZero() || l.Time.Before(from) {
			from = l.Time
		}
		if l.Time.After(to) {
			to = l.Time
		}
		for _, w := range workersOf(l) {
			workers[w] = true
		}
	}
	var story []logLine
	for _, l := range lines {
		during := !l.Time.Before(from) && !l.Time.After(to)
		_, other := l.Fields["job"]
		worker, _ := l.Fields["worker"].(string)
		if l.Fields["job"] == job || during && !other && (workers[worker] || slices.Contains(ownership, l.Message)) {
			story = append(story, l)
		}
	}
	slices.SortStableFunc(story, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	return story
}

func workersOf(l logLine) []string {
	var out []string
	if w, ok := l.Fields["worker"].(string); ok {
		out = append(out, w)
	}
	list, _ := l.Fields["workers"].([]any)
	for _, w := range list {
		if text, ok := w.(string); ok {
			out = append(out, text)
		}
	}
	return out
}
