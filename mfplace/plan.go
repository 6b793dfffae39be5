// Package mfplace decides where a shard's runners go. Plan is a pure function
// of what is known of the shard: it starts nothing and reads no clock.
package mfplace

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"mothferry"
	"mothferry/mfdocument"
	"mothferry/mfhost"
	"mothferry/mfplacement"
)

// Host is one host of the shard as control sees it.
type Host struct {
	Record mfhost.Record
	// Listed is what the platform's host list says; empty if it lacks the host.
	Listed mothferry.HostState
	// Reported tells that the worker's report was received, with its tasks.
	Reported bool
	Tasks    map[mothferry.TaskID]mothferry.TaskStatus
}

// Input is everything that a plan depends on.
type Input struct {
	Shard mothferry.Shard
	Epoch mothferry.Epoch
	// Previous is the published placement, the zero record if there is none.
	Previous mfplacement.Record
	// Documents are those in force at Revision.
	Documents []mfdocument.Document
	Revision  mothferry.Revision
	Hosts     []Host
	// Quiesced reports whether every entry host knows that a runner is leaving
	// and has nothing in flight there.
	Quiesced func(r mfplacement.Runner) bool
}

// Start asks for a task to be started on a host.
type Start struct {
	Host mothferry.HostID
	Task mothferry.TaskSpec
}

// Stop asks for a task to be stopped.
type Stop struct {
	Host mothferry.HostID
	Task mothferry.TaskID
}

// Output is a plan: the placement to publish, and what to ask of workers once
// it is published. Changed tells whether the placement differs from the
// previous one. Asking for a start or stop again has no further effect.
type Output struct {
	Placement mfplacement.Record
	Changed   bool
	Starts    []Start
	Stops     []Stop
	// Unplaced counts the runners for which no host had room, by service.
	Unplaced map[mothferry.ServiceID]int
}

// planner holds a plan in the making.
type planner struct {
	input          Input
	hosts          map[mothferry.HostID]*Host
	runners        []mfplacement.Runner
	reserved       map[mothferry.HostID]mothferry.Resources
	nextGeneration mothferry.Generation
	created        int
	unplaced       map[mothferry.ServiceID]int
	failures       map[mothferry.HostID]int
}

// Plan works out the next placement of a shard:
//
//  1. Runners are brought up to what their workers report; those that failed
//     or whose host is gone are dropped.
//  2. Each service gets new runners until those on hosts that stay are as
//     many as its document asks of this shard. Spread over racks and hosts
//     comes first, then the least loaded host. A host where tasks failed is
//     taken only when no other has room: it is often the emptiest, and would
//     otherwise be chosen for every replacement.
//  3. Runners on hosts that the platform lists as leaving leave at once: they
//     will be gone whatever the plan, and must get no new work.
//  4. Runners beyond the wanted number leave: first those on hosts that are
//     being emptied by decision, and these only as replacements serve, so that
//     a planned emptying never lowers the number that serve.
//  5. Runners that leave are stopped once all entry hosts are done with them.
func Plan(in Input) Output {
	p := &planner{
		input:          in,
		hosts:          map[mothferry.HostID]*Host{},
		reserved:       map[mothferry.HostID]mothferry.Resources{},
		nextGeneration: in.Previous.Generation + 1,
		unplaced:       map[mothferry.ServiceID]int{},
		failures:       map[mothferry.HostID]int{},
	}
	maps.Copy(p.failures, in.Previous.Failures)
	for i := range in.Hosts {
		p.hosts[in.Hosts[i].Record.Host] = &in.Hosts[i]
	}
	p.applyReports()
	p.evacuateLeavingHosts()
	wanted := map[mothferry.ServiceID]bool{}
	for _, d := range in.Documents {
		wanted[d.Service] = true
		p.addRunners(d)
		p.removeRunners(d.Service, d.Share(in.Shard))
	}
	for _, s := range p.services() {
		if !wanted[s] {
			p.removeRunners(s, 0)
		}
	}
	p.stopQuiesced()
	return p.output()
}

// applyReports brings the runners up to their workers' reports.
func (p *planner) applyReports() {
	for _, r := range p.input.Previous.Runners {
		if kept, ok := p.applyReport(r); ok {
			p.runners = append(p.runners, kept)
			p.reserved[r.Host] = p.reserved[r.Host].Add(r.Resources)
		}
	}
}

