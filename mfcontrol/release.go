package mfcontrol

import (
	"context"
	"slices"

	"github.com/gravitational/trace"

	"mothferry"
	"mothferry/mfhost"
	"mothferry/mflease"
	"mothferry/mfplace"
	"mothferry/mfplacement"
)

// hostRow is a host's record and the version of its row.
type hostRow struct {
	record  mfhost.Record
	version mothferry.Version
}

// anyMoving reports whether a host is on its way out of the pool.
func anyMoving(hosts []mfplace.Host) bool {
	return slices.ContainsFunc(hosts, func(h mfplace.Host) bool { return h.Record.MoveTo != "" })
}

// releaseEmptyHosts gives hosts to the pools that they move to, once no runner is
// placed there and the worker reports no task. The transaction checks the
// shard's row and the host's: neither a holder that was taken over nor one
// that missed an operator's change can release a host.
func (c *Controller) releaseEmptyHosts(ctx context.Context, h mflease.Holding, hosts []mfplace.Host, out mfplace.Output) error {
	for _, k := range hosts {
		if k.Record.MoveTo == "" || !k.Reported || len(k.Tasks) > 0 || out.Changed || hasRunnerOn(out.Placement, k.Record.Host) {
			continue
		}
		if err := c.releaseHost(ctx, h, k.Record); err != nil {
			return err
		}
	}
	return nil
}

func hasRunnerOn(p mfplacement.Record, host mothferry.HostID) bool {
	return slices.ContainsFunc(p.Runners, func(r mfplacement.Runner) bool { return r.Host == host })
}

func (c *Controller) releaseHost(ctx context.Context, h mflease.Holding, r mfhost.Record) error {
	i := slices.IndexFunc(c.hosts, func(k hostRow) bool { return k.record.Host == r.Host })
	if i < 0 || !c.Leases.Valid(h.Fence) {
		return nil
	}
	txn, err := r.Released().Txn(c.hosts[i].version)
	if err != nil {
		return err
	}
	txn.Checks = append(txn.Checks, h.Check)
	if _, err := c.Platform.Table.Commit(ctx, txn); err != nil {
		// Whether it took effect shows in the host's row, which is read anew.
		c.hostsLoaded = false
		return trace.Wrap(err)
	}
	c.Log.WithField("host", r.Host).WithField("from", r.Pool).WithField("to", r.MoveTo).Info("Host is released.")
	return nil
}
