package membership

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkView measures building the view, which a VM does after each heartbeat, in a
// fleet of the target size (420 VMs, 38 failure domains).
func BenchmarkView(b *testing.B) {
	served := make(map[string]int64)
	for i := range 40 {
		served[fmt.Sprint("team-", i)] = int64(i)
	}
	s := New(Config{}, Node{VM: "self", FailureDomain: "d0", PeerAddress: "10.0.0.1:1"})
	now := time.Unix(0, 0)
	for i := range 419 {
		s.Receive(now, Node{
			VM: fmt.Sprintf("vm%03d", i), Incarnation: 1, Sequence: 1, FailureDomain: fmt.Sprintf("d%d", i%38),
			PeerAddress: fmt.Sprintf("10.0.1.%d:1", i), ServedTokens: served,
		}, nil)
	}
	b.ReportAllocs()
	for b.Loop() {
		s.View(now)
	}
}
