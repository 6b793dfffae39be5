package mfreport

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/gravitational/trace"

	"mothferry"
)

// Section names one part of a report's text.
type Section string

// Sections of a report.
const (
	SectionAccounts Section = "accounts"
	SectionQueues   Section = "queues"
	SectionShares   Section = "shares"
	SectionPools    Section = "pools"
	SectionWorkers  Section = "workers"
	SectionCalls    Section = "calls"
)

// AllSections returns the sections in the order in which they are written.
func AllSections() []Section {
	return []Section{SectionAccounts, SectionQueues, SectionShares, SectionPools, SectionWorkers, SectionCalls}
}

// WithSections returns the report with just these sections' rows; the hosts and the total stay.
func (r Report) WithSections(sections []Section) Report {
	if !slices.Contains(sections, SectionAccounts) {
		r.Accounts = Rows[Account]{Rows: []Account{}}
	}
	if !slices.Contains(sections, SectionQueues) {
		r.Queues = Rows[Queue]{Rows: []Queue{}}
	}
	if !slices.Contains(sections, SectionShares) {
		r.Shares = Rows[Share]{Rows: []Share{}}
	}
	if !slices.Contains(sections, SectionPools) {
		r.Pools = Rows[Pool]{Rows: []Pool{}}
	}
	if !slices.Contains(sections, SectionWorkers) {
		r.Workers, r.Stragglers = Rows[Worker]{Rows: []Worker{}}, map[string]int64{}
	}
	if !slices.Contains(sections, SectionCalls) {
		r.Calls = []Calls{}
	}
	return r
}

// WriteText writes sections as tables for people, after a line on the hosts.
func (r Report) WriteText(out io.Writer, sections []Section) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	r.writeHosts(w)
	for _, s := range sections {
		switch s {
		case SectionAccounts:
			r.writeAccounts(w)
		case SectionQueues:
			r.writeQueues(w)
		case SectionShares:
			r.writeShares(w)
		case SectionPools:
			r.writePools(w)
		case SectionWorkers:
			r.writeWorkers(w)
		case SectionCalls:
			r.writeCalls(w)
		}
	}
	return trace.Wrap(w.Flush())
}

func (r Report) writeHosts(w io.Writer) {
	fmt.Fprintf(w, "hosts that answered: %d\n", r.Answered)
	for _, m := range r.Missing {
		fmt.Fprintf(w, "missing: %s: %s\n", cell(m.Host), printable(m.Reason))
	}
	switch len(r.Owners) {
	case 0:
		fmt.Fprintln(w, "owner: none among them, so that shares, pools and slow workers are not known")
	case 1:
		fmt.Fprintf(w, "owner: %s\n", cell(r.Owners[0]))
	default:
		fmt.Fprintf(w, "owner: changing, %s say that they are; figures are the first one's\n", joinAddresses(r.Owners))
	}
	if len(r.NotServedByStore) > 0 {
		fmt.Fprintf(w, "the store does not serve: %s\n", joinAddresses(r.NotServedByStore))
	}
}

// countsHeader and its rows have the same columns.
const countsHeader = "ASKED\tACCEPTED\tREF. SHARE\tREF. LIMIT\tREF. QUEUE\tREF. STORE\tUNKNOWN\tIN TIME\tLATE\tTOO LATE\tFAILED\tCANCELLED\tOTHER"

func countsRow(c Counts) string {
	var cells []string
	for _, n := range []int64{
		c.Submitted, c.Accepted, c.RefusedShare, c.RefusedLimit, c.RefusedQueue, c.RefusedStore, c.Unknown,
		c.OnTime, c.Late, c.TooLate, c.Failed, c.Cancelled, c.Other + c.OtherEnds,
	} {
		cells = append(cells, strconv.FormatInt(n, 10))
	}
	return strings.Join(cells, "\t")
}

func (r Report) writeAccounts(w io.Writer) {
	fmt.Fprintf(w, "\nACCOUNT\t%s\tSHARE\tUSED\n", countsHeader)
	for _, a := range r.Accounts.Rows {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", cell(a.Account), countsRow(a.Counts), optionalCores(a.Share), optionalCores(a.Used))
	}
	writeLeftOut(w, r.Accounts.LeftOut)
	fmt.Fprintf(w, "all accounts\t%s\t\t\n", countsRow(r.Total))
}

func (r Report) writeQueues(w io.Writer) {
	fmt.Fprintf(w, "\nQUEUE\tACCOUNT\t%s\n", countsHeader)
	for _, q := range r.Queues.Rows {
		fmt.Fprintf(w, "%s\t%s\t%s\n", cell(q.Queue), cell(q.Account), countsRow(q.Counts))
	}
	writeLeftOut(w, r.Queues.LeftOut)
}

func (r Report) writeShares(w io.Writer) {
	fmt.Fprintln(w, "\nSERVICE\tACCOUNT\tSHARE")
	for _, s := range r.Shares.Rows {
		fmt.Fprintf(w, "%s\t%s\t%s\n", cell(s.Service), cell(s.Account), formatCores(s.Share))
	}
	writeLeftOut(w, r.Shares.LeftOut)
}

func (r Report) writePools(w io.Writer) {
	fmt.Fprintln(w, "\nSERVICE\tPRESENT\tNEEDED\tTARGET\tBINDING\tSLOW WORKERS")
	for _, p := range r.Pools.Rows {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%s\t%d\n", cell(p.Service), p.Present, p.Needed, p.Target, cell(p.Binding), p.Slow)
	}
	writeLeftOut(w, r.Pools.LeftOut)
}

func (r Report) writeWorkers(w io.Writer) {
	fmt.Fprintln(w, "\nSLOW WORKER\tSERVICE\tSPEED")
	for _, s := range r.Workers.Rows {
		fmt.Fprintf(w, "%s\t%s\t%.2f\n", cell(s.Worker), cell(s.Service), s.Speed)
	}
	writeLeftOut(w, r.Workers.LeftOut)
	fmt.Fprintf(w, "stragglers: %s\n", formatCounts(r.Stragglers))
}

func (r Report) writeCalls(w io.Writer) {
	fmt.Fprintln(w, "\nCALLS\tANSWERED\tUNSERVED\tHERE\tFORWARDED\tCARRIED FOR PEERS")
	for _, c := range r.Calls {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%s\t%s\n", cell(c.Kind), c.Answered, c.Unserved, c.Local, formatCounts(c.Forwarded), formatCounts(c.Carried))
	}
}

func writeLeftOut(w io.Writer, count int) {
	if count > 0 {
		fmt.Fprintf(w, "and %d more\n", count)
	}
}

// cell writes a name; a dash stands for none.
func cell[S ~string](name S) string {
	if name == "" {
		return "-"
	}
	return printable(string(name))
}

// printable keeps names and errors of other hosts from breaking a table.
func printable(text string) string {
	return strings.Map(func(r rune) rune {
		if !strconv.IsPrint(r) {
			return '?'
		}
		return r
	}, text)
}

func joinAddresses(addresses []Address) string {
	var out []string
	for _, a := range addresses {
		out = append(out, cell(a))
	}
	return strings.Join(out, ", ")
}

func formatCounts(counts map[string]int64) string {
	if len(counts) == 0 {
		return "none"
	}
	var out []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		out = append(out, fmt.Sprintf("%s %d", cell(name), counts[name]))
	}
	return strings.Join(out, ", ")
}

func optionalCores(m *mothferry.Millicores) string {
	if m == nil {
		return "-"
	}
	return formatCores(*m)
}

func formatCores(m mothferry.Millicores) string {
	return strconv.FormatFloat(float64(m)/1000, 'f', 1, 64)
}
