package core

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestPackedDocumentsComeBack(t *testing.T) {
	for name, document := range map[string]string{
		"empty": "", "short": "{}", "long": strings.Repeat(`{"route":"/a/"},`, 5000),
	} {
		t.Run(name, func(t *testing.T) {
			packed, err := pack([]byte(document))
			assert.NilError(t, err)
			back, err := Unpack(packed)
			assert.NilError(t, err)
			assert.Equal(t, string(back), document)
			assert.Assert(t, len(packed) < len(document)/10+64)
		})
	}
	t.Run("not packed", func(t *testing.T) {
		back, err := Unpack([]byte(`{"version":7}`))
		assert.NilError(t, err)
		assert.Equal(t, string(back), `{"version":7}`)
	})
	t.Run("damaged", func(t *testing.T) {
		packed, err := pack(bytes.Repeat([]byte("x"), 1000))
		assert.NilError(t, err)
		_, err = Unpack(packed[:len(packed)-6])
		assert.ErrorContains(t, err, "decompress the document")
	})
}
