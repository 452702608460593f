package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/membership"
)

// A VM has just been restarted and a caller asks it for an address before it
// has heard any other VM. If it named itself, the caller would be refused there,
// as one of 800 was in a rolling restart under load.
func TestStartingVMDoesNotNameItself(t *testing.T) {
	self := membership.Node{VM: "a", CallerURL: "http://127.0.0.1:1"}
	other := membership.Node{VM: "b", CallerURL: "http://127.0.0.1:2", Ready: true}
	cases := []struct {
		name  string
		alone bool
		view  membership.View
		want  int
	}{
		{"nobody heard", false, membership.View{Self: self}, 0},
		{"another one heard", false, membership.View{Self: self, Members: []membership.Member{{Node: other}}}, 1},
		{"no other VM in the settings", true, membership.View{Self: self}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			view := func() *membership.View { return &c.view }
			a := newAddresses(time.Second, 10, c.alone, view, func(string) bool { return false })
			named, _ := a.Answer("")
			require.Len(t, named, c.want)
			for _, address := range named {
				require.Equal(t, c.alone, address.URL == self.CallerURL)
			}
		})
	}
}
