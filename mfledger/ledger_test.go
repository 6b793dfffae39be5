package mfledger

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"pgregory.net/rapid"

	"mothferry"
	"mothferry/mfclock"
	"mothferry/mffake"
	"mothferry/mflog"
)

// startLedger returns a running ledger.
func startLedger(t testing.TB, table mothferry.Table, clock mothferry.Clock) *Ledger {
	t.Helper()
	l := &Ledger{
		Table: table, Clock: clock, Retention: time.Hour, MaxRecordBytes: 100,
		NewToken: func() mothferry.Token { return mothferry.Token(rand.Text()) }, Log: mflog.Discard(),
	}
	l.Prepare()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = l.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return l
}

func key(name string) Key { return Key{Customer: "c", Service: "s", Key: name} }

func inOneHour() time.Time { return time.Now().Add(time.Hour) }

// assertRefused asserts that a claim is refused for a reason.
func assertRefused(t *testing.T, l *Ledger, k Key, digest Digest, reason mothferry.Reason) {
	t.Helper()
	_, _, err := l.Claim(t.Context(), k, digest, inOneHour())
	var taken *ErrKeyClaimed
	assert.Assert(t, errors.As(err, &taken), "%v", err)
	assert.Equal(t, taken.Reason, reason)
}

// waitForRefusal waits until a claim is refused for a reason, as its record is
// written in the background.
func waitForRefusal(t *testing.T, l *Ledger, k Key, reason mothferry.Reason) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		_, _, err := l.Claim(t.Context(), k, "d", inOneHour())
		var taken *ErrKeyClaimed
		if errors.As(err, &taken) && taken.Reason == reason {
			return poll.Success()
		}
		return poll.Continue("%v", err)
	}, poll.WithTimeout(time.Minute))
}

func TestClaimAndEnds(t *testing.T) {
	table := mffake.NewTable(mfclock.System{})
	one, two := startLedger(t, table, mfclock.System{}), startLedger(t, table, mfclock.System{})
	claim, recorded, err := one.Claim(t.Context(), key("k"), "d", inOneHour())
	assert.NilError(t, err)
	assert.Assert(t, recorded == nil)
	assertRefused(t, two, key("k"), "d", mothferry.ReasonStillRunning)
	assertRefused(t, two, key("k"), "other", mothferry.ReasonKeyMismatch)
	_, _, err = two.Claim(t.Context(), Key{Customer: "d", Service: "s", Key: "k"}, "other", inOneHour())
	assert.NilError(t, err, "another customer's key is another request")
	one.RecordAnswer(t.Context(), claim, Answer{Status: 201, Body: []byte("made")})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, recorded, _ := two.Claim(t.Context(), key("k"), "d", inOneHour()); recorded != nil && string(recorded.Body) == "made" && recorded.Status == 201 {
			return poll.Success()
		}
		return poll.Continue("not recorded")
	}, poll.WithTimeout(time.Minute))

	claim, _, err = one.Claim(t.Context(), key("large"), "d", inOneHour())
	assert.NilError(t, err)
	one.RecordAnswer(t.Context(), claim, Answer{Body: make([]byte, 101)})
	waitForRefusal(t, two, key("large"), mothferry.ReasonAnswerTooLarge)

	claim, _, err = one.Claim(t.Context(), key("lost"), "d", inOneHour())
	assert.NilError(t, err)
	one.RecordUnknown(t.Context(), claim)
	waitForRefusal(t, two, key("lost"), mothferry.ReasonOutcomeUnknown)

	claim, _, err = one.Claim(t.Context(), key("again"), "d", inOneHour())
	assert.NilError(t, err)
	one.ReleaseClaim(t.Context(), claim)
	_, _, err = two.Claim(t.Context(), key("again"), "d", inOneHour())
	assert.NilError(t, err, "a request that did not run may be sent again")

	_, _, err = one.Claim(t.Context(), key("dead"), "d", time.Now().Add(-time.Second))
	assert.NilError(t, err)
	assertRefused(t, two, key("dead"), "d", mothferry.ReasonOutcomeUnknown)
}

// TestClaimSurvivesLostReply: symptom, a keyed request is told "still running" by its
// own claim. Sequence: the table writes the claim, its reply is lost, the
// ledger tries again and finds the row taken. Cause: without the token the
// ledger cannot tell its own write from another's.
func TestClaimSurvivesLostReply(t *testing.T) {
	table := mffake.NewTable(mfclock.System{})
	l := startLedger(t, table, mfclock.System{})
	table.LoseReplies(1)
	claim, _, err := l.Claim(t.Context(), key("k"), "d", inOneHour())
	assert.NilError(t, err)
	l.ReleaseClaim(t.Context(), claim)
	_, _, err = l.Claim(t.Context(), key("k"), "d", inOneHour())
	assert.NilError(t, err)
}

