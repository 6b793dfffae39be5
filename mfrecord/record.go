// Package mfrecord defines the layout of stored data: which rows of the store hold jobs,
// cancellations, progress and the ownership of a shard.
//
//	inbox    part inbox-NN  job/ID     a caller's submission; written once, deleted
//	                                  some seconds after the job has ended
//	                       cancel/ID  a caller's cancellation; written once
//	                       cancel-early/ID/ACCOUNT
//	                                  the cancellation, by a caller of an account, of a
//	                                  job that did not exist: no submission of such a
//	                                  job is written while the row exists; deleted by
//	                                  the owner some seconds later
//	progress part SHARD    ID         progress of the job; written only by the owner
//	log      part SHARD    number     progress of jobs changed since their own row
//	owner    part SHARD    head       the owner of the shard; rewritten by each of
//	                                  the owner's commits
//
// The inbox has its own parts so that entry hosts accepting jobs and the owner committing
// progress do not wait for each other.
package mfrecord

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"mothferry"
	"mothferry/mfshare"
)

// Tables of the store.
const (
	TableInbox    mothferry.TableID = "mothferry_inbox"
	TableProgress mothferry.TableID = "mothferry_progress"
	TableLog      mothferry.TableID = "mothferry_log"
	TableOwner    mothferry.TableID = "mothferry_owner"
)

// inboxParts is the number of parts of the inbox. A part runs its transactions one after
// another, so a store that is 60 times slower than usual runs four per second in each part.
// With 64 parts that is still four times the submission rate of a busy deployment; with a
// single part it would be a fifteenth of it. A new owner reads all parts.
const inboxParts = 64

// InboxPart returns the part that holds a job's inbox rows. It depends only on the ID, so that
// the same job submitted at two hosts maps to the same row.
func InboxPart(id mothferry.JobID) mothferry.PartID {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return mothferry.PartID(fmt.Sprintf("inbox-%02d", h.Sum32()%inboxParts))
}

// InboxParts returns all parts of the inbox.
func InboxParts() []mothferry.PartID {
	var parts []mothferry.PartID
	for i := range inboxParts {
		parts = append(parts, mothferry.PartID(fmt.Sprintf("inbox-%02d", i)))
	}
	return parts
}

// PartShard is the part of the only shard of a small deployment.
const PartShard mothferry.PartID = "shard-0"

// KeyHead is the key of the row that names the shard's owner.
const KeyHead mothferry.Key = "head"

// KeyMaxCores is the key of the row with the largest CPU share of any host.
const KeyMaxCores mothferry.Key = "strength"

const (
	prefixJob    = "job/"
	prefixCancel = "cancel/"

	prefixEarlyCancel = "cancel-early/"
)

// LogKey returns the key of a log row. Keys sort like their numbers.
func LogKey(number uint64) mothferry.Key { return mothferry.Key(fmt.Sprintf("%016x", number)) }

// LogNumber returns the number of a log row.
func LogNumber(k mothferry.Key) (uint64, error) {
	number, err := strconv.ParseUint(string(k), 16, 64)
	return number, trace.Wrap(err)
}

// JobKey returns the inbox key of a job.
func JobKey(id mothferry.JobID) mothferry.Key { return mothferry.Key(prefixJob + string(id)) }

// CancelKey returns the inbox key of a job's cancellation.
func CancelKey(id mothferry.JobID) mothferry.Key { return mothferry.Key(prefixCancel + string(id)) }

// EarlyCancelKey returns the inbox key of the cancellation of a job that did not exist, by a caller of
// an account.
func EarlyCancelKey(id mothferry.JobID, account mothferry.AccountID) mothferry.Key {
	return mothferry.Key(prefixEarlyCancel + string(id) + "/" + url.QueryEscape(string(account)))
}

