// Package mfstory selects the lines of the daemons' logs that concern one job, and explains
// from them why it was refused, restarted elsewhere or forwarded to a peer.
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

// timeLayout is the format of times for people; all are in UTC.
const timeLayout = "15:04:05.000"

func (l Line) formattedTime() string { return l.Time.UTC().Format(timeLayout) }

// String formats the line for people: time, daemon, message and the other fields.
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

// fieldText formats a field for people: "?" if the line lacks it, "none" if it is empty.
func (l Line) fieldText(field string) string {
	value, found := l.Fields[field]
	if !found || value == nil {
		return "?"
	}
	return cmp.Or(formatValue(value), "none")
}

// formatValue formats a field's value. Numbers have no exponent, since they are ids of runs or
// times.
func formatValue(value any) string {
	if v, ok := value.(float64); ok {
		return strconv.FormatFloat(v, 'f', -1, 64)
	}
	return fmt.Sprint(value)
}

// fieldNumber returns the value of a numeric field.
func (l Line) fieldNumber(field string) (float64, bool) {
	v, ok := l.Fields[field].(float64)
	return v, ok
}

// maxLineBytes bounds one line of a log.
const maxLineBytes = 1 << 20

// Decode reads structured log lines. It skips what stands before a line's first brace, such as
// a collector's prefix, and lines without JSON or message.
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

// ownershipMessages are the log messages on changes of the shard's owner. They concern every
// job, since the owner decides about all of them.
var ownershipMessages = []string{"shard is taken over", "shard is lost", "shard is given up"}

// JobLines returns the lines that concern a job, in the order of time: those that name it;
// those that name no job but one of its workers, or a change of the shard's owner, between its
// first and last line; and, for each of its workers that was slow before the first, the last
// line on its speed.
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
	var selected []Line
	slow := map[string]Line{}
	for _, l := range lines {
		during := !l.Time.Before(from) && !l.Time.After(to)
		_, hasJob := l.Fields["job"]
		worker, _ := l.Fields["worker"].(string)
		switch {
		case l.Fields["job"] == string(job), during && !hasJob && (workers[worker] || slices.Contains(ownershipMessages, l.Message)):
			selected = append(selected, l)
		case l.Time.Before(from) && workers[worker] && l.Message == messageSlow:
			slow[worker] = l
		case l.Time.Before(from) && l.Message == messageNotSlow:
			delete(slow, worker)
		}
	}
	before := slices.SortedFunc(maps.Values(slow), func(a, b Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.fieldText("worker"), b.fieldText("worker")))
	})
	return append(before, selected...)
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
