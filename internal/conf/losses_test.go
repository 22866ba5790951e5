package conf

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestLossesOfLargeFleets reads how many control daemons may be lost. A platform
// with many of them bears more losses than one with three, and its daemons must
// start.
func TestLossesOfLargeFleets(t *testing.T) {
	const settings = `{"name": "c", "role": "control", "domain": "d", "data": "x",
		"listen": {"control": "127.0.0.1:1", "peers": "127.0.0.1:2"}%s}`
	for text, want := range map[string]int{"": 1, `, "losses": 0`: 0, `, "losses": 2`: 2, `, "losses": 7`: 7} {
		p, err := ParseProcess("c.jsonc", fmt.Appendf(nil, settings, text))
		assert.NilError(t, err, text)
		assert.Equal(t, p.Losses, want)
	}
	_, err := ParseProcess("c.jsonc", fmt.Appendf(nil, settings, `, "losses": -1`))
	assert.Assert(t, err != nil)
}
