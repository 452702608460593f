package main

import (
	"fmt"
	"strings"

	"github.com/chestnutarch/chestnutarch/internal/configstate"
	"github.com/chestnutarch/chestnutarch/internal/document"
)

const (
	targetEngines  = 12000
	targetModels   = 360
	modelAdapters  = 5
	documentTeams  = 40
	documentFormat = "environment: target\nfailure_domains: [%s]\nteams:\n"
	// domains is the number of the target's failure domains.
	domains = 38
	// modelsPerEngine keeps small sizes able to hold their models.
	modelsPerEngine = 3
)

// engineSizes are the fleets of engines that are measured: today's and up.
var engineSizes = []int{20, 200, 1200, 3000}

// modelsFor returns how many models n engines are measured with.
func modelsFor(n int) int { return min(targetModels, n*modelsPerEngine/2) }

// documentFor returns the text of a document with n engines.
func documentFor(n int) string {
	var b strings.Builder
	names := make([]string, domains)
	for i := range names {
		names[i] = fmt.Sprintf("d%d", i)
	}
	fmt.Fprintf(&b, documentFormat, strings.Join(names, ", "))
	for i := range documentTeams {
		digest := configstate.DigestKey(fmt.Sprint(i))
		fmt.Fprintf(&b, "- {name: team-%d, rate: 60000, burst: 400000, keys: [{id: k, sha256: %s}]}\n", i, digest)
	}
	b.WriteString("models:\n")
	for i := range modelsFor(n) {
		fmt.Fprintf(&b, "- name: model-%03d\n  version: v1\n  memory: 8GiB\n  adapters:\n", i)
		for j := range modelAdapters {
			fmt.Fprintf(&b, "  - {name: adapter-%03d-%d, version: v1, memory: 200MiB, max_in_flight: 60}\n", i, j)
		}
	}
	b.WriteString("engines:\n")
	for i := range n {
		fmt.Fprintf(&b, "- {name: engine-%05d, url: \"https://10.%d.%d.%d:8000\", failure_domain: d%d, memory: 80GiB, kv_cache_reserve: 24GiB, fencing: enforced}\n",
			i, 64+i/62500, i/250%250, i%250+1, i%domains)
	}
	b.WriteString("weight_store: {loads_per_second: 20, concurrent_loads: 100}\n")
	return b.String()
}

// parsed returns the checked document with n engines.
func parsed(n int) *document.Document {
	doc, err := document.Parse([]byte(documentFor(n)), "target.yaml")
	must(err)
	return doc
}
