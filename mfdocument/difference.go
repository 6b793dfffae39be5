package mfdocument

import (
	"fmt"
	"strings"

	"go.yaml.in/yaml/v3"
)

// YAML returns the document's canonical YAML form.
func (d Document) YAML() string {
	data, err := yaml.Marshal(d)
	if err != nil {
		// A Document holds only plain values, which always have a YAML form.
		panic(err)
	}
	return string(data)
}

// Difference lists the lines in which the YAML forms of two documents differ,
// those of from marked with "-" and those of to with "+".
func Difference(from, to Document) string {
	before := strings.Split(from.YAML(), "\n")
	after := strings.Split(to.YAML(), "\n")
	var out strings.Builder
	writeMissing(&out, "-", before, after)
	writeMissing(&out, "+", after, before)
	return out.String()
}

// writeMissing writes the lines that others lacks.
func writeMissing(out *strings.Builder, sign string, lines, others []string) {
	count := map[string]int{}
	for _, l := range others {
		count[l]++
	}
	for _, l := range lines {
		if count[l] > 0 {
			count[l]--
			continue
		}
		fmt.Fprintf(out, "%s%s\n", sign, l)
	}
}