func (p *planner) applyReport(r mfplacement.Runner) (mfplacement.Runner, bool) {
	host, ok := p.hosts[r.Host]
	if !ok || host.Listed == "" && !host.Reported {
		return r, false
	}
	if !host.Reported {
		return r, true
	}
	status, running := host.Tasks[r.Task]
	switch {
	case !running:
		// A task that was not started yet is started again; any other is gone.
		return r, r.State == mfplacement.StateStarting
	case status.State == mothferry.TaskFailed:
		p.failures[r.Host]++
		return r, false
	case r.State == mfplacement.StateStarting && status.State == mothferry.TaskServing:
		delete(p.failures, r.Host)
		r.State, r.Address = mfplacement.StateServing, status.Address
	}
	return r, true
}

// evacuateLeavingHosts lets runners leave whose hosts the platform is taking away.
func (p *planner) evacuateLeavingHosts() {
	for i, r := range p.runners {
		if active(r) && p.hosts[r.Host].Listed == mothferry.HostLeaving {
			p.markLeaving(&p.runners[i])
		}
	}
}

func (p *planner) markLeaving(r *mfplacement.Runner) {
	r.State, r.LeavingSince = mfplacement.StateLeaving, p.nextGeneration
}

// schedulable reports whether runners may be placed on a host and stay there.
func schedulable(h *Host) bool {
	return h.Record.State == mfhost.StateServing && h.Listed == mothferry.HostLive && h.Reported
}

// addRunners places runners of a service until enough are on hosts that stay.
func (p *planner) addRunners(d mfdocument.Document) {
	have := 0
	for _, r := range p.runners {
		if r.Service == d.Service && active(r) && schedulable(p.hosts[r.Host]) {
			have++
		}
	}
	for range d.Share(p.input.Shard) - have {
		host := p.selectHost(d)
		if host == nil {
			p.unplaced[d.Service]++
			continue
		}
		p.created++
		p.runners = append(p.runners, mfplacement.Runner{
			Task:        p.taskID(d.Service),
			Service:     d.Service,
			Host:        host.Record.Host,
			State:       mfplacement.StateStarting,
			Resources:   d.Resources.Demand(),
			Slots:       d.Runner.Slots,
			Connections: d.Runner.Connections,
		})
		p.reserved[host.Record.Host] = p.reserved[host.Record.Host].Add(d.Resources.Demand())
	}
}

// taskID makes a task id. The generation is used by one write only, so no
// other plan ever makes the same id.
func (p *planner) taskID(service mothferry.ServiceID) mothferry.TaskID {
	s := p.input.Shard
	return mothferry.TaskID(fmt.Sprintf("%s.%s.%s.%d.%d", service, s.DataCentre, s.Pool, p.nextGeneration, p.created))
}

func active(r mfplacement.Runner) bool {
	return r.State == mfplacement.StateStarting || r.State == mfplacement.StateServing
}

// selectHost returns the host for one more runner of a service, nil if none has room.
func (p *planner) selectHost(d mfdocument.Document) *Host {
	onRack := map[mothferry.RackID]int{}
	onHost := map[mothferry.HostID]int{}
	for _, r := range p.runners {
		if r.Service == d.Service && active(r) {
			onHost[r.Host]++
			onRack[p.hosts[r.Host].Record.Rack]++
		}
	}
	var best *Host
	for _, id := range slices.Sorted(maps.Keys(p.hosts)) {
		h := p.hosts[id]
		if !schedulable(h) || !d.Resources.Demand().Fits(p.freeCapacity(h)) {
			continue
		}
		if best == nil || p.compareHosts(h, best, onRack, onHost) < 0 {
			best = h
		}
	}
	return best
}

func (p *planner) freeCapacity(h *Host) mothferry.Resources {
	return h.Record.Capacity.Sub(p.reserved[h.Record.Host])
}

func (p *planner) compareHosts(a, b *Host, onRack map[mothferry.RackID]int, onHost map[mothferry.HostID]int) int {
	return cmp.Or(
		cmp.Compare(p.failures[a.Record.Host], p.failures[b.Record.Host]),
		cmp.Compare(onRack[a.Record.Rack], onRack[b.Record.Rack]),
		cmp.Compare(onHost[a.Record.Host], onHost[b.Record.Host]),
		-cmp.Compare(p.freeCapacity(a).Cores, p.freeCapacity(b).Cores),
	)
}

