package mfforward

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfaccount"
	"mothferry/mfclock"
	"mothferry/mfintake"
	"mothferry/mfjob"
	"mothferry/mflog"
	"mothferry/mfqueue"
	"mothferry/mfrecord"
	"mothferry/mfstandin"
)

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// startPeer starts a server whose store is well.
func startPeer(t *testing.T, rows mothferry.RowStore, config *mfqueue.Config) *Server {
	t.Helper()
	health := &Health{}
	now := time.Now()
	health.Begin(now)(nil, now)
	s := &Server{
		Address: freeAddress(t), Store: rows, Health: health, Clock: mfclock.System{}, Log: mflog.Discard(),
		Intake: &mfintake.Intake{Store: rows, Clock: mfclock.System{}, Random: mfclock.SystemRandom{}, Log: mflog.Discard()},
		Config: func() *mfqueue.Config { return config },
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = s.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return s
}

// startClient starts a client that knows peers by their addresses.
func startClient(t *testing.T, addresses ...string) *Client {
	t.Helper()
	c := &Client{Daemon: "own", DataCentre: "a", Health: &Health{}, Clock: mfclock.System{}, Log: mflog.Discard()}
	var hosts []mfrecord.Host
	for i, address := range addresses {
		hosts = append(hosts, mfrecord.Host{Daemon: mothferry.DaemonID(fmt.Sprint("peer-", i)), DataCentre: "a", Forward: address})
	}
	c.SetHosts(hosts)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = c.Run(ctx) }()
	for {
		c.mutex.Lock()
		begun := c.ctx != nil
		c.mutex.Unlock()
		if begun {
			return c
		}
		time.Sleep(time.Millisecond)
	}
}

func newSubmission(queue mothferry.QueueID, account mothferry.AccountID) mfjob.Submission {
	return mfjob.Submission{
		Queue: queue, Service: "s", Account: account, Spec: "x",
		Steps: []mfjob.Step{{Count: 1, Need: mothferry.Resources{Cores: 500}, Estimate: time.Second}},
	}
}

// Failure guarded against: a key or a queue that was taken away goes on at a host that the store turns away, which hears of no new config.
func TestPeerChecksKeyAndQueueByNewerConfig(t *testing.T) {
	accounts := mfaccount.NewDirectory()
	accounts.Add(mfaccount.Account{ID: "one"}, "kept")
	config := &mfqueue.Config{Version: 7, Queues: []mfqueue.Queue{{ID: "q", Service: "s"}}, Accounts: accounts}
	rows := &mfstandin.Rows{}
	s := startPeer(t, rows, config)
	c := startClient(t, s.Address)
	kept, gone := mfaccount.DigestOf("kept"), mfaccount.DigestOf("gone")
	for i, k := range []struct {
		queue  mothferry.QueueID
		key    *mfaccount.Digest
		config mothferry.Version
		want   mfintake.Outcome
	}{
		{"q", &kept, 5, mfintake.OutcomeDone},
		{"q", &gone, 5, OutcomeNoKey},
		{"gone", &kept, 5, mfintake.OutcomeNotRun},
		// The peer has not heard of the config by which these were found.
		{"q", &gone, 8, mfintake.OutcomeDone},
		{"gone", &kept, 8, mfintake.OutcomeDone},
	} {
		id := mothferry.JobID(fmt.Sprintf("%016x", i))
		a := c.Forward(context.Background(), Call{Caller: Caller{Account: "one", Key: k.key, Config: k.config}, Kind: KindAccept, Job: id, Submission: newSubmission(k.queue, "one")})
		assert.Equal(t, a.Outcome, k.want, "call %d", i)
		page, err := rows.Range(context.Background(), mothferry.RowRange{Table: mfrecord.TableInbox, Part: mfrecord.InboxPart(id), From: mfrecord.JobKey(id), To: mfrecord.JobKey(id) + "\x00"})
		assert.NilError(t, err)
		assert.Equal(t, len(page.Rows) == 1, k.want == mfintake.OutcomeDone, "call %d", i)
	}
}