// EarlyCancelOf returns the job and the account of an early cancellation's inbox key, or false for
// another kind of key.
func EarlyCancelOf(k mothferry.Key) (mothferry.JobID, mothferry.AccountID, bool) {
	rest, ok := strings.CutPrefix(string(k), prefixEarlyCancel)
	id, escaped, hasAccount := strings.Cut(rest, "/")
	account, err := url.QueryUnescape(escaped)
	return mothferry.JobID(id), mothferry.AccountID(account), ok && hasAccount && err == nil
}

// JobOf returns the job of a job's inbox key, or false for another kind of key.
func JobOf(k mothferry.Key) (mothferry.JobID, bool) {
	id, ok := strings.CutPrefix(string(k), prefixJob)
	return mothferry.JobID(id), ok
}

// CancelOf returns the job of a cancellation's inbox key, or false for another kind of key.
func CancelOf(k mothferry.Key) (mothferry.JobID, bool) {
	id, ok := strings.CutPrefix(string(k), prefixCancel)
	return mothferry.JobID(id), ok
}

// headFormat is the version of the stored form of Head. Format 1 has no ages for machine
// calls. Before format 3 there was no log, which an owner must read.
const headFormat = 3

// Head is the row that names the shard's owner. Each commit of the owner checks and rewrites
// it. The commit thus also renews the owner's lease, commits are serialized, and a commit
// whose answer was lost can't take effect after a later one.
type Head struct {
	// Holder is the owner; empty if it released the shard.
	Holder mothferry.DaemonID
	Epoch  mothferry.Epoch
	// Cores is the holder's CPU share.
	Cores mothferry.Millicores
	// LeaseTail is how long after the commit that wrote the row worker leases requested by
	// this owner may still run.
	LeaseTail time.Duration
	// Token identifies the commit that wrote the row.
	Token mothferry.Token
	// PendingKnown reports whether Pending is valid. A new owner does not count pending jobs
	// before it has read all jobs.
	PendingKnown bool
	// Pending is the number of accepted jobs of each queue that have not started.
	Pending map[mothferry.QueueID]int
	// EstimatedWaits is how long new work would wait in each service.
	EstimatedWaits map[mothferry.ServiceID]time.Duration
	// AdviceWait is how long a step that is ready now would wait for the adviser.
	AdviceWait time.Duration
	// Shares is the published part of the allocation of capacity to client accounts: the
	// longest waits. It is nil if capacity is not divided among accounts.
	Shares mfshare.Allocation
	// MaxCapacity is the maximum of each resource over all machines; zero while the owner has
	// not listed machines.
	MaxCapacity mothferry.Resources
	// LongestWorkerID is the length of the longest id of a worker, as stored; zero while no worker
	// has answered the owner.
	LongestWorkerID int
	// CallAges holds the machines for which this owner or the previous one may recently have
	// called the platform, and how long before this commit; negative for calls that may still
	// be sent. An owner sends a call only after the commit that names it is stored.
	CallAges map[mothferry.MachineID]time.Duration
	// CalledBy names the calling daemon of machines in CallAges that the holder itself did not
	// call for.
	CalledBy map[mothferry.MachineID]mothferry.DaemonID
	// ReadAt is when this host read the row, FirstReadAt when it first read this version of
	// it. Neither is stored.
	ReadAt, FirstReadAt time.Time
}

