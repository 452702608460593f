package holding

import (
	"sync"
	"time"
)

const (
	// memoryShare is the part of a VM's memory that one account may use.
	memoryShare = 1.0 / 8
	// aheadShare is the part of an account that may be used for bytes ahead of what holders need to go on.
	aheadShare = 1.0 / 2
	// maxAhead bounds the bytes of one holder, beyond which it gets no more ahead of its reader.
	maxAhead = 256 << 10
	// stalledAfter is how long none of a holder's bytes moves before the holder may be ended. A reader that is only slow
	// takes a piece in less.
	stalledAfter = time.Second
	// RetryAfter is when a request that found no room may be sent again: by then what stalls may be ended.
	RetryAfter = stalledAfter
)

// Account bounds the bytes that holders hold together. It is safe for concurrent use.
type Account struct {
	limit int64

	mu      sync.Mutex
	held    int64
	holders map[*Holder]struct{}
	counts  Counts
}

// Counts counts decisions of an account.
type Counts struct {
	// Ended counts the holders that were ended, Refused the requests for bytes that found no room.
	Ended, Refused int64
}

// Holder holds bytes for one peer. Its methods are safe for concurrent use.
type Holder struct {
	account *Account
	end     func()
	// The fields below are guarded by the account's mutex. oldest is when the holder took the oldest of its bytes, zero if none
	// waits for its peer. moved is when its peer last took or sent bytes.
	bytes         int64
	oldest, moved time.Time
	ended         bool
}

// NewAccount returns an account that may use its share of a VM's memory, which is given in bytes.
func NewAccount(memory int64) *Account {
	return &Account{limit: int64(memoryShare * float64(memory)), holders: make(map[*Holder]struct{})}
}

// Limit returns the bytes that holders may hold together.
func (a *Account) Limit() int64 { return a.limit }

// Held returns the bytes that holders hold together.
func (a *Account) Held() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held
}

// Counts returns what the account has decided so far.
func (a *Account) Counts() Counts {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.counts
}

// Open returns a holder without bytes. end is called, without locks, when the holder is ended; if it is nil, the holder is never
// ended. The holder must be closed.
func (a *Account) Open(end func()) *Holder { return &Holder{account: a, end: end} }

// Take adds n bytes that the holder needs to go on. To make room, it ends stalled holders. It returns false if there is
// no room even then, or if the holder was ended.
func (h *Holder) Take(n int64, now time.Time) bool {
	a := h.account
	a.mu.Lock()
	ended, ok := a.makeRoom(h, n, now)
	if ok {
		a.add(h, n, now)
	} else {
		a.counts.Refused++
	}
	a.mu.Unlock()
	for _, other := range ended {
		other.end()
	}
	return ok
}

// TakeAhead adds n bytes that the holder does not need to go on, if there is plenty of room.
func (h *Holder) TakeAhead(n int64, now time.Time) bool {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.ended || h.bytes+n > maxAhead || float64(a.held+n) > aheadShare*float64(a.limit) {
		return false
	}
	a.add(h, n, now)
	return true
}

// Return gives n bytes back. oldest is when the holder took the oldest of those that it still holds. It is zero if none of them
// waits for the peer: such a holder is not ended.
func (h *Holder) Return(n int64, oldest time.Time) {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.ended {
		return
	}
	a.held -= n
	h.bytes -= n
	h.oldest = oldest
	if h.bytes <= 0 {
		delete(a.holders, h)
	}
}

// Moved records that the holder's peer has taken or sent bytes.
func (h *Holder) Moved(now time.Time) {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.moved = now
}

// FitsAlone reports whether n more bytes would fit if there were no other holders.
func (h *Holder) FitsAlone(n int64) bool {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.bytes+n <= h.account.limit
}

// Stalled reports whether the holder may be ended for others, since its peer has taken or sent nothing for a while.
func (h *Holder) Stalled(now time.Time) bool {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.stalled(now)
}

// Keep makes the holder one that is not ended. It returns false if it was ended before.
func (h *Holder) Keep() bool {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if h.ended {
		return false
	}
	h.end = nil
	return true
}

// Ended reports whether the holder was ended.
func (h *Holder) Ended() bool {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.ended
}

// Close gives all bytes of the holder back.
func (h *Holder) Close() {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.account.remove(h)
}

func (a *Account) add(h *Holder, n int64, now time.Time) {
	if h.bytes == 0 {
		h.oldest = now
		a.holders[h] = struct{}{}
	}
	h.bytes += n
	a.held += n
}

func (a *Account) remove(h *Holder) {
	a.held -= h.bytes
	h.bytes = 0
	delete(a.holders, h)
}

// makeRoom ends holders other than h until n more bytes fit, and returns them. It ends none if that does not suffice.
func (a *Account) makeRoom(h *Holder, n int64, now time.Time) (ended []*Holder, ok bool) {
	if h.ended {
		return nil, false
	}
	missing := a.held + n - a.limit
	if missing <= 0 {
		return nil, true
	}
	if a.stalledBytes(h, now) < missing {
		return nil, false
	}
	for missing > 0 {
		worst := a.worst(h, now)
		missing -= worst.bytes
		a.remove(worst)
		worst.ended = true
		a.counts.Ended++
		ended = append(ended, worst)
	}
	return ended, true
}

// stalledBytes returns the bytes of the holders other than h that may be ended.
func (a *Account) stalledBytes(h *Holder, now time.Time) int64 {
	var sum int64
	for other := range a.holders {
		if other != h && other.stalled(now) {
			sum += other.bytes
		}
	}
	return sum
}

// worst returns the stalled holder other than h that holds most for longest, nil if there is none.
func (a *Account) worst(h *Holder, now time.Time) *Holder {
	var worst *Holder
	for other := range a.holders {
		if other == h || !other.stalled(now) {
			continue
		}
		if worst == nil || other.byteSeconds(now) > worst.byteSeconds(now) {
			worst = other
		}
	}
	return worst
}

// stalled reports whether bytes wait for the holder's peer and none has moved for so long that the holder may be ended.
func (h *Holder) stalled(now time.Time) bool {
	return h.end != nil && !h.oldest.IsZero() && now.Sub(h.oldest) > stalledAfter && now.Sub(h.moved) > stalledAfter
}

func (h *Holder) byteSeconds(now time.Time) float64 {
	return float64(h.bytes) * now.Sub(h.oldest).Seconds()
}
