package vm

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against VMs that no caller is sent to. 82 VMs are ready and an answer has 64
// addresses. With the same selection for all callers, 18 VMs would be idle while the others
// refuse requests.
func TestEveryVMIsReturnedToSomeDomain(t *testing.T) {
	var all []string
	for i := range 82 {
		all = append(all, fmt.Sprintf("10.0.0.%d:80", i))
	}
	named := map[string]int{}
	for _, domain := range []string{"a", "b", "c", "d"} {
		selected := selectAddresses(slices.Clone(all), domain)
		require.Len(t, selected, maxAddresses)
		require.Equal(t, selected, selectAddresses(slices.Clone(all), domain))
		for _, address := range selected {
			named[address]++
		}
		without := selectAddresses(slices.DeleteFunc(slices.Clone(all), func(a string) bool { return a == selected[0] }), domain)
		require.Subset(t, without, selected[1:], "removing one address must not change the rest of the selection")
	}
	require.Greater(t, len(named), 80)
	require.Len(t, selectAddresses(all[:7], "a"), 7)
}