type storedHead struct {
	Format  int                           `json:"format"`
	Holder  mothferry.DaemonID            `json:"holder"`
	Epoch   mothferry.Epoch               `json:"epoch"`
	Cores   mothferry.Millicores          `json:"cores"`
	TailMs  int64                         `json:"lease_tail_ms"`
	Token   mothferry.Token               `json:"token"`
	Counted bool                          `json:"counted,omitempty"`
	Pending map[mothferry.QueueID]int     `json:"pending,omitempty"`
	WaitMs  map[mothferry.ServiceID]int64 `json:"wait_ms,omitempty"`
	// AdviceWaitMs is missing if steps do not wait.
	AdviceWaitMs int64 `json:"advice_wait_ms,omitempty"`
	// Shares is missing if capacity is not divided among accounts, and empty if nothing waits.
	Shares  *storedShares        `json:"shares,omitempty"`
	Largest *mothferry.Resources `json:"largest,omitempty"`
	// LongestWorkerID is missing if it is zero.
	LongestWorkerID int `json:"longest_worker_id,omitempty"`
	// CalledMs replaced Called in format 2.
	Called   []mothferry.MachineID                      `json:"called,omitempty"`
	CalledMs map[mothferry.MachineID]int64              `json:"called_ms,omitempty"`
	CalledBy map[mothferry.MachineID]mothferry.DaemonID `json:"called_by,omitempty"`
}

// ErrNewerHead reports a head row in an unsupported, newer format: the shard's owner runs a
// newer version.
type ErrNewerHead struct{ Format int }

// Error implements error.
func (e *ErrNewerHead) Error() string {
	return "decode head row: the shard's owner runs a newer version"
}

// CallingDaemon returns the daemon that called the platform for a machine in CallAges; empty
// if the holder did and has released the shard since.
func (h Head) CallingDaemon(machine mothferry.MachineID) mothferry.DaemonID {
	if by, other := h.CalledBy[machine]; other {
		return by
	}
	return h.Holder
}

// Encode returns the stored form.
func (h Head) Encode() ([]byte, error) {
	stored := storedHead{
		Format: headFormat, Holder: h.Holder, Epoch: h.Epoch, Cores: h.Cores,
		TailMs: h.LeaseTail.Milliseconds(), Token: h.Token, Counted: h.PendingKnown, Pending: h.Pending, CalledBy: h.CalledBy,
		CalledMs: map[mothferry.MachineID]int64{}, WaitMs: map[mothferry.ServiceID]int64{},
		AdviceWaitMs: h.AdviceWait.Milliseconds(), LongestWorkerID: h.LongestWorkerID,
	}
	for service, wait := range h.EstimatedWaits {
		stored.WaitMs[service] = wait.Milliseconds()
	}
	if h.Shares != nil {
		stored.Shares = encodeShares(h.Shares)
	}
	if h.MaxCapacity != (mothferry.Resources{}) {
		stored.Largest = &h.MaxCapacity
	}
	for machine, age := range h.CallAges {
		stored.CalledMs[machine] = age.Milliseconds()
	}
	data, err := json.Marshal(stored)
	return data, trace.Wrap(err)
}

// DecodeHead decodes the stored form.
func DecodeHead(data []byte) (Head, error) {
	var s storedHead
	if err := json.Unmarshal(data, &s); err != nil {
		return Head{}, trace.Wrap(err)
	}
	if s.Format > headFormat {
		return Head{}, &ErrNewerHead{s.Format}
	}
	h := Head{
		Holder: s.Holder, Epoch: s.Epoch, Cores: s.Cores, LeaseTail: time.Duration(s.TailMs) * time.Millisecond,
		Token: s.Token, PendingKnown: s.Counted, Pending: s.Pending, CalledBy: s.CalledBy,
		CallAges: map[mothferry.MachineID]time.Duration{}, EstimatedWaits: map[mothferry.ServiceID]time.Duration{},
		AdviceWait: time.Duration(s.AdviceWaitMs) * time.Millisecond, LongestWorkerID: s.LongestWorkerID,
	}
	for service, ms := range s.WaitMs {
		h.EstimatedWaits[service] = time.Duration(ms) * time.Millisecond
	}
	if s.Shares != nil {
		h.Shares = s.Shares.decode()
	}
	if s.Largest != nil {
		h.MaxCapacity = *s.Largest
	}
	for _, machine := range s.Called {
		h.CallAges[machine] = 0
	}
	for machine, ms := range s.CalledMs {
		h.CallAges[machine] = time.Duration(ms) * time.Millisecond
	}
	return h, nil
}
