package mfintake

import "mothferry"

// MarkUnresolved records that a write of a job may still be applied that a peer made, and that
// this host's own calls to the store do not show. The job is not refused then.
func (i *Intake) MarkUnresolved(id mothferry.JobID) { i.markUnresolved(id) }

// Unresolved reports whether a write of a job may still be applied.
func (i *Intake) Unresolved(id mothferry.JobID) bool { return i.isUnresolved(id) }
