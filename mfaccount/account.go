// Package mfaccount holds the client accounts of a config: which account a key belongs
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
	// Weight is the account's rate in jobs a second, and its weight in the fair share where
	// there is more work than capacity.
	Weight float64
	// Limit bounds the resources of the account's running tasks over all workers. A
	// resource that is zero is not bounded.
	Limit mothferry.Resources
}

// Digest is the digest of a key. Keys themselves are not kept, so that none appears in a log
// line or a stored row, and the time of a look-up does not depend on what a key has in common
// with others.
type Digest [sha256.Size]byte

// Directory holds the accounts of one config. Nil means a deployment without accounts. It is
// not changed once it is in use.
type Directory struct {
	accounts map[mothferry.AccountID]Account
	byDigest map[Digest]mothferry.AccountID
}

// NewDirectory returns an empty directory, which accepts no key.
func NewDirectory() *Directory {
	return &Directory{accounts: map[mothferry.AccountID]Account{}, byDigest: map[Digest]mothferry.AccountID{}}
}

// Add adds an account and its keys. A key that is empty, or that belongs to an account added
// before, is left out: it would not identify the caller.
func (d *Directory) Add(a Account, keys ...string) {
	d.accounts[a.ID] = a
	for _, key := range keys {
		digest := DigestOf(key)
		if _, taken := d.byDigest[digest]; key != "" && !taken {
			d.byDigest[digest] = a.ID
		}
	}
}

// Lookup returns the account that a key belongs to, or false if there is none.
func (d *Directory) Lookup(key string) (mothferry.AccountID, bool) {
	if d == nil {
		return "", false
	}
	return d.LookupDigest(DigestOf(key))
}

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// LookupDigest returns the account that the key with a digest belongs to, or false if there is
// none.
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

// Keys returns the number of keys that are accepted.
func (d *Directory) Keys() int {
	if d == nil {
		return 0
	}
	return len(d.byDigest)
}
