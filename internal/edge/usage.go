package edge

import (
	"encoding/json"
	"fmt"

	"poplarbend.example/poplar"
)

// Engines report the number of tokens in their responses.

// usage is the usage object of the OpenAI API, as far as the router reads it.
type usage struct {
	Prompt     *poplar.Tokens `json:"prompt_tokens"`
	Completion *poplar.Tokens `json:"completion_tokens"`
}

// parseUsage returns the token counts in a JSON response or event. It reports
// false if they are missing or negative.
func parseUsage(data []byte) (prompt, generated poplar.Tokens, ok bool) {
	var body struct {
		Usage *usage `json:"usage"`
	}
	if json.Unmarshal(data, &body) != nil || body.Usage == nil {
		return 0, 0, false
	}
	u := body.Usage
	if u.Prompt == nil || u.Completion == nil || *u.Prompt < 0 || *u.Completion < 0 {
		return 0, 0, false
	}
	return *u.Prompt, *u.Completion, true
}

// usageEvent returns the final event of a stream whose engine reported no
// usage.
func usageEvent(id string, model poplar.Model, chat bool, prompt, generated poplar.Tokens) []byte {
	object := "text_completion"
	if chat {
		object = "chat.completion.chunk"
	}
	return fmt.Appendf(nil,
		`{"id":%q,"object":%q,"model":%q,"choices":[],"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}}`,
		id, object, model, prompt, generated, prompt+generated)
}
