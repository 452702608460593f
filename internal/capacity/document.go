package main

import (
	"fmt"
	"strings"

	"github.com/chestnutarch/chestnutarch/internal/configstate"
	"github.com/chestnutarch/chestnutarch/internal/document"
)

const (
	targetEngines    = 12000
	targetModels     = 360
	adaptersPerModel = 5
	documentTeams    = 40
	documentHeader   = "environment: target\nfailure_domains: [%s]\nteams:\n"
	// targetDomains is the number of the target's failure domains.
	targetDomains = 38
	// modelsPerEngine is the number of models on an engine. It also limits the
	// number of models at small sizes, so that the engines can hold them all.
	modelsPerEngine = 3
)

// engineSizes are the numbers of engines that are measured, from today's upwards.
var engineSizes = []int{20, 200, 1200, 3000}

// modelsFor returns the number of models that are measured with n engines.
func modelsFor(n int) int { return min(targetModels, n*modelsPerEngine/2) }

// documentText returns the text of an environment document with n engines.
func documentText(n int) string {
	var b strings.Builder
	names := make([]string, targetDomains)
	for i := range names {
		names[i] = fmt.Sprintf("d%d", i)
	}
	fmt.Fprintf(&b, documentHeader, strings.Join(names, ", "))
	for i := range documentTeams {
		digest := configstate.DigestKey(fmt.Sprint(i))
		fmt.Fprintf(&b, "- {name: team-%d, rate: 60000, burst: 400000, keys: [{id: k, sha256: %s}]}\n", i, digest)
	}
	b.WriteString("models:\n")
	for i := range modelsFor(n) {
		fmt.Fprintf(&b, "- name: model-%03d\n  version: v1\n  memory: 8GiB\n  adapters:\n", i)
		for j := range adaptersPerModel {
			fmt.Fprintf(&b, "  - {name: adapter-%03d-%d, version: v1, memory: 200MiB, max_in_flight: 60}\n", i, j)
		}
	}
	b.WriteString("engines:\n")
	for i := range n {
		fmt.Fprintf(&b, "- {name: engine-%05d, url: \"https://10.%d.%d.%d:8000\", failure_domain: d%d, memory: 80GiB, kv_cache_reserve: 24GiB, fencing: enforced}\n",
			i, 64+i/62500, i/250%250, i%250+1, i%targetDomains)
	}
	b.WriteString("weight_store: {loads_per_second: 20, concurrent_loads: 100}\n")
	return b.String()
}

// parseDocument returns the parsed and validated document with n engines.
func parseDocument(n int) *document.Document {
	doc, err := document.Parse([]byte(documentText(n)), "target.yaml")
	must(err)
	return doc
}
