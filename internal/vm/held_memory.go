package vm

import "github.com/chestnutarch/chestnutarch/internal/holding"

// heldSocketBuffer bounds what the kernel holds of a connection in each direction, in bytes: it counts as memory of the VM.
const heldSocketBuffer = 128 << 10

const (
	// headSocketBuffer bounds what the kernel has received on a caller's connection, in bytes, unless a larger body is being read.
	headSocketBuffer = 16 << 10
	// peerSocketBuffer bounds the same on a connection of another VM.
	peerSocketBuffer = 32 << 10
)

// boundsHeldMemory reports whether this VM bounds what it holds for callers and upstreams that read slowly: its memory is known.
func (p *Process) boundsHeldMemory() bool {
	return p.enabled(PartHeldAnswers) && p.settings.MemoryMB > 0
}

// socketBuffer returns a bound on the kernel's buffer of a connection, 0 if this VM sets none.
func (p *Process) socketBuffer(size int) int {
	if !p.boundsHeldMemory() {
		return 0
	}
	return size
}

// boundHeldMemory makes the accounts of what is held.
func (p *Process) boundHeldMemory() {
	if !p.boundsHeldMemory() {
		return
	}
	memory := int64(p.settings.MemoryMB) << 20
	p.answers, p.bodies = holding.NewAccount(memory), holding.NewAccount(memory)
}

// updateHeldMemory updates the gauges of the memory that is held for callers and upstreams that read slowly.
func (p *Process) updateHeldMemory() {
	p.setHeldMemory("answers", p.answers)
	p.setHeldMemory("bodies", p.bodies)
}

func (p *Process) setHeldMemory(kind string, account *holding.Account) {
	if account == nil {
		return
	}
	counts := account.Counts()
	p.setGauge("held."+kind+"_bytes", account.Held())
	p.setGauge("held."+kind+"_limit_bytes", account.Limit())
	p.setGauge("held."+kind+"_ended", counts.Ended)
	p.setGauge("held."+kind+"_refused", counts.Refused)
}

// logBodyRefused logs that a request was refused since there is no memory for its body.
func (p *Process) logBodyRefused(request string, err error) {
	p.incrementCounter("requests.no_memory")
	p.log.Warn().Str("event", "body_refused").Str("request", request).AnErr("cause", err).
		Int64("held_bytes", p.bodies.Held()).Int64("limit_bytes", p.bodies.Limit()).Send()
}
