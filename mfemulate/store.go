package mfemulate

import (
	"context"
	"maps"

	"mothferry"
	"mothferry/mfjob"
	"mothferry/mfjournal"
	"mothferry/mfrecord"
	"mothferry/mfsched"
)

// maxTxnRows is how many rows one transaction of the store writes at most.
const maxTxnRows = 100

// restore rewrites the head of the shard for a new owner, which keeps earlier ones from
// storing anything more, and reads what they have stored.
func (o *owner) restore() map[mothferry.JobID]mfjob.Progress {
	w := o.world
	for _, r := range w.storedRows(mfrecord.TableOwner) {
		o.headVersion = r.Version
	}
	if !o.writeHead(nil) {
		w.violation("the head can't be rewritten")
	}
	log := w.storedRows(mfrecord.TableLog)
	if len(log) == 0 {
		w.Stats.EmptyLogs++
	}
	newest, journal, err := mfjournal.Read(w.storedRows(mfrecord.TableProgress), log)
	if err != nil {
		w.violation("the shard can't be read: %v", err)
	}
	o.journal = journal
	return newest
}

// storedRows returns a table's rows of the shard.
func (w *World) storedRows(table mothferry.TableID) []mothferry.Row {
	page, err := w.rows.Range(context.Background(), mothferry.RowRange{Table: table, Part: mfrecord.PartShard})
	if err != nil {
		w.violation("table %s can't be read: %v", table, err)
	}
	return page.Rows
}

// writeHead rewrites the head together with other rows. It reports whether the shard is still
// this owner's.
func (o *owner) writeHead(rows []mothferry.Write) bool {
	w := o.world
	txn := mothferry.Txn{
		Checks: []mothferry.Check{{Table: mfrecord.TableOwner, Part: mfrecord.PartShard, Key: mfrecord.KeyHead, Version: o.headVersion}},
		Writes: append([]mothferry.Write{{Table: mfrecord.TableOwner, Part: mfrecord.PartShard, Key: mfrecord.KeyHead, Value: o.encodeHead()}}, rows...),
	}
	if len(txn.Writes) > maxTxnRows {
		w.violation("a transaction has %d entries", len(txn.Writes))
	}
	version, err := w.rows.Commit(context.Background(), txn)
	if err != nil {
		return false
	}
	// Nothing follows the changes.
	w.rows.DropHistory()
	o.headVersion = version
	return true
}

// commit stores progress if the shard is still this owner's.
func (o *owner) commit(c mfsched.Commit, rows []mothferry.Write) {
	w := o.world
	if o.partitioned {
		// No answer: the owner goes on asking, in vain.
		return
	}
	if !o.writeHead(rows) {
		o.dead = true
		return
	}
	maps.Copy(w.committed, c.Progress)
	w.recordStoredStates(rows)
	o.lastCommitAt = w.now
	delay := commitDelay / 2
	if w.chance(w.Faults.LoseCommitAnswer) {
		delay += callTimeout
	}
	w.after(delay, func() { o.do(func() { o.step(mfsched.CommitDone{Number: c.Number}) }) })
}

// recordStoredStates takes in what callers can read from now on: the jobs' own rows.
func (w *World) recordStoredStates(rows []mothferry.Write) {
	for _, r := range rows {
		if r.Table != mfrecord.TableProgress {
			continue
		}
		p, err := mfjob.DecodeProgress(r.Value)
		if err != nil {
			w.violation("job %s can't be read: %v", r.Key, err)
			continue
		}
		w.recordState(mothferry.JobID(r.Key), p.State)
	}
}
