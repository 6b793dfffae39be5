// Package mfexample holds example documents of two user teams and load files, for the demo,
// the tests and new users.
package mfexample

import (
	"embed"
	"io/fs"
	"slices"
	"strings"

	"mothferry/mfdocument"
)

//go:embed documents/*.yaml
var files embed.FS

// Document is one example document and its text.
type Document struct {
	Name string
	Text string
	mfdocument.Document
}

// Documents returns the examples of the named teams, ordered by file name.
func Documents(teams ...string) ([]Document, error) {
	entries, err := fs.ReadDir(files, "documents")
	if err != nil {
		return nil, err
	}
	var documents []Document
	for _, e := range entries {
		team, _, _ := strings.Cut(e.Name(), ".")
		if !slices.Contains(teams, team) {
			continue
		}
		text, err := fs.ReadFile(files, "documents/"+e.Name())
		if err != nil {
			return nil, err
		}
		document, err := mfdocument.Parse(e.Name(), text)
		if err != nil {
			return nil, err
		}
		documents = append(documents, Document{Name: e.Name(), Text: string(text), Document: document})
	}
	return documents, nil
}

// Turns is a load file of pools whose demand peaks in turn.
//
//go:embed loads/turns.yaml
var Turns []byte

// Humps is a load file of many machines whose pools' demand rises and falls smoothly.
//
//go:embed loads/humps.yaml
var Humps []byte

// Late is the load of Humps while a twentieth of all orders and polls is lost or late.
//
//go:embed loads/late.yaml
var Late []byte

// Crashing is the load of Turns while some jobs have a task that crashes its workers.
//
//go:embed loads/crashing.yaml
var Crashing []byte

// Accounts is a load file of client accounts, one of which sends far more than its share.
//
//go:embed loads/accounts.yaml
var Accounts []byte

// Memory is a load file of a queue whose tasks exhaust the machines' memory before their
// cores.
//
//go:embed loads/memory.yaml
var Memory []byte

// ShortTurn is a load file of demand peaks that each exceed the fleet.
//
//go:embed loads/short_turn.yaml
var ShortTurn []byte

// ShortLasting is a load file whose demand exceeds the fleet all the time.
//
//go:embed loads/short_lasting.yaml
var ShortLasting []byte

// Overlap is a load file of demand peaks that begin before the previous one ends.
//
//go:embed loads/overlap.yaml
var Overlap []byte

// Slow is a load file in which a quarter of each pool's workers becomes slow.
//
//go:embed loads/slow.yaml
var Slow []byte

// Hanging is a load file in which some workers hang half of their tasks.
//
//go:embed loads/hanging.yaml
var Hanging []byte
