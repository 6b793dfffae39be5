package mfrecord_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfrecord"
	"mothferry/mfshare"
)

func TestHeadRoundTrip(t *testing.T) {
	want := mfrecord.Head{
		Holder: "h-1", Epoch: 7, Cores: 400, LeaseTail: 8800 * time.Millisecond, Token: "h-1/1/2",
		Pending: map[mothferry.QueueID]int{"q": 3}, EstimatedWaits: map[mothferry.ServiceID]time.Duration{"s": time.Second}, AdviceWait: 2 * time.Second, LongestWorkerID: 12,
		CallAges: map[mothferry.MachineID]time.Duration{"m-1": 2 * time.Second}, MaxCapacity: mothferry.Resources{Cores: 16000, Memory: mothferry.Gibibyte},
	}
	data, err := want.Encode()
	assert.NilError(t, err)
	got, err := mfrecord.DecodeHead(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, want)
	_, err = mfrecord.DecodeHead([]byte(`{"format":4}`))
	assert.ErrorType(t, err, &mfrecord.ErrNewerHead{})
}

// A format 1 row lists the called machines without ages: they count as called at the time of
// the commit.
func TestDecodeHeadFormat1(t *testing.T) {
	got, err := mfrecord.DecodeHead([]byte(`{"format":1,"holder":"h-1","epoch":3,"called":["m-1"]}`))
	assert.NilError(t, err)
	assert.DeepEqual(t, got.CallAges, map[mothferry.MachineID]time.Duration{"m-1": 0})
}

func TestInboxPartIsListed(t *testing.T) {
	known := map[mothferry.PartID]bool{}
	for _, p := range mfrecord.InboxParts() {
		known[p] = true
	}
	for _, id := range []mothferry.JobID{"0000000000000000", "5c0e7a21d94b36f8", "ffffffffffffffff"} {
		assert.Assert(t, known[mfrecord.InboxPart(id)])
	}
}

// Guards against rows of older versions that can't be decoded, or that get an address at which
// nothing executes requests.
func TestDecodeHostWithoutForward(t *testing.T) {
	old, err := mfrecord.DecodeHost("h-1", []byte(`{"format":1,"data_centre":"a","address":"10.0.0.1:7060","cores":400}`))
	assert.NilError(t, err)
	assert.Equal(t, old, mfrecord.Host{Daemon: "h-1", DataCentre: "a", Address: "10.0.0.1:7060", Cores: 400})
	old.Forward = "10.0.0.1:7061"
	data, err := old.Encode()
	assert.NilError(t, err)
	decoded, err := mfrecord.DecodeHost("h-1", data)
	assert.NilError(t, err)
	assert.Equal(t, decoded, old)
}

// Guards against an allocation in the head row that takes more bandwidth than hosts' links
// have.
func TestStoredSharesAreCompact(t *testing.T) {
	s := mfshare.Allocation{}
	for a := range 230 {
		for p := range 121 {
			s[mfshare.Flow{Service: mothferry.ServiceID(fmt.Sprintf("service-%03d", p)), Account: mothferry.AccountID(fmt.Sprintf("account-%03d", a))}] = mfshare.FlowShare{
				Wait: time.Duration(1000+a*p) * time.Millisecond, Rate: 123.456, AcceptedRate: 98.765, MeanJobWork: 45.678, AtLimit: a%2 == 0,
			}
		}
	}
	published := s.Published(nil)
	without, err := mfrecord.Head{Holder: "h"}.Encode()
	assert.NilError(t, err)
	with, err := mfrecord.Head{Holder: "h", Shares: published}.Encode()
	assert.NilError(t, err)
	t.Logf("%d of %d entries take %d bytes", len(published), len(s), len(with)-len(without))
	assert.Assert(t, len(with)-len(without) < 14<<10)
	got, err := mfrecord.DecodeHead(with)
	assert.NilError(t, err)
	assert.DeepEqual(t, got.Shares, published)
	got, err = mfrecord.DecodeHead(without)
	assert.NilError(t, err)
	assert.Assert(t, got.Shares == nil, "an owner that does not divide capacity, or that runs an older version")
}

// Guards against an account whose name changes the key of its early cancellations.
func TestEarlyCancelKeysRoundTrip(t *testing.T) {
	for _, account := range []mothferry.AccountID{"", "label-1", "a/b %2F\n", "cancel-early/x"} {
		id, got, ok := mfrecord.EarlyCancelOf(mfrecord.EarlyCancelKey("5c0e7a21d94b36f8", account))
		assert.Assert(t, ok)
		assert.Equal(t, id, mothferry.JobID("5c0e7a21d94b36f8"))
		assert.Equal(t, got, account)
	}
	_, _, ok := mfrecord.EarlyCancelOf(mfrecord.CancelKey("5c0e7a21d94b36f8"))
	assert.Assert(t, !ok)
	_, ok = mfrecord.CancelOf(mfrecord.EarlyCancelKey("5c0e7a21d94b36f8", ""))
	assert.Assert(t, !ok)
}

// foreignHostRows are rows that no host writes.
var foreignHostRows = []string{
	"", "[]", "\x00\xff", `{"cores":1e30}`, `{"cores":9223372036854775807}`, `{"cores":-1}`, `{"cores":0.5}`, `{"address":"10.0.0.1:72000"}`, `{"address":"10.0.0.1:0"}`,
	`{"address":"10.0.0.1:-1"}`, `{"address":"host:7060"}`, `{"address":"10.0.0.1:7060\n"}`, `{"forward":"10.0.0.1"}`, `{"forward":"0.0.0.0:7061"}`, `{"address":7}`,
	`{"data_centre":"` + strings.Repeat("x", 60_000) + `"}`, `{"cores":` + strings.Repeat("9", 60_000) + `}`, strings.Repeat("[", 65_536), strings.Repeat(`{"address":`, 2000),
}

// Guards against relays that are chosen without regard to their strength, and addresses that are
// looked up as names, after another writer has left a row among those of the hosts.
func TestForeignHostRowsAreRefused(t *testing.T) {
	for _, text := range foreignHostRows {
		_, err := mfrecord.DecodeHost("h-1", []byte(text))
		assert.ErrorType(t, err, &mfrecord.ErrInvalidHost{}, "%.100s", text)
		assert.Assert(t, len(err.Error()) < 200)
	}
	for _, key := range []mothferry.Key{"", "h\n", "\xff", "\x00"} {
		_, err := mfrecord.DecodeHost(key, []byte(`{"format":1,"data_centre":"a","address":"10.0.0.1:7060","cores":400}`))
		assert.ErrorType(t, err, &mfrecord.ErrInvalidHost{}, "%q", key)
	}
}
