package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// This case has consumers with small receive buffers that read nothing for some seconds and then read on, within their time
// budget. The settings of the process are reloaded just before, as planned work.

const (
	slowReaders = 12
	// answerBytes is the largest answer on the sheets of plain services.
	answerBytes = 4800
	// receiveBuffer is what a slow reader asks of its kernel, in bytes.
	receiveBuffer = 1024
	readerBudget  = 20 * time.Second
	readerPause   = 8 * time.Second
)

func playSlowReader(w *world) (int, error) {
	listener, err := w.listen()
	if err != nil {
		return failed, err
	}
	born := time.Now().UnixMilli()
	server := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Chestnutarch-Attempt-Id")
		_, _ = io.Copy(io.Discard, r.Body)
		rw.Header().Set("X-Chestnutarch-Attempt-Id", id)
		rw.Header().Set("X-Chestnutarch-Response-Signature", "sig-i-0")
		rw.Header().Set("Content-Length", fmt.Sprint(answerBytes))
		n, err := io.Copy(rw, strings.NewReader(strings.Repeat("x", answerBytes)))
		w.note("replica i-0 runs %s and writes %d bytes of its answer: %v", id, n, err)
	})}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	w.store.Put("servers/i-0", map[string]any{
		"service": "clerk", "address": listener.Addr().String(), "zone": "a", "version": "v1", "slots": 6, "state": "ready",
		"cold-remaining-ms": 0, "sequence": 0, "born": born,
	})
	w.configure(map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "file", "host": host, "path-prefix": "/file/", "kind": "non_idempotent", "timeout-ms": 20000, "target-latency-ms": 300,
			"priority": 2, "service": "clerk", "attempts": 1,
		}},
		"tenants":  []any{map[string]any{"name": "office", "keys": []string{key}, "unit": "tokens", "plain-tokens": 200, "rate-per-s": 0, "burst": 0}},
		"services": []any{map[string]any{"name": "clerk", "max-connections": 110}},
		"limits":   map[string]any{"header-bytes": 16384, "body-bytes": 1 << 20, "header-timeout-ms": 5000, "idle-timeout-ms": 60000},
	})
	v, err := w.startVM("vm-0", "a", nil)
	if err != nil {
		return failed, err
	}
	if err := w.awaitReady(); err != nil {
		return failed, err
	}
	time.Sleep(2 * time.Second)
	w.note("SIGHUP to %s; its settings have not changed", v.Name)
	if err := v.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		return failed, err
	}
	time.Sleep(200 * time.Millisecond)
	var all sync.WaitGroup
	var cut atomic.Int64
	for n := range slowReaders {
		all.Go(func() {
			if err := w.readSlowly(v.Callers, n); err != nil {
				cut.Add(1)
			}
		})
	}
	all.Wait()
	w.note("%d of %d answers were cut", cut.Load(), slowReaders)
	if cut.Load() > 0 {
		return broken, nil
	}
	return held, nil
}

// readSlowly sends two requests on one channel. It reads the answer to the second one with a pause. The error is that of an
// answer which is not complete.
func (w *world) readSlowly(address string, n int) error {
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	c, err := dialer.Dial("tcp4", address)
	if err != nil {
		return err
	}
	defer c.Close()
	reader := bufio.NewReaderSize(c, 64)
	for try, wait := range []time.Duration{0, readerPause} {
		id := fmt.Sprintf("%012x%04x", n, try)
		_, _ = fmt.Fprintf(c, "POST /file/%d HTTP/1.1\r\nHost: %s\r\nX-Chestnutarch-Attempt-Id: %s\r\nX-Chestnutarch-Deadline-Remaining-Ms: %d\r\nAuthorization: Token %s\r\nContent-Length: 2\r\n\r\n{}",
			n, host, id, readerBudget.Milliseconds(), key)
		sent := time.Now()
		if !w.trouble {
			wait = 0
		}
		w.note("consumer sends %s, and reads nothing for %v", id, wait)
		time.Sleep(wait)
		status, got := 0, int64(0)
		response, err := http.ReadResponse(reader, nil)
		if err == nil {
			status = response.StatusCode
			got, err = io.Copy(io.Discard, response.Body)
		}
		w.note("consumer gets %d and %d of %d bytes to %s, %.1f s after it was sent: %v", status, got, answerBytes, id, time.Since(sent).Seconds(), err)
		if err != nil {
			return err
		}
	}
	return nil
}
