package kv

import "github.com/pkg/errors"

var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("kv: key not found")
	// ErrUnavailable means that the service gave no answer in time or said
	// that it can give none. Nothing was learned.
	ErrUnavailable = errors.New("kv: service unavailable")
	// ErrTooLarge means that the value is larger than MaxValueBytes.
	ErrTooLarge = errors.New("kv: value too large")
	// ErrLeaseGone means that the lease has lapsed or was revoked.
	ErrLeaseGone = errors.New("kv: lease gone")
)
