package edge

import (
	"bytes"
	"encoding/json"
	"net/http"

	"poplarbend.example/poplar"
)

// The ledger stores the response of a keyed request, and a retry replays it.

const contentTypeEvents = "text/event-stream"

// headerReplay marks a response that was replayed from an earlier attempt.
const headerReplay = "X-Replay"

// storedHeader is the first line of a stored response. The body follows it.
type storedHeader struct {
	Status   int    `json:"status"`
	Type     string `json:"type"`
	Complete bool   `json:"whole"`
}

func encodeStored(header storedHeader, body []byte) []byte {
	line, err := json.Marshal(header)
	if err != nil {
		return nil // cannot happen for plain values; the response would not be stored
	}
	return append(append(line, '\n'), body...)
}

// decodeStored splits a stored response into header and body. It reports false
// if the data is damaged.
func decodeStored(data []byte) (storedHeader, []byte, bool) {
	line, body, ok := bytes.Cut(data, []byte{'\n'})
	if !ok {
		return storedHeader{}, nil, false
	}
	var header storedHeader
	if json.Unmarshal(line, &header) != nil || header.Status < 200 || header.Status > 599 {
		return storedHeader{}, nil, false
	}
	return header, body, true
}

// replay responds to a retry of a settled request, without charging it again.
func (c *call) replay(grant poplar.Grant) error {
	c.edge.metrics.replays.Add(1)
	c.billed = 0
	if len(grant.Response) == 0 {
		return poplar.Failf(poplar.StepReserve, poplar.CodeLarge,
			"the request ran and was billed %d tokens; its response was not stored", grant.Billed).Ran(poplar.RunYes)
	}
	header, body, ok := decodeStored(grant.Response)
	if !ok {
		return poplar.Failf(poplar.StepReserve, poplar.CodeCorrupt, "the stored response is damaged").Ran(poplar.RunYes)
	}
	if header.Type != contentTypeEvents {
		c.response.writeResponse(header.Status, http.Header{"Content-Type": {header.Type}, headerReplay: {"1"}}, body)
		return nil
	}
	c.response.writeStored(body)
	if !header.Complete {
		return poplar.Failf(poplar.StepStream, poplar.CodeUnreachable,
			"the earlier response ended early; this is all of it, billed %d tokens", grant.Billed).Ran(poplar.RunYes)
	}
	c.response.finishStream()
	return nil
}
