package traffic

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/holding"
)

const (
	// pieceSize is the size in bytes of the pieces in which an answer is held.
	pieceSize = 32 << 10
	// roomInterval is how often an answer that found no room asks again.
	roomInterval = 20 * time.Millisecond
	// stalledInterval is how often an answer that waits for its caller checks whether that one has stalled.
	stalledInterval = 250 * time.Millisecond
)

// pieces keeps the memory of pieces for later answers.
var pieces = sync.Pool{New: func() any { return new([pieceSize]byte) }}

// piece is a part of an answer. Its bytes from sent to filled have not been sent, and arrived since then.
type piece struct {
	data         *[pieceSize]byte
	sent, filled int
	since        time.Time
}

// heldAnswer passes the body of an answer from its upstream, from which one goroutine reads, to its caller, to which another one
// writes.
type heldAnswer struct {
	holder *holding.Holder
	// arrived and taken wake the goroutine that writes and the one that reads.
	arrived, taken chan struct{}
	// received is closed when nothing more is read. broken is then the error with which the upstream broke off, nil if the
	// answer is whole.
	received chan struct{}
	broken   error

	mu   sync.Mutex
	held []*piece
}

// newHeldAnswer returns an answer without bytes. end must end its goroutines.
func newHeldAnswer(account *holding.Account, end func()) *heldAnswer {
	return &heldAnswer{
		holder: account.Open(end), arrived: make(chan struct{}, 1), taken: make(chan struct{}, 1), received: make(chan struct{}),
	}
}

// close gives the answer's memory back.
func (h *heldAnswer) close() {
	h.holder.Close()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.held {
		pieces.Put(p.data)
	}
	h.held = nil
}

// receive reads the answer until it ends or ctx does.
func (h *heldAnswer) receive(ctx context.Context, source *answerSource) {
	defer close(h.received)
	for {
		p := h.room(ctx, source)
		if p == nil {
			h.endReceiving(ctx, source, context.Cause(ctx))
			return
		}
		n, err := source.reply.Body.Read(p.data[p.filled:])
		h.fill(p, n, time.Now())
		if err != nil {
			h.endReceiving(ctx, source, err)
			return
		}
	}
}

func (h *heldAnswer) endReceiving(ctx context.Context, source *answerSource, err error) {
	if err == io.EOF {
		err = nil
	}
	source.end(err, h.unsent() == 0)
	switch {
	case err == nil:
	case ctx.Err() != nil:
		h.broken = errors.Wrap(ErrTruncated, context.Cause(ctx).Error())
	default:
		h.broken = errors.Wrapf(ErrUnknown, "%s: %v", source.choice.Instance, err)
	}
}

// room returns a piece with room for more bytes, nil if ctx ends before there is one.
func (h *heldAnswer) room(ctx context.Context, source *answerSource) *piece {
	for ctx.Err() == nil {
		source.job.releaseBody(source.reply)
		p, needed := h.last()
		if p != nil {
			return p
		}
		now := time.Now()
		if (needed && h.holder.Take(pieceSize, now)) || (!needed && h.holder.TakeAhead(pieceSize, now)) {
			return h.add(now)
		}
		if h.holder.Stalled(now) {
			source.stalled()
		}
		h.awaitTaken(ctx, needed)
	}
	return nil
}

// last returns the last piece if it has room. Otherwise needed says whether the answer needs another one to go on.
func (h *heldAnswer) last() (p *piece, needed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.held) == 0 {
		return nil, true
	}
	p = h.held[len(h.held)-1]
	if p.filled < pieceSize {
		return p, false
	}
	return nil, false
}

func (h *heldAnswer) add(now time.Time) *piece {
	p := &piece{data: pieces.Get().(*[pieceSize]byte), since: now}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held = append(h.held, p)
	h.holder.Return(0, h.oldest())
	return p
}

// fill records that n bytes have arrived in the last piece.
func (h *heldAnswer) fill(p *piece, n int, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p.sent == p.filled {
		p.since = now
	}
	p.filled += n
	h.holder.Return(0, h.oldest())
	notify(h.arrived)
}

// awaitTaken waits until the caller has taken a piece, or for a while. An answer that needs room which others hold asks again
// sooner.
func (h *heldAnswer) awaitTaken(ctx context.Context, needed bool) {
	interval := stalledInterval
	if needed {
		interval = roomInterval
	}
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-h.taken:
	case <-timer.C:
	}
}

// send writes what is received to the caller until the answer ends. The error is ErrCallerStalled, wrapped, or broken.
func (h *heldAnswer) send(sink Sink) error {
	for {
		received := isClosed(h.received)
		data := h.next()
		switch {
		case len(data) > 0:
			if err := write(sink, data); err != nil {
				return err
			}
			h.release(len(data), time.Now())
		case received:
			if h.broken != nil {
				return h.broken
			}
			return nil
		default:
			h.awaitArrived()
		}
	}
}

func write(sink Sink, data []byte) error {
	err := sink.WriteChunk(data)
	if err == nil {
		err = sink.Flush()
	}
	if err != nil {
		return errors.Wrapf(ErrCallerStalled, "%v", err)
	}
	return nil
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func (h *heldAnswer) awaitArrived() {
	select {
	case <-h.arrived:
	case <-h.received:
	}
}

// next returns the oldest bytes that have not been sent.
func (h *heldAnswer) next() []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.held) == 0 {
		return nil
	}
	p := h.held[0]
	return p.data[p.sent:p.filled]
}

// release records that the oldest n bytes have been sent. A piece that has been sent is given back.
func (h *heldAnswer) release(n int, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.held[0]
	p.sent += n
	h.holder.Moved(now)
	if p.sent < pieceSize {
		h.holder.Return(0, h.oldest())
		return
	}
	h.held = h.held[1:]
	pieces.Put(p.data)
	h.holder.Return(pieceSize, h.oldest())
	notify(h.taken)
}

// oldest returns since when the oldest bytes wait for the caller, zero if there are none. It must be called with the lock held.
func (h *heldAnswer) oldest() time.Time {
	if len(h.held) == 0 || h.held[0].sent == h.held[0].filled {
		return time.Time{}
	}
	return h.held[0].since
}

// unsent returns the number of bytes that the caller has not taken.
func (h *heldAnswer) unsent() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	sum := 0
	for _, p := range h.held {
		sum += p.filled - p.sent
	}
	return sum
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
