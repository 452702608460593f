//go:build !linux

package transport

import (
	"syscall"
	"time"
)

const hasSendState = false

func readSendState(syscall.RawConn) (sendState, error) { return sendState{}, syscall.ENOTSUP }

func setUserTimeout(syscall.RawConn, time.Duration) error { return nil }
