package demand

import (
	"cmp"
	"slices"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/placement"
)

// MaxTopNames bounds the number of names in a report. With names of 20 bytes a
// report stays below 4 KiB, however many models and adapters there are.
const MaxTopNames = 48

// Count is the offered load of one name: what callers requested, whether it was
// admitted or not.
type Count struct {
	placement.Name
	// Tokens is the number of tokens in the report's window.
	Tokens int64 `json:"tokens"`
}

// Report is the offered load of one entry VM in one window.
type Report struct {
	// VM names the entry VM.
	VM string `json:"vm"`
	// WindowMS is the window's length in milliseconds.
	WindowMS int64 `json:"window_ms"`
	// Top lists the names with the most tokens, at most MaxTopNames.
	Top []Count `json:"top"`
	// Rest is the sum of the tokens of all other names, RestNames the number of
	// those names.
	Rest      int64 `json:"rest,omitempty"`
	RestNames int   `json:"rest_names,omitempty"`
}

// Counter counts the offered load at one entry VM. It is not safe for
// concurrent use.
type Counter struct {
	since  time.Time
	tokens map[placement.Name]int64
}

// NewCounter returns a counter whose first window starts now.
func NewCounter(now time.Time) *Counter {
	return &Counter{since: now, tokens: make(map[placement.Name]int64)}
}

// Add counts tokens that a caller requested.
func (c *Counter) Add(n placement.Name, tokens int64) {
	c.tokens[n] += tokens
}

// CloseWindow ends the window, starts the next one and returns the report of
// the one that ended.
func (c *Counter) CloseWindow(vm string, now time.Time) Report {
	r := Report{VM: vm, WindowMS: max(1, now.Sub(c.since).Milliseconds())}
	for name, tokens := range c.tokens {
		r.Top = append(r.Top, Count{Name: name, Tokens: tokens})
	}
	slices.SortFunc(r.Top, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	if len(r.Top) > MaxTopNames {
		for _, count := range r.Top[MaxTopNames:] {
			r.Rest += count.Tokens
			r.RestNames++
		}
		r.Top = slices.Clone(r.Top[:MaxTopNames])
	}
	c.since = now
	clear(c.tokens)
	return r
}
