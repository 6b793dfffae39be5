package mffake

import (
	"flag"
	"testing"

	"pgregory.net/rapid"
)

// seedFlag is rapid's flag. Its default, 0, means a seed taken from the clock.
const (
	seedFlag  = "rapid.seed"
	fixedSeed = "20261202"
)

// Check checks a property with a fixed seed, so that each run of the tests has the same
// result. The flag -rapid.seed sets another seed.
func Check(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	if flag.Lookup(seedFlag).Value.String() == "0" {
		if err := flag.Set(seedFlag, fixedSeed); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, property)
}
