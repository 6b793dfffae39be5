package mfintake

import "mothferry"

// MarkUnresolved remembers that a write of a job may still be made that this host's own
// calls to the store know nothing of, as a peer made it. The job is not refused then.
func (i *Intake) MarkUnresolved(id mothferry.JobID) { i.markUnresolved(id) }

// Unresolved reports whether a write of a job may still be made.
func (i *Intake) Unresolved(id mothferry.JobID) bool { return i.isUnresolved(id) }
