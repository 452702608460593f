package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/membership"
)

// A caller asks a VM for addresses that has just restarted and has not received a
// heartbeat of any other VM. If the VM returned its own address, the caller would be
// refused there, as 1 of 800 was in a rolling restart under load.
func TestStartingVMDoesNotNameItself(t *testing.T) {
	self := membership.Node{VM: "a", CallerURL: "http://127.0.0.1:1"}
	other := membership.Node{VM: "b", CallerURL: "http://127.0.0.1:2", Ready: true}
	cases := []struct {
		name     string
		singleVM bool
		view     membership.View
		want     int
	}{
		{"no other VM alive", false, membership.View{Self: self}, 0},
		{"another VM alive", false, membership.View{Self: self, Members: []membership.Member{{Node: other}}}, 1},
		{"no other VM in the settings", true, membership.View{Self: self}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			view := func() *membership.View { return &c.view }
			a := newAddresses(time.Second, 10, c.singleVM, view, func(string) bool { return false })
			named, _ := a.Answer("")
			require.Len(t, named, c.want)
			for _, address := range named {
				require.Equal(t, c.singleVM, address.URL == self.CallerURL)
			}
		})
	}
}
