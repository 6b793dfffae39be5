package mfemulate_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"mothferry/mfemulate"
	"mothferry/mfexample"
)

// BenchmarkPlay measures the processor time of the decisions on seven times the machines and
// jobs of the load turns.yaml.
func BenchmarkPlay(b *testing.B) {
	load, err := mfemulate.DecodeLoad("turns.yaml", mfexample.Turns)
	assert.NilError(b, err)
	const times = 7
	for i := range load.Services {
		load.Services[i].Machines *= times
	}
	for i := range load.Queues {
		load.Queues[i].Jobs *= times
	}
	for b.Loop() {
		mfemulate.Play(load, mfemulate.Options{Limits: limits(), Seed: 1, Moves: true})
	}
}
