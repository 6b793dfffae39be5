package mfaccount_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfaccount"
)

func TestLookup(t *testing.T) {
	d := mfaccount.NewDirectory()
	d.Add(mfaccount.Account{ID: "a", Weight: 3}, "key-1", "key-2", "")
	d.Add(mfaccount.Account{ID: "b"}, "key-3", "key-1")
	for key, want := range map[string]mothferry.AccountID{"key-1": "a", "key-2": "a", "key-3": "b"} {
		id, ok := d.Lookup(key)
		assert.Assert(t, ok, key)
		assert.Equal(t, id, want, "a key stays with the account that had it first")
	}
	for _, key := range []string{"", "key-4", "KEY-1", " key-1"} {
		_, ok := d.Lookup(key)
		assert.Assert(t, !ok, "%q", key)
	}
	assert.Equal(t, d.Accounts()["a"].Weight, 3.0)
	assert.Equal(t, d.Keys(), 3)
}

// Where there are no accounts there is no key that is one's.
func TestNoDirectory(t *testing.T) {
	var d *mfaccount.Directory
	_, ok := d.Lookup("")
	assert.Assert(t, !ok)
	assert.Equal(t, len(d.Accounts()), 0)
	assert.Equal(t, d.Keys(), 0)
}
