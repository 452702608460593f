package transport

import (
	"syscall"

	"golang.org/x/sys/unix"
)

const hasSendState = true

// readSendState reads the state of a connection (TCP_INFO).
func readSendState(raw syscall.RawConn) (sendState, error) {
	var info *unix.TCPInfo
	var optionErr error
	err := raw.Control(func(fd uintptr) { info, optionErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err == nil {
		err = optionErr
	}
	if err != nil {
		return sendState{}, err
	}
	return sendState{unsent: int(info.Notsent_bytes), unacknowledged: int(info.Unacked), unansweredProbes: int(info.Probes)}, nil
}