// Failure guarded against: a peer that stands still holds callers for as long as they wait, and a look-up is not made elsewhere.
func TestUnresponsivePeerTimesOut(t *testing.T) {
	still, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer still.Close()
	rows := &mfstandin.Rows{}
	s := startPeer(t, rows, nil)
	for _, kind := range []Kind{KindAccept, KindState, KindCancel} {
		c := startClient(t, still.Addr().String())
		c.ensurePeers().RecordStatus("peer-0", true, time.Now())
		began := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		a := c.Forward(ctx, Call{Kind: kind, Job: "0000000000000001", Submission: newSubmission("q", "")})
		assert.Equal(t, a.Outcome, mfintake.OutcomeUnknown)
		assert.Assert(t, time.Since(began) < heartbeatInterval+heartbeatTimeout+300*time.Millisecond, "%s took %v", kind, time.Since(began))
		cancel()
	}
	c := startClient(t, still.Addr().String(), s.Address)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	a := c.Forward(ctx, Call{Kind: KindState, Job: "0000000000000001"})
	assert.Equal(t, a.Outcome, mfintake.OutcomeNoJob)
}

// Failure guarded against: a host passes on more than it may, or a job that a peer can't read.
func TestCallsBeyondTheLimitAreRefused(t *testing.T) {
	s := startPeer(t, &mfstandin.Rows{}, nil)
	c := startClient(t, s.Address)
	large := newSubmission("q", "")
	large.Spec = string(make([]byte, maxSubmissionBytes))
	a := c.Forward(context.Background(), Call{Kind: KindAccept, Job: "0000000000000001", Submission: large})
	assert.Equal(t, a.Outcome, OutcomeLimit)
	for range maxCalls {
		assert.Assert(t, c.beginCall(0))
	}
	a = c.Forward(context.Background(), Call{Kind: KindAccept, Job: "0000000000000001", Submission: newSubmission("q", "")})
	assert.Equal(t, a.Outcome, OutcomeLimit)
	for range maxCalls {
		c.endCall(0)
	}
	s.openCalls.Store(maxServedCalls)
	a = c.Forward(context.Background(), Call{Kind: KindAccept, Job: "0000000000000001", Submission: newSubmission("q", "")})
	assert.Equal(t, a.Outcome, OutcomeLimit)
	s.openCalls.Store(0)
	a = c.Forward(context.Background(), Call{Kind: KindAccept, Job: "0000000000000001", Submission: newSubmission("q", "")})
	assert.Equal(t, a.Outcome, mfintake.OutcomeDone)
}

// Failure guarded against: giving the shard up comes late, and takes it from its next owner, or gives it to somebody.
func TestLateReleaseChangesNothing(t *testing.T) {
	rows := &mfstandin.Rows{}
	s := startPeer(t, rows, nil)
	c := startClient(t, s.Address)
	put := func(holder mothferry.DaemonID, at mothferry.Version) mothferry.Version {
		value, err := mfrecord.Head{Holder: holder, Epoch: 3}.Encode()
		assert.NilError(t, err)
		version, err := rows.Commit(context.Background(), mothferry.Txn{
			Checks: []mothferry.Check{{Table: mfrecord.TableOwner, Part: mfrecord.PartShard, Key: mfrecord.KeyHead, Version: at}},
			Writes: []mothferry.Write{{Table: mfrecord.TableOwner, Part: mfrecord.PartShard, Key: mfrecord.KeyHead, Value: value}},
		})
		assert.NilError(t, err)
		return version
	}
	first := put("own", 0)
	assert.Assert(t, !c.Release(context.Background(), mfrecord.Head{Holder: "own", Epoch: 3}, first), "a head with a holder is malformed")
	next := put("other", first)
	assert.Assert(t, !c.Release(context.Background(), mfrecord.Head{Epoch: 3}, first))
	assert.Assert(t, c.Release(context.Background(), mfrecord.Head{Epoch: 3}, next))
}
