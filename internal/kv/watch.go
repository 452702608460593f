package kv

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/rcrowley/go-metrics"
)

// watchBuffer is the number of entries that are buffered for a slow reader
// before the watch stops reading from the connection.
const watchBuffer = 16

// Watch delivers the key's entries after a revision. The platform counts an open
// watch as one call. A broken connection cannot be distinguished from a key that
// does not change, so callers poll Revision in addition.
func (h *HTTP) Watch(ctx context.Context, key string, after int64) (<-chan Entry, error) {
	request := watchRequest{CreateRequest: watchCreate{Key: []byte(key), StartRevision: after + 1}}
	ctx, cancel := context.WithCancel(ctx)
	response, err := h.send(ctx, callWatch, request)
	if err != nil {
		cancel()
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorText))
		response.Body.Close()
		cancel()
		return nil, statusError(response.StatusCode, body)
	}
	entries := make(chan Entry, watchBuffer)
	go func() {
		defer close(entries)
		defer cancel()
		defer response.Body.Close()
		waiting := metrics.GetOrRegisterCounter("kv.watches_waiting", h.metrics)
		waiting.Inc(1)
		defer waiting.Dec(1)
		readWatch(ctx, response.Body, entries)
	}()
	return entries, nil
}

// readWatch delivers events until the stream breaks. A compaction and a
// cancellation by the server end it in the same way as a broken connection; the
// caller then reads the key again.
func readWatch(ctx context.Context, body io.Reader, entries chan<- Entry) {
	decoder := json.NewDecoder(body)
	for {
		var message watchResponse
		if err := decoder.Decode(&message); err != nil {
			return
		}
		if message.Result.Canceled {
			return
		}
		for _, event := range message.Result.Events {
			entry := entryOf(event.KV)
			if event.Type == "DELETE" {
				entry.Value = nil
			}
			select {
			case entries <- entry:
			case <-ctx.Done():
				return
			}
		}
	}
}
