package main

import (
	"fmt"
	"strings"

	"github.com/chestnutarch/chestnutarch/internal/configstate"
	"github.com/chestnutarch/chestnutarch/internal/document"
)

const (
	// changesPerSecond is the target's 13,000 changes a day.
	changesPerSecond = 13000.0 / 86400
	// changesMeasured is the number of changes that are applied at each size.
	changesMeasured = 5
)

// measureConfiguration measures the cost of one-line changes of documents of
// several sizes, applied as by a VM that receives them from a peer.
func measureConfiguration() []series {
	cpu := series{role: "entry: configuration", name: "processor time at 13,000 changes a day", unit: "% of a core", sizeName: "engines", target: targetEngines}
	whole := series{role: "entry: configuration", name: "received, whole envelopes", unit: "KB/s", sizeName: "engines", target: targetEngines}
	delta := series{role: "entry: configuration", name: "received, deltas", unit: "KB/s", sizeName: "engines", target: targetEngines}
	stored := series{role: "key-value service", name: "size of the value", unit: "MB", sizeName: "engines", target: targetEngines}
	memory := series{role: "entry: configuration", name: "memory", unit: "MB", sizeName: "engines", target: targetEngines}
	for _, n := range engineSizes {
		text := documentText(n)
		before := heapBytes()
		state := &configstate.State{}
		mustOffer(state, newEnvelope(1, text))
		memory.add(n, (heapBytes()-before)/megabyte)
		from := newEnvelope(1, text)
		seconds := measureSeconds(func() {
			for i := range changesMeasured {
				mustOffer(state, newEnvelope(int64(i+2), withChangedRate(text, i)))
			}
		})
		cpu.add(n, seconds/changesMeasured*changesPerSecond*percent)
		to := newEnvelope(2, withChangedRate(text, 0))
		encoded, err := to.Encode()
		must(err)
		encodedDelta, err := configstate.EncodeDeltas("", []configstate.Delta{configstate.NewDelta(from, to)}, 0)
		must(err)
		stored.add(n, float64(len(encoded))/megabyte)
		whole.add(n, float64(len(encoded))*changesPerSecond/kilobyte)
		delta.add(n, float64(len(encodedDelta)+frameBytes)*changesPerSecond/kilobyte)
	}
	return []series{cpu, whole, delta, memory, stored}
}

func withChangedRate(text string, i int) string {
	return strings.Replace(text, "rate: 60000", fmt.Sprintf("rate: %d", 60001+i), 1)
}

func newEnvelope(version int64, text string) *configstate.Envelope {
	return &configstate.Envelope{Version: version, ChangeID: fmt.Sprint(version), Digest: document.Digest([]byte(text)), Document: text}
}

func mustOffer(s *configstate.State, e *configstate.Envelope) {
	_, err := s.Offer(e)
	must(err)
}
