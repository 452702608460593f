package peer

import (
	"github.com/chestnutarch/chestnutarch/internal/membership"
	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
)

// EncodeNode converts a VM's report about itself to a protobuf message.
func EncodeNode(n membership.Node) *peerpb.NodeState {
	return &peerpb.NodeState{
		Vm:            n.VM,
		Incarnation:   n.Incarnation,
		Sequence:      n.Sequence,
		FailureDomain: n.FailureDomain,
		CallerUrl:     n.CallerURL,
		PeerAddress:   n.PeerAddress,
		ConfigVersion: n.ConfigVersion,
		Leaving:       n.Leaving,
		Ready:         n.Ready,
		InFlight:      n.InFlight,
		ServedTokens:  n.ServedTokens,
		Silent:        n.Silent,

		QuotaIncarnation: n.QuotaIncarnation,
		Withdrawn:        n.Withdrawn,
		WithdrawnSum:     n.WithdrawnSum,
	}
}

// DecodeNode converts a protobuf message to a VM's report about itself. A nil message gives
// a report without a VM ID, which package membership ignores.
func DecodeNode(m *peerpb.NodeState) membership.Node {
	return membership.Node{
		VM:            m.GetVm(),
		Incarnation:   m.GetIncarnation(),
		Sequence:      m.GetSequence(),
		FailureDomain: m.GetFailureDomain(),
		CallerURL:     m.GetCallerUrl(),
		PeerAddress:   m.GetPeerAddress(),
		ConfigVersion: m.GetConfigVersion(),
		Leaving:       m.GetLeaving(),
		Ready:         m.GetReady(),
		InFlight:      m.GetInFlight(),
		ServedTokens:  m.GetServedTokens(),
		Silent:        m.GetSilent(),

		QuotaIncarnation: m.GetQuotaIncarnation(),
		Withdrawn:        m.GetWithdrawn(),
		WithdrawnSum:     m.GetWithdrawnSum(),
	}
}

// EncodeNodes converts reports to messages.
func EncodeNodes(nodes []membership.Node) []*peerpb.NodeState {
	messages := make([]*peerpb.NodeState, 0, len(nodes))
	for _, n := range nodes {
		messages = append(messages, EncodeNode(n))
	}
	return messages
}

// DecodeNodes converts messages to reports.
func DecodeNodes(messages []*peerpb.NodeState) []membership.Node {
	nodes := make([]membership.Node, 0, len(messages))
	for _, m := range messages {
		nodes = append(nodes, DecodeNode(m))
	}
	return nodes
}
