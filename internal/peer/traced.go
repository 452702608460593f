package peer

import (
	"google.golang.org/grpc/stats"

	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
)

// periodicCalls holds the full names of the calls that VMs make regularly, independent of
// requests.
var periodicCalls = map[string]bool{
	peerpb.VMs_Exchange_FullMethodName: true, peerpb.VMs_Follow_FullMethodName: true, peerpb.VMs_Sent_FullMethodName: true,
}

// traced reports whether a call gets a span. Calls that serve a request, an order or an
// operator's change do; periodic calls do not.
func traced(call *stats.RPCTagInfo) bool { return !periodicCalls[call.FullMethodName] }
