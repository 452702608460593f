package vm

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A term ends while an order is on its way out. If the VM told its successor then that it
// had given no orders lately, the successor's first order could overtake this one.
func TestOrderUnderWayIsNotForgotten(t *testing.T) {
	o, now := orderTimes{}, time.Now()
	o.begin()
	require.Equal(t, 1, o.sending)
	o.sent(7, "i-1", now)
	o.done()
	require.Zero(t, o.sending)
	require.Equal(t, now, o.last["i-1"])
	o.sent(9, "i-2", now)
	require.NotContains(t, o.last, "i-1", "orders of an earlier term")
}
