package peer

import (
	"google.golang.org/grpc/stats"

	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
)

// periodic names the calls that VMs make all the time, whoever asks for what.
var periodic = map[string]bool{
	peerpb.VMs_Exchange_FullMethodName: true, peerpb.VMs_Follow_FullMethodName: true, peerpb.VMs_Sent_FullMethodName: true,
}

// traced reports whether a call gets a span: those that are a hop of a request, an order or an
// operator's change do.
func traced(call *stats.RPCTagInfo) bool { return !periodic[call.FullMethodName] }
