package mothferry_test

import (
	"strings"
	"testing"
	"unicode/utf8"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mothferry"
)

func TestNextPage(t *testing.T) {
	full := func(prefix, last string) mothferry.Key {
		return mothferry.Key(prefix + strings.Repeat("k", mothferry.MaxKeyBytes-len(prefix)-len(last)) + last)
	}
	for _, c := range []struct{ from, last, want mothferry.Key }{
		{"", "a", "a\x00"},
		{"", full("", "a"), full("", "b")},
		{"", full("", "\x7f"), full("", "lx")[:mothferry.MaxKeyBytes-2] + "l"},
		{"", full("", "\uD7FF"), full("", "\uE000")},
		{"", mothferry.Key(strings.Repeat(string(utf8.MaxRune), mothferry.MaxKeyBytes/4)), ""},
		{"a\uFFFD\x00", "a\uFFFD", "b"},
		{"\uFFFD\x00", "\uFFFD", ""},
	} {
		assert.Equal(t, mothferry.NextPage(c.from, c.last), c.want, "%q %q", c.from, c.last)
	}
}

// Reading goes on after each page, misses no key that is UTF-8, and asks for no key that a store
// refuses for its length.
func TestPagesEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from := mothferry.Key(rapid.StringN(-1, -1, mothferry.MaxKeyBytes).Draw(t, "from"))
		last := mothferry.Key(rapid.StringN(1, -1, mothferry.MaxKeyBytes).Draw(t, "last"))
		other := mothferry.Key(rapid.StringN(1, -1, mothferry.MaxKeyBytes).Draw(t, "other"))
		next := mothferry.NextPage(from, last)
		assert.Assert(t, next == "" || next > from && len(next) <= mothferry.MaxKeyBytes, "%q", next)
		if last >= from && other > last {
			assert.Assert(t, next != "" && other >= next, "%q is passed over by %q", other, next)
		}
	})
}
