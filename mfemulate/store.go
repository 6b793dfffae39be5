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

// maxTxnRows is the largest number of rows that one transaction of the store may write.
const maxTxnRows = 100

// restore rewrites the head of the shard for a new owner, which fences previous owners off
// from the store, and returns their stored progress.
func (o *owner) restore() map[mothferry.JobID]mfjob.Progress {
	w := o.world
	for _, r := range w.storedRows(mfrecord.TableOwner) {
		o.headVersion = r.Version
	}
	if !o.writeHead(nil) {
		w.violation("rewrite head: commit failed")
	}
	log := w.storedRows(mfrecord.TableLog)
	if len(log) == 0 {
		w.Stats.EmptyLogs++
	}
	newest, journal, err := mfjournal.Read(w.storedRows(mfrecord.TableProgress), log)
	if err != nil {
		w.violation("restore shard: %v", err)
	}
	o.journal = journal
	return newest
}

// storedRows returns a table's rows of the shard.
func (w *World) storedRows(table mothferry.TableID) []mothferry.Row {
	page, err := w.rows.Range(context.Background(), mothferry.RowRange{Table: table, Part: mfrecord.PartShard})
	if err != nil {
		w.violation("read table %s: %v", table, err)
	}
	return page.Rows
}

// writeHead rewrites the head together with other rows. It reports whether this owner still
// owns the shard.
func (o *owner) writeHead(rows []mothferry.Write) bool {
	w := o.world
	txn := mothferry.Txn{
		Checks: []mothferry.Check{{Table: mfrecord.TableOwner, Part: mfrecord.PartShard, Key: mfrecord.KeyHead, Version: o.headVersion}},
		Writes: append([]mothferry.Write{{Table: mfrecord.TableOwner, Part: mfrecord.PartShard, Key: mfrecord.KeyHead, Value: o.encodeHead()}}, rows...),
	}
	if len(txn.Writes) > maxTxnRows {
		w.violation("a transaction writes %d rows", len(txn.Writes))
	}
	version, err := w.rows.Commit(context.Background(), txn)
	if err != nil {
		return false
	}
	// Nothing follows the changes.
	w.rows.DropHistory()
	o.headVersion, w.headStoredAt = version, w.now
	return true
}

// commit stores progress if this owner still owns the shard.
func (o *owner) commit(c mfsched.Commit, rows []mothferry.Write) {
	w := o.world
	if o.partitioned {
		// The owner gets no answer and retries in vain.
		return
	}
	delay := commitDelay/2 + w.delay(w.Late.Commit, w.Late.CommitBy)
	if !o.writeHead(rows) {
		if w.Late.enabled() {
			w.after(delay, func() { o.doFrom(&o.deferredCommits, func() { o.dead = true }) })
			return
		}
		o.dead = true
		return
	}
	w.checkSizes(rows)
	maps.Copy(w.committed, c.Progress)
	w.recordStoredStates(rows)
	o.lastCommitAt = w.now
	if w.chance(w.Faults.LoseCommitAnswer) {
		delay += callTimeout
	}
	w.after(delay, func() { o.doFrom(&o.deferredCommits, func() { o.step(mfsched.CommitDone{Number: c.Number}) }) })
}

// maxCommitRows is how many rows a commit may have besides the head.
const maxCommitRows = 98

// checkSizes checks a commit against what stores of current deployments take.
func (w *World) checkSizes(rows []mothferry.Write) {
	if len(rows) > maxCommitRows {
		w.violation("a commit has %d rows", len(rows))
	}
	for _, r := range rows {
		if len(r.Value) > int(mfjournal.DefaultMaxRow) {
			w.violation("row %s of table %s has %d bytes", r.Key, r.Table, len(r.Value))
		}
	}
}

// recordStoredStates records the job states that callers can read after a commit: those in the
// jobs' own rows.
func (w *World) recordStoredStates(rows []mothferry.Write) {
	for _, r := range rows {
		if r.Table != mfrecord.TableProgress {
			continue
		}
		p, err := mfjob.DecodeProgress(r.Value)
		if err != nil {
			w.violation("decode progress of job %s: %v", r.Key, err)
			continue
		}
		w.recordState(mothferry.JobID(r.Key), p.State)
	}
}
