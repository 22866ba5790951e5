package state

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"fmt"
)

// This file implements the codecs: JSON for commands, replies and deltas, and
// gob for snapshots, since it encodes columns of small integers compactly.

// Encode returns the wire form of a command, a reply, a delta or a mark, or nil if
// the value cannot be encoded.
func Encode[T any](value T) []byte {
	out, err := json.Marshal(value)
	if err != nil {
		// Wire types contain only strings, integers, booleans and times. Only a
		// time after the year 9999 cannot be encoded.
		return nil
	}
	return out
}

// Decode parses the wire form. It refuses unknown fields and trailing data, so
// that a command of a later version is never partly applied.
func Decode[T any](data []byte) (T, error) {
	var value T
	in := json.NewDecoder(bytes.NewReader(data))
	in.DisallowUnknownFields()
	if err := in.Decode(&value); err != nil {
		return value, fmt.Errorf("decode %T: %w", value, err)
	}
	if in.More() {
		return value, fmt.Errorf("decode %T: data after the value", value)
	}
	return value, nil
}

func encodeGob[T any](value T) []byte {
	var out bytes.Buffer
	if err := gob.NewEncoder(&out).Encode(value); err != nil {
		return nil
	}
	return out.Bytes()
}

func decodeGob[T any](data []byte) (T, error) {
	var value T
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&value); err != nil {
		return value, fmt.Errorf("decode snapshot: %w", err)
	}
	return value, nil
}
