package mfjob

import "slices"

// taskFieldsSize is how much longer the stored form of a task becomes with a checkpoint, apart
// from the checkpoint's own characters: quotes, separators and an empty worker.
const taskFieldsSize = len(`,"",""`)

// EncodeProgressWithin returns the stored format of a job's progress within a number of bytes, if
// need be without some checkpoints, and how many it left out. A task whose checkpoint is left out
// would start anew, but only if both its worker and the owner ended: until then either knows it.
// Checkpoints of tasks without a worker are therefore kept first.
//
// Without any checkpoint the result may still be too long. An owner does not let that happen: it
// starts no further task of such a job.
func EncodeProgressWithin(p Progress, limit int) (data []byte, omitted int) {
	if p.State.Final() {
		return EncodeProgress(p), 0
	}
	if p.checkpointsSize() <= limit {
		if data := EncodeProgress(p); len(data) <= limit {
			return data, 0
		}
	}
	short := p.withoutCheckpoints()
	free := limit - len(EncodeProgress(short))
	for _, assigned := range []bool{false, true} {
		for k, o := range p.Occurrences {
			for i, s := range o {
				for x, t := range s.Tasks {
					if t.Checkpoint == "" || assigned != (t.Worker != "") {
						continue
					}
					size := TextSize(string(t.Checkpoint)) + taskFieldsSize
					if size > free {
						omitted++
						continue
					}
					free -= size
					short.Occurrences[k][i].Tasks[x].Checkpoint = t.Checkpoint
				}
			}
		}
	}
	return EncodeProgress(short), omitted
}

// checkpointsSize returns the number of characters of all checkpoints.
func (p Progress) checkpointsSize() int {
	size := 0
	for _, o := range p.Occurrences {
		for _, s := range o {
			for _, t := range s.Tasks {
				size += len(t.Checkpoint)
			}
		}
	}
	return size
}

// withoutCheckpoints returns a copy whose tasks have no checkpoints.
func (p Progress) withoutCheckpoints() Progress {
	p.Occurrences = slices.Clone(p.Occurrences)
	for k, o := range p.Occurrences {
		p.Occurrences[k] = slices.Clone(o)
		for i, s := range o {
			p.Occurrences[k][i].Tasks = slices.Clone(s.Tasks)
			for x := range s.Tasks {
				p.Occurrences[k][i].Tasks[x].Checkpoint = ""
			}
		}
	}
	return p
}

// maxEscapedSize is the length of the longest escape sequence of a character.
const maxEscapedSize = len(`\u0000`)

// TextSize returns an upper bound for the length of a JSON string without its quotes.
func TextSize(s string) int {
	size := len(s)
	for i := range len(s) {
		if !plain(s[i]) || escapedInHTML(s[i]) {
			size += maxEscapedSize - 1
		}
	}
	return size
}

// escapedInHTML reports whether encoding/json escapes a character for the sake of HTML, which it
// does in texts that are not plain.
func escapedInHTML(c byte) bool { return c == '<' || c == '>' || c == '&' }

// plain reports whether a character stands for itself in a JSON string.
func plain(c byte) bool { return c >= ' ' && c <= '~' && c != '"' && c != '\\' }
