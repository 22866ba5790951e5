package edge

import (
	"bytes"
	"encoding/json"
	"net/http"

	"poplarbend.example/poplar"
)

// This file holds kept answers: what the ledger stores for a retry.

const contentTypeEvents = "text/event-stream"

// headerReplay tells the caller that the answer is that of an earlier attempt.
const headerReplay = "X-Replay"

// storedHeader is the first line of a kept answer; the body follows it.
type storedHeader struct {
	Status   int    `json:"status"`
	Type     string `json:"type"`
	Complete bool   `json:"whole"`
}

func encodeStored(header storedHeader, body []byte) []byte {
	line, err := json.Marshal(header)
	if err != nil {
		return nil // plain values always encode; without it the answer is not kept
	}
	return append(append(line, '\n'), body...)
}

// decodeStored returns the parts of a kept answer, or false when it is none.
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

// replay answers a retry of a settled request, without a new charge.
func (c *call) replay(grant poplar.Grant) error {
	c.edge.metrics.replays.Add(1)
	c.billed = 0
	if len(grant.Answer) == 0 {
		return poplar.Failf(poplar.StepReserve, poplar.CodeLarge,
			"the request ran and was billed %d tokens; its answer was not kept", grant.Billed).Ran(poplar.RunYes)
	}
	header, body, ok := decodeStored(grant.Answer)
	if !ok {
		return poplar.Failf(poplar.StepReserve, poplar.CodeCorrupt, "the kept answer is damaged").Ran(poplar.RunYes)
	}
	if header.Type != contentTypeEvents {
		c.response.writeResponse(header.Status, http.Header{"Content-Type": {header.Type}, headerReplay: {"1"}}, body)
		return nil
	}
	c.response.writeStored(body)
	if !header.Complete {
		return poplar.Failf(poplar.StepStream, poplar.CodeCut,
			"the earlier answer ended early; this is all of it, billed %d tokens", grant.Billed).Ran(poplar.RunYes)
	}
	c.response.finishStream()
	return nil
}
