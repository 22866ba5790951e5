package edge

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
)

// FuzzCompletion decodes request bodies. A body is refused with run state "no",
// or its token limits are valid and the rewritten body decodes to the same
// limits.
func FuzzCompletion(f *testing.F) {
	for _, seed := range []string{
		`{"model":"small","prompt":"hi"}`,
		`{"model":"small","messages":[],"stream":true,"max_tokens":5}`,
		`{"model":"small","prompt":"hi","max_tokens":5,"max_tokens":-1}`,
		`{"model":"small","prompt":"hi","Max_Tokens":9,"max_completion_tokens":7}`,
		`{"model":"small","prompt":"}","x":{"prompt":1}}` + " \n",
		`null`, `{}`, `[{}]`, `{"model":{}}`, `{"prompt":"\ud800","model":"small"}`, `{"model":"small","max_tokens":1e3,"prompt":[1]}`,
	} {
		f.Add([]byte(seed), true)
		f.Add([]byte(seed), false)
	}
	policy := compilePolicy(f, "")
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		request, err := decodeCompletion(policy, body, chat)
		if err != nil {
			var e *poplar.Error
			assert.Assert(t, errors.As(err, &e))
			assert.Equal(t, e.Run(), poplar.RunNo)
			return
		}
		assert.Assert(t, request.maxTokens >= 1 && request.maxTokens <= request.model.Tokens())
		assert.Assert(t, request.initialCost(0.5) <= request.maxCost())
		again, err := decodeCompletion(policy, request.body, chat)
		assert.NilError(t, err, string(request.body))
		assert.Equal(t, again.maxTokens, request.maxTokens)
		assert.Equal(t, again.streamed, request.streamed)
		assert.DeepEqual(t, again.promptJSON, request.promptJSON)
	})
}

// FuzzSSEReader decodes streams. Decoding must end, and must not depend on how
// the bytes are split into reads.
func FuzzSSEReader(f *testing.F) {
	for _, seed := range []string{
		"id: 1-1\ndata: {\"id\":\"r\"}\n\ndata: [DONE]\n\n",
		": comment\r\n\r\ndata: a\r\ndata: b\r\n\r\n",
		"id: 1-99999999999999999999\nid: -1-2\ndata:x\n\n",
		"data: cut", "data: {\"usage\":{\"prompt_tokens\":-1}}\n\n", "\n\n\n", "data\n\n", "event: x\n\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, stream []byte) {
		atOnce, byByte := newSSEReader(bytes.NewReader(stream), nil), newSSEReader(iotest.OneByteReader(bytes.NewReader(stream)), nil)
		for {
			a, err := atOnce.next()
			data := bytes.Clone(a.data)
			b, other := byByte.next()
			assert.Equal(t, err == nil, other == nil)
			if err != nil {
				assert.Assert(t, errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF))
				return
			}
			assert.DeepEqual(t, data, b.data)
			assert.Equal(t, a.numbered, b.numbered)
			assert.Assert(t, a.position >= 0)
			assert.Assert(t, a.responseID() == nil || len(a.responseID()) < len(data))
			prompt, generated, ok := parseUsage(data)
			assert.Assert(t, !ok || prompt >= 0 && generated >= 0)
		}
	})
}

// FuzzStoredResponse decodes stored responses; what decodes must survive a
// round trip.
func FuzzStoredResponse(f *testing.F) {
	f.Add(encodeStored(storedHeader{Status: 200, Type: contentTypeEvents, Complete: true}, []byte("data: x\n\n")))
	f.Add([]byte("{\"status\":7}\nx"))
	f.Add([]byte("\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		header, body, ok := decodeStored(data)
		if !ok {
			return
		}
		assert.Assert(t, http.StatusText(header.Status) != "" || header.Status >= 200)
		again, rest, ok := decodeStored(encodeStored(header, body))
		assert.Assert(t, ok)
		assert.Equal(t, again, header)
		assert.DeepEqual(t, rest, body)
	})
}