// TestUnconfirmedClaimIsWithdrawn: symptom, a request that was refused because the ledger
// could not be reached stays "still running" until its key expires. Sequence:
// the claim is written, both replies are lost, the request is refused as not
// run, its caller comes back. Cause: the claim of a request that was never
// sent has to be taken back.
func TestUnconfirmedClaimIsWithdrawn(t *testing.T) {
	table := mffake.NewTable(mfclock.System{})
	l := startLedger(t, table, mffake.InstantClock{})
	table.LoseReplies(1)
	ctx, cancel := context.WithCancel(t.Context())
	lost := &cancellingTable{Table: table, cancel: cancel}
	l.Table = lost
	_, _, err := l.Claim(ctx, key("k"), "d", inOneHour())
	assert.Assert(t, err != nil)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, _, err := l.Claim(t.Context(), key("k"), "d", inOneHour()); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute))
}

// cancellingTable cancels the caller's context with the first commit, so that the
// claim's outcome does not reach it.
type cancellingTable struct {
	mothferry.Table
	cancel context.CancelFunc
}

func (l *cancellingTable) Commit(ctx context.Context, txn mothferry.Txn) (mothferry.Version, error) {
	l.cancel()
	return l.Table.Commit(ctx, txn)
}

// TestLateDeleteKeepsNewClaim: symptom, a keyed request runs twice. Sequence:
// a claim is given back, the delete's reply is lost and it is sent again; in
// between the caller's repeat claims the key and runs; the second delete
// removes that claim; a third repeat claims and runs too. Cause: a delete that
// does not name the version it means.
func TestLateDeleteKeepsNewClaim(t *testing.T) {
	table := mffake.NewTable(mfclock.System{})
	one, two := startLedger(t, table, mfclock.System{}), startLedger(t, table, mfclock.System{})
	claim, _, err := one.Claim(t.Context(), key("k"), "d", inOneHour())
	assert.NilError(t, err)
	one.ReleaseClaim(t.Context(), claim)
	_, _, err = two.Claim(t.Context(), key("k"), "d", inOneHour())
	assert.NilError(t, err)
	one.ReleaseClaim(t.Context(), claim)
	assertRefused(t, one, key("k"), "d", mothferry.ReasonStillRunning)
}

// TestGroupCommit: many claims at once share transactions, and one conflict
// among them harms no other.
func TestGroupCommit(t *testing.T) {
	table := &gatedTable{Table: mffake.NewTable(mfclock.System{}), opened: make(chan struct{})}
	l := startLedger(t, table, mfclock.System{})
	table.ungated.Store(true)
	_, _, err := l.Claim(t.Context(), key("k-7"), "d", inOneHour())
	assert.NilError(t, err)
	table.ungated.Store(false)
	before := table.Commits()
	var group sync.WaitGroup
	const claims = 500
	for i := range claims {
		group.Go(func() {
			_, _, err := l.Claim(t.Context(), key(fmt.Sprint("k-", i)), "d", inOneHour())
			assert.Check(t, (err == nil) == (i != 7), "%d: %v", i, err)
		})
	}
	// No transaction ends before all claims wait, however slow the machine.
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if waiting := len(l.operations) + int(table.held.Load()); waiting < claims {
			return poll.Continue("%d wait", waiting)
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute))
	close(table.opened)
	group.Wait()
	commits := table.Commits() - before
	t.Logf("%d claims took %d commits", claims, commits)
	assert.Assert(t, commits < claims/5)
}

// gatedTable is a table whose commits wait until it is opened, unless they may pass.
type gatedTable struct {
	*mffake.Table
	ungated atomic.Bool
	opened  chan struct{}
	// held counts the writes that wait.
	held atomic.Int64
}

func (g *gatedTable) Commit(ctx context.Context, txn mothferry.Txn) (mothferry.Version, error) {
	if !g.ungated.Load() {
		g.held.Add(int64(len(txn.Writes)))
		<-g.opened
	}
	return g.Table.Commit(ctx, txn)
}

// slowTable is a table whose commits take as long as a real one's.
type slowTable struct{ *mffake.Table }

