package core

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
)

// This file holds the form of operators' documents in the log and on the wire.
// They are long, repeat the same few names, and go to every daemon of the fleet.

// magic begins what pack returns, by RFC 1952, section 2.3.1. No operator's
// document begins so, since it is text.
var magic = []byte{0x1f, 0x8b}

// mostDocument bounds a document, in bytes.
const mostDocument = 64 << 20

// pack compresses a document.
func pack(document []byte) ([]byte, error) {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if _, err := w.Write(document); err != nil {
		return nil, fmt.Errorf("compress the document: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress the document: %w", err)
	}
	return out.Bytes(), nil
}

// Unpack returns the document that pack compressed. One that is not compressed is
// returned as it is: logs of earlier versions hold such.
func Unpack(packed []byte) ([]byte, error) {
	if !bytes.HasPrefix(packed, magic) {
		return packed, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, fmt.Errorf("decompress the document: %w", err)
	}
	document, err := io.ReadAll(io.LimitReader(r, mostDocument+1))
	if err != nil {
		return nil, fmt.Errorf("decompress the document: %w", err)
	}
	if len(document) > mostDocument {
		return nil, fmt.Errorf("decompress the document: more than %d bytes", mostDocument)
	}
	return document, nil
}
