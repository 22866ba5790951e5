// Package edge implements the request path of a router: OpenAI-style
// completions, with and without streaming, and plain services under a path
// prefix.
//
// A request passes through the steps authenticate, parse, classify, admit,
// pick, reserve, stream and settle. A step that fails ends the request with a
// problem response whose run state says whether the request ran. The last event
// of a response is sent only after its settlement is durable.
package edge
