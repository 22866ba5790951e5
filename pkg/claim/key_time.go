package claim

import (
	"time"

	"github.com/google/uuid"

	"poplarbend.example/poplar"
)

// This file recognizes idempotency keys that contain a time.

// uuidVersion7 is the version of UUIDs that start with a Unix time in
// milliseconds.
//
// Source: RFC 9562, section 5.7.
const uuidVersion7 uuid.Version = 7

// KeyTime returns the time in key if key is a UUID of version 7. Such a key
// shows its own age, so an old one can be refused without a stored fingerprint.
// For any other key, which is called opaque, ok is false.
func KeyTime(key poplar.Key) (at time.Time, ok bool) {
	id, err := uuid.Parse(string(key))
	if err != nil || id.Version() != uuidVersion7 {
		return time.Time{}, false
	}
	sec, nsec := id.Time().UnixTime()
	return time.Unix(sec, nsec), true
}
