// Package mfaccount knows the client accounts of a config: which account a key belongs
// to, and what each account may have running.
package mfaccount

import (
	"crypto/sha256"
	"maps"

	"mothferry"
)

// Account is one client account.
type Account struct {
	ID mothferry.AccountID
	// Weight is how many jobs a second the account is owed, and its share where there is
	// more work than room.
	Weight float64
	// Limit bounds what its tasks may have running over all workers. A resource that is
	// zero is not bounded.
	Limit mothferry.Resources
}

// Digest stands for a key. Keys themselves are not kept, so that none shows in a log line
// or a stored row, and looking one up takes the same time whatever it has in common with
// others.
type Digest [sha256.Size]byte

// Directory holds the accounts of one config. Nil stands for a deployment without
// accounts. It is not changed once it is in use.
type Directory struct {
	accounts map[mothferry.AccountID]Account
	byDigest map[Digest]mothferry.AccountID
}

// NewDirectory returns a directory without accounts, which accepts no key.
func NewDirectory() *Directory {
	return &Directory{accounts: map[mothferry.AccountID]Account{}, byDigest: map[Digest]mothferry.AccountID{}}
}

// Add takes an account and its keys in. A key that is empty, or that an account has which
// was added before, is left out: it would not tell whose call it is.
func (d *Directory) Add(a Account, keys ...string) {
	d.accounts[a.ID] = a
	for _, key := range keys {
		sum := DigestOf(key)
		if _, taken := d.byDigest[sum]; key != "" && !taken {
			d.byDigest[sum] = a.ID
		}
	}
}

// Lookup returns the account that a key belongs to, or false if it is none's.
func (d *Directory) Lookup(key string) (mothferry.AccountID, bool) {
	if d == nil {
		return "", false
	}
	return d.LookupDigest(DigestOf(key))
}

// DigestOf returns what stands for a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// LookupDigest returns the account that the key of a digest belongs to, or false if it is none's.
func (d *Directory) LookupDigest(key Digest) (mothferry.AccountID, bool) {
	if d == nil {
		return "", false
	}
	id, ok := d.byDigest[key]
	return id, ok
}

// Accounts returns all accounts by their ids.
func (d *Directory) Accounts() map[mothferry.AccountID]Account {
	if d == nil {
		return nil
	}
	return maps.Clone(d.accounts)
}

// Keys counts the keys that are accepted.
func (d *Directory) Keys() int {
	if d == nil {
		return 0
	}
	return len(d.byDigest)
}
