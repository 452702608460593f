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
	// changesMeasured is how many changes are taken at each size.
	changesMeasured = 5
)

// measureConfiguration takes one-line changes of documents of several sizes, as
// a VM does that is told of them by a peer.
func measureConfiguration() []series {
	cpu := series{role: "entry: configuration", name: "processor time at 13,000 changes a day", unit: "% of a core", sizeName: "engines", target: targetEngines}
	whole := series{role: "entry: configuration", name: "received, whole envelopes", unit: "KB/s", sizeName: "engines", target: targetEngines}
	delta := series{role: "entry: configuration", name: "received, deltas", unit: "KB/s", sizeName: "engines", target: targetEngines}
	stored := series{role: "key-value service", name: "size of the value", unit: "MB", sizeName: "engines", target: targetEngines}
	memory := series{role: "entry: configuration", name: "memory", unit: "MB", sizeName: "engines", target: targetEngines}
	for _, n := range engineSizes {
		text := documentFor(n)
		before := heap()
		state := &configstate.State{}
		take(state, envelopeOf(1, text))
		memory.add(n, (heap()-before)/megabyte)
		from := envelopeOf(1, text)
		seconds := timed(func() {
			for i := range changesMeasured {
				take(state, envelopeOf(int64(i+2), changed(text, i)))
			}
		})
		cpu.add(n, seconds/changesMeasured*changesPerSecond*percent)
		to := envelopeOf(2, changed(text, 0))
		encoded, err := to.Encode()
		must(err)
		small, err := configstate.EncodeDeltas("", []configstate.Delta{configstate.NewDelta(from, to)}, 0)
		must(err)
		stored.add(n, float64(len(encoded))/megabyte)
		whole.add(n, float64(len(encoded))*changesPerSecond/kilobyte)
		delta.add(n, float64(len(small)+frameBytes)*changesPerSecond/kilobyte)
	}
	return []series{cpu, whole, delta, memory, stored}
}

func changed(text string, i int) string {
	return strings.Replace(text, "rate: 60000", fmt.Sprintf("rate: %d", 60001+i), 1)
}

func envelopeOf(version int64, text string) *configstate.Envelope {
	return &configstate.Envelope{Version: version, ChangeID: fmt.Sprint(version), Digest: document.Digest([]byte(text)), Document: text}
}

func take(s *configstate.State, e *configstate.Envelope) {
	_, err := s.Offer(e)
	must(err)
}
