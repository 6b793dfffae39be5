// Package mfstory finds in the daemons' logs what bears on one job, and says in
// words why it was refused, started again elsewhere or passed on to a peer.
package mfstory

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"mothferry"
)

// Line is one structured line of a daemon's log.
type Line struct {
	Time    time.Time      `json:"timestamp"`
	Level   string         `json:"level"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

// timeLayout is how times are written for people; all are in UTC.
const timeLayout = "15:04:05.000"

func (l Line) formattedTime() string { return l.Time.UTC().Format(timeLayout) }

// String returns the line for people: time, daemon, message and the rest.
func (l Line) String() string {
	var out strings.Builder
	fmt.Fprintf(&out, "%s %-20v %s", l.formattedTime(), l.Fields["daemon"], l.Message)
	var names []string
	for n := range l.Fields {
		if n != "daemon" && n != "part" {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	for _, n := range names {
		fmt.Fprintf(&out, " %s=%s", n, formatValue(l.Fields[n]))
	}
	return out.String()
}

// fieldText returns a field for people; one that the line lacks is "?".
func (l Line) fieldText(field string) string {
	value, found := l.Fields[field]
	if !found || value == nil {
		return "?"
	}
	return cmp.Or(formatValue(value), "none")
}

// formatValue returns a field's value without an exponent, as ids of runs and times have none.
func formatValue(value any) string {
	if v, ok := value.(float64); ok {
		return strconv.FormatFloat(v, 'f', -1, 64)
	}
	return fmt.Sprint(value)
}

// fieldNumber returns a field that holds a number.
func (l Line) fieldNumber(field string) (float64, bool) {
	v, ok := l.Fields[field].(float64)
	return v, ok
}

// maxLineBytes bounds one line of a log.
const maxLineBytes = 1 << 20

// Decode reads structured lines. Whatever stands before the first brace, as
// a collector's prefix, and lines without one are passed over.
func Decode(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		_, text, found := strings.Cut(scanner.Text(), "{")
		var l Line
		if found && json.Unmarshal([]byte("{"+text), &l) == nil && l.Message != "" {
			lines = append(lines, l)
		}
	}
	return lines, trace.Wrap(scanner.Err())
}

// ownershipMessages holds the messages on who owns the shard, which decide about every job.
var ownershipMessages = []string{"shard is taken over", "shard is lost", "shard is given up"}

// JobLines returns the lines that bear on a job, in the order of time: those that name
// it; those on its workers and on the shard's ownership while it was there; and
// from before, the last line on the speed of each of its workers, if that was slow.
func JobLines(job mothferry.JobID, lines []Line) []Line {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	var from, to time.Time
	workers := map[string]bool{}
	for _, l := range lines {
		if l.Fields["job"] != string(job) {
			continue
		}
		if from.IsZero() {
			from = l.Time
		}
		to = l.Time
		for _, w := range workersOf(l) {
			workers[w] = true
		}
	}
	var story []Line
	slow := map[string]Line{}
	for _, l := range lines {
		during := !l.Time.Before(from) && !l.Time.After(to)
		_, other := l.Fields["job"]
		worker, _ := l.Fields["worker"].(string)
		switch {
		case l.Fields["job"] == string(job), during && !other && (workers[worker] || slices.Contains(ownershipMessages, l.Message)):
			story = append(story, l)
		case l.Time.Before(from) && workers[worker] && l.Message == messageSlow:
			slow[worker] = l
		case l.Time.Before(from) && l.Message == messageNotSlow:
			delete(slow, worker)
		}
	}
	before := slices.SortedFunc(maps.Values(slow), func(a, b Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.fieldText("worker"), b.fieldText("worker")))
	})
	return append(before, story...)
}

func workersOf(l Line) []string {
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
