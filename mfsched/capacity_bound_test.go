package mfsched

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mothferry"
	"mothferry/mfjob"
)

// Guards against tasks that wait beside workers with room for them, and against searches for the same
// room again and again: what is told not to fit fits nowhere, and nothing else does after a search
// that failed.
func TestWhatCannotFitFitsOnNoWorker(t *testing.T) {
	labels := []string{"", "a", "b"}
	rapid.Check(t, func(t *rapid.T) {
		size := func(name string) mothferry.Resources {
			n := rapid.IntRange(0, 6)
			return mothferry.Resources{
				Cores: mothferry.Millicores(n.Draw(t, name+" cores")), Memory: mothferry.Bytes(n.Draw(t, name+" memory")),
				Accelerators: mothferry.Accelerators(rapid.IntRange(0, 1).Draw(t, name+" accelerators")),
			}
		}
		f := freeCapacity{effort: &Effort{}}
		for range rapid.IntRange(0, 12).Draw(t, "workers") {
			w := &worker{}
			w.Labels = rapid.SampledFrom([][]string{nil, {"a"}, {"b"}, {"a", "b"}}).Draw(t, "labels")
			f.workers, f.free = append(f.workers, w), append(f.free, size("free"))
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			spec := &mfjob.Step{Need: size("need"), Label: rapid.SampledFrom(labels).Draw(t, "label")}
			found := -1
			for i, w := range f.workers {
				if hasLabel(w, spec.Label) && spec.Need.Fits(f.free[i]) {
					found = i
					break
				}
			}
			if f.cannotFit(spec) {
				assert.Equal(t, found, -1)
				continue
			}
			if found >= 0 {
				f.free[found] = f.free[found].Sub(spec.Need)
				continue
			}
			f.searchFailed(spec)
			assert.Assert(t, f.cannotFit(spec))
			for _, free := range f.largest[spec.Label] {
				assert.Assert(t, slices.Contains(f.free, free))
			}
		}
	})
}
