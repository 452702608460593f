package ratelimit

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/internal/quota"
)

func encodeHolder(h quota.Holder) *peerpb.Holder {
	return &peerpb.Holder{Vm: h.VM, Incarnation: h.Incarnation}
}

func decodeHolder(h *peerpb.Holder) quota.Holder {
	return quota.Holder{VM: h.GetVm(), Incarnation: h.GetIncarnation()}
}

func encodeLoan(id quota.LoanID) *peerpb.LoanID {
	return &peerpb.LoanID{Borrower: encodeHolder(id.Borrower), Number: id.Number}
}

func decodeLoan(id *peerpb.LoanID) quota.LoanID {
	return quota.LoanID{Borrower: decodeHolder(id.GetBorrower()), Number: id.GetNumber()}
}

// Encode converts a message to its wire form. It returns an empty message for a type
// that it does not support.
func Encode(message quota.Message) *peerpb.QuotaMessage {
	switch m := message.(type) {
	case quota.Ask:
		return &peerpb.QuotaMessage{Body: &peerpb.QuotaMessage_Ask{Ask: &peerpb.LoanAsk{
			Loan: encodeLoan(m.Loan), Team: m.Team, Units: m.Units, Balance: m.Balance, Collect: m.Collect, Ahead: m.Ahead,
		}}}
	case quota.Answer:
		return &peerpb.QuotaMessage{Body: &peerpb.QuotaMessage_Answer{Answer: &peerpb.LoanAnswer{
			Loan: encodeLoan(m.Loan), Team: m.Team, Units: m.Units, Balance: m.Balance,
			Ttl: int64(m.TTL), Left: m.Left, Idle: m.Idle, LentTo: m.LentTo, Busy: m.Busy,
		}}}
	case quota.Return:
		return &peerpb.QuotaMessage{Body: &peerpb.QuotaMessage_Return{Return: &peerpb.LoanReturn{
			Loan: encodeLoan(m.Loan), Team: m.Team, Balance: m.Balance,
		}}}
	case quota.Renew:
		return &peerpb.QuotaMessage{Body: &peerpb.QuotaMessage_Renew{Renew: &peerpb.LoanRenew{
			Loan: encodeLoan(m.Loan), Team: m.Team, Number: m.Number,
		}}}
	case quota.Renewed:
		return &peerpb.QuotaMessage{Body: &peerpb.QuotaMessage_Renewed{Renewed: &peerpb.LoanRenewed{
			Loan: encodeLoan(m.Loan), Team: m.Team, Number: m.Number, Ttl: int64(m.TTL),
		}}}
	case quota.PromiseRequest:
		return &peerpb.QuotaMessage{Body: &peerpb.QuotaMessage_PromiseAsk{PromiseAsk: &peerpb.PromiseAsk{
			From: encodeHolder(m.From), To: encodeHolder(m.To), Number: m.Number,
		}}}
	case quota.Promise:
		return &peerpb.QuotaMessage{Body: &peerpb.QuotaMessage_Promise{Promise: &peerpb.Promise{
			From: encodeHolder(m.From), To: encodeHolder(m.To), Number: m.Number,
		}}}
	default:
		return &peerpb.QuotaMessage{}
	}
}

// decodeMessage converts a message from its wire form. Negative units and balances
// become 0. It returns nil for a message kind that this version does not support.
func decodeMessage(message *peerpb.QuotaMessage) quota.Message {
	switch b := message.GetBody().(type) {
	case *peerpb.QuotaMessage_Ask:
		m := b.Ask
		return quota.Ask{Loan: decodeLoan(m.GetLoan()), Team: m.GetTeam(), Units: max(m.GetUnits(), 0), Balance: max(m.GetBalance(), 0), Collect: m.GetCollect(), Ahead: m.GetAhead()}
	case *peerpb.QuotaMessage_Answer:
		m := b.Answer
		return quota.Answer{
			Loan: decodeLoan(m.GetLoan()), Team: m.GetTeam(), Units: max(m.GetUnits(), 0), Balance: max(m.GetBalance(), 0),
			TTL: time.Duration(m.GetTtl()), Left: m.GetLeft(), Idle: m.GetIdle(), LentTo: m.GetLentTo(), Busy: m.GetBusy(),
		}
	case *peerpb.QuotaMessage_Return:
		m := b.Return
		return quota.Return{Loan: decodeLoan(m.GetLoan()), Team: m.GetTeam(), Balance: max(m.GetBalance(), 0)}
	case *peerpb.QuotaMessage_Renew:
		m := b.Renew
		return quota.Renew{Loan: decodeLoan(m.GetLoan()), Team: m.GetTeam(), Number: m.GetNumber()}
	case *peerpb.QuotaMessage_Renewed:
		m := b.Renewed
		return quota.Renewed{Loan: decodeLoan(m.GetLoan()), Team: m.GetTeam(), Number: m.GetNumber(), TTL: time.Duration(m.GetTtl())}
	case *peerpb.QuotaMessage_PromiseAsk:
		m := b.PromiseAsk
		return quota.PromiseRequest{From: decodeHolder(m.GetFrom()), To: decodeHolder(m.GetTo()), Number: m.GetNumber()}
	case *peerpb.QuotaMessage_Promise:
		m := b.Promise
		return quota.Promise{From: decodeHolder(m.GetFrom()), To: decodeHolder(m.GetTo()), Number: m.GetNumber()}
	default:
		return nil
	}
}

// MessageBytes returns the size in bytes of a message's payload on the wire.
func MessageBytes(message quota.Message) int {
	return proto.Size(Encode(message))
}