// removeRunners lets runners of a service leave: those on hosts that stay beyond the
// share, and those on hosts being emptied. Of the latter one that serves may
// leave for each runner that serves beyond the share, so that a replacement
// comes first. A replacement that has not started to serve is not what is too
// many, though for a while there are more runners than the share.
func (p *planner) removeRunners(service mothferry.ServiceID, share int) {
	var staying, emptied []*mfplacement.Runner
	serving := 0
	for i := range p.runners {
		r := &p.runners[i]
		if r.Service != service || !active(*r) {
			continue
		}
		if r.State == mfplacement.StateServing {
			serving++
		}
		if schedulable(p.hosts[r.Host]) {
			staying = append(staying, r)
		} else {
			emptied = append(emptied, r)
		}
	}
	// Those that do not serve yet leave first, then the youngest.
	slices.SortStableFunc(staying, func(a, b *mfplacement.Runner) int {
		return compareBool(b.State == mfplacement.StateStarting, a.State == mfplacement.StateStarting)
	})
	for len(staying) > share {
		r := staying[len(staying)-1]
		staying = staying[:len(staying)-1]
		if r.State == mfplacement.StateServing {
			serving--
		}
		p.markLeaving(r)
	}
	for _, r := range emptied {
		switch {
		case r.State == mfplacement.StateStarting:
			p.markLeaving(r)
		case serving > share:
			serving--
			p.markLeaving(r)
		}
	}
}

// compareBool orders false after true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// stopQuiesced moves runners that no entry host uses any more to stopping.
func (p *planner) stopQuiesced() {
	for i, r := range p.runners {
		if r.State == mfplacement.StateLeaving && r.LeavingSince < p.nextGeneration && p.input.Quiesced(r) {
			p.runners[i].State = mfplacement.StateStopping
		}
	}
}

func (p *planner) services() []mothferry.ServiceID {
	names := map[mothferry.ServiceID]bool{}
	for _, r := range p.runners {
		names[r.Service] = true
	}
	return slices.Sorted(maps.Keys(names))
}

func (p *planner) output() Output {
	out := Output{
		Placement: mfplacement.Record{
			DataCentre: p.input.Shard.DataCentre, Pool: p.input.Shard.Pool,
			Epoch: p.input.Epoch, Generation: p.input.Previous.Generation,
			Revision: p.input.Revision, Runners: p.runners, Failures: p.failures,
		},
		Changed:  !slices.Equal(p.runners, p.input.Previous.Runners) || !maps.Equal(p.failures, p.input.Previous.Failures),
		Unplaced: p.unplaced,
	}
	if out.Changed {
		out.Placement.Generation = p.nextGeneration
	}
	out.Stops = p.stopOrphaned()
	for _, r := range p.runners {
		_, known := p.hosts[r.Host].Tasks[r.Task]
		switch {
		case r.State == mfplacement.StateStarting && !known:
			out.Starts = append(out.Starts, Start{Host: r.Host, Task: p.taskSpec(r)})
		case r.State == mfplacement.StateStopping && known:
			out.Stops = append(out.Stops, Stop{Host: r.Host, Task: r.Task})
		}
	}
	return out
}

// stopOrphaned returns the tasks that workers report and the plan does not hold:
// tasks are published before they are started, so these have been given up.
func (p *planner) stopOrphaned() []Stop {
	planned := map[mothferry.TaskID]bool{}
	for _, r := range p.runners {
		planned[r.Task] = true
	}
	var stops []Stop
	for _, id := range slices.Sorted(maps.Keys(p.hosts)) {
		for _, task := range slices.Sorted(maps.Keys(p.hosts[id].Tasks)) {
			if !planned[task] {
				stops = append(stops, Stop{Host: id, Task: task})
			}
		}
	}
	return stops
}

func (p *planner) taskSpec(r mfplacement.Runner) mothferry.TaskSpec {
	spec := mothferry.TaskSpec{Task: r.Task, Service: r.Service, Resources: r.Resources, Slots: r.Slots, Connections: r.Connections}
	for _, d := range p.input.Documents {
		if d.Service == r.Service {
			spec.Program = d.Program
		}
	}
	return spec
}
