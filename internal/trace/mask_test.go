package trace

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestMaskMissesNothing writes lines of pieces of credentials and other text through the
// masker, which must mask whatever the expression finds.
func TestMaskMissesNothing(t *testing.T) {
	pieces := []string{"bearer", "Bearer", "BEARER", " ", "%20", "+", "\t", "sk-", "SK-", "pbk-", "Pbk-", "\u017fk-", "s\u212a-", "abc", "-", "k", "b", "\"", "=", "x\u00e9"}
	rapid.Check(t, func(t *rapid.T) {
		var line []byte
		for _, piece := range rapid.SliceOfN(rapid.SampledFrom(pieces), 0, 12).Draw(t, "pieces") {
			line = append(line, piece...)
		}
		var out bytes.Buffer
		n, err := masker{out: &out}.Write(line)
		assert.NilError(t, err)
		assert.Equal(t, n, len(line))
		assert.Equal(t, out.String(), Mask(string(line)))
	})
}

func BenchmarkMask(b *testing.B) {
	line := bytes.Repeat([]byte(`"workspace":"voti810","upstream":"i-54d9b0612b","route":"r-4nyn9rs",`), 6)
	for b.Loop() {
		if _, err := (masker{out: &bytes.Buffer{}}).Write(line); err != nil {
			b.Fatal(err)
		}
	}
}