func (s *slowTable) Commit(ctx context.Context, txn mothferry.Txn) (mothferry.Version, error) {
	time.Sleep(2 * time.Millisecond)
	return s.Table.Commit(ctx, txn)
}

// historyStep is one step of a key's history as porcupine checks it: claim number id
// is made, given back by its holder, or withdrawn because its reply was lost.
type historyStep struct {
	id   int
	kind string
}

// singleHolderModel is the model of a key, whose state is the claim that holds it, 0
// for none. A claim that succeeded needs the key free; one refused as running
// needs it held; one without a reply may or may not have taken it.
var singleHolderModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{0} },
	Step: func(state, input, output any) []any {
		holder, _ := state.(int)
		in, _ := input.(historyStep)
		switch {
		case in.kind != "claim" && holder == in.id:
			return []any{0}
		case in.kind != "claim":
			return []any{holder}
		case output == "claimed" && holder == 0:
			return []any{in.id}
		case output == "running" && holder != 0:
			return []any{holder}
		case output == "no reply" && holder == 0:
			return []any{0, in.id}
		case output == "no reply":
			return []any{holder}
		}
		return nil
	},
}

// TestKeyHasOneHolder lets several ledgers claim and give back one key while replies
// and calls are lost, and checks the history: never two holders at a time.
func TestKeyHasOneHolder(t *testing.T) {
	mffake.Check(t, func(t *rapid.T) {
		table := mffake.NewTable(mfclock.System{})
		var ledgers []*Ledger
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		for range 3 {
			l := &Ledger{Table: table, Clock: mfclock.System{}, Retention: time.Hour, MaxRecordBytes: 1, NewToken: func() mothferry.Token { return mothferry.Token(rand.Text()) }, Log: mflog.Discard()}
			l.Prepare()
			go func() { _ = l.Run(ctx) }()
			ledgers = append(ledgers, l)
		}
		table.LoseReplies(rapid.IntRange(0, 3).Draw(t, "replies"))
		table.LoseCalls(rapid.IntRange(0, 3).Draw(t, "calls"))
		var mutex sync.Mutex
		var history []porcupine.Operation
		note := func(client int, in historyStep, out string, began, ended time.Time) {
			mutex.Lock()
			defer mutex.Unlock()
			history = append(history, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: began.UnixNano(), Return: ended.UnixNano()})
		}
		var group sync.WaitGroup
		for c := range 4 {
			group.Go(func() {
				for i := range 4 {
					id, began := 1+c*4+i, time.Now()
					l := ledgers[(c+i)%len(ledgers)]
					claim, _, err := l.Claim(ctx, key("k"), "d", inOneHour())
					var taken *ErrKeyClaimed
					switch {
					case err == nil:
						note(c, historyStep{id, "claim"}, "claimed", began, time.Now())
						began = time.Now()
						l.ReleaseClaim(ctx, claim)
						note(c, historyStep{id, "give back"}, "", began, time.Now())
					case errors.As(err, &taken):
						note(c, historyStep{id, "claim"}, "running", began, time.Now())
					default:
						// The write and its withdrawal may take effect at any later time.
						note(c, historyStep{id, "claim"}, "no reply", began, inOneHour())
						note(c, historyStep{id, "withdraw"}, "", began, inOneHour())
					}
				}
			})
		}
		group.Wait()
		model := singleHolderModel.ToModel()
		if !porcupine.CheckOperations(model, history) {
			t.Fatalf("history has two holders: %v", history)
		}
	})
}

// BenchmarkClaims measures keyed requests a second and the table's commits
// per thousand of them, with a table that takes 2 ms a commit.
func BenchmarkClaims(b *testing.B) {
	for _, callers := range []int{8, 16, 256} {
		b.Run(fmt.Sprint("callers=", callers), func(b *testing.B) {
			table := &slowTable{Table: mffake.NewTable(mfclock.System{})}
			l := startLedger(b, table, mfclock.System{})
			b.SetParallelism(max(callers/runtime.GOMAXPROCS(0), 1))
			var n sync.Map
			var mutex sync.Mutex
			count := 0
			b.RunParallel(func(p *testing.PB) {
				for p.Next() {
					mutex.Lock()
					count++
					k := key(fmt.Sprint(count))
					mutex.Unlock()
					claim, _, err := l.Claim(context.Background(), k, "d", inOneHour())
					if err != nil {
						b.Error(err)
						return
					}
					n.Store(k, true)
					l.ReleaseClaim(context.Background(), claim)
				}
			})
			b.ReportMetric(1000*float64(table.Commits())/float64(b.N), "commits/1000")
		})
	}
}
