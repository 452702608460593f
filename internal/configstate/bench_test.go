package configstate

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// targetDocument returns a document of the size that an environment may have in
// two years: the given number of engines, 360 models with five adapters each and
// 40 teams.
func targetDocument(engines int) string {
	var b strings.Builder
	b.WriteString("environment: target\nfailure_domains: [a, b, c, d]\nteams:\n")
	for i := range 40 {
		fmt.Fprintf(&b, "- name: team-%d\n  rate: 60000\n  burst: 400000\n  keys: [{id: k, sha256: %s}]\n", i, DigestKey(fmt.Sprint(i)))
	}
	b.WriteString("models:\n")
	for i := range 360 {
		fmt.Fprintf(&b, "- name: model-%03d\n  version: v1\n  memory: 2GiB\n  adapters:\n", i)
		for j := range 5 {
			fmt.Fprintf(&b, "  - {name: adapter-%03d-%d, version: v1, memory: 200MiB, max_in_flight: 60}\n", i, j)
		}
	}
	b.WriteString("engines:\n")
	for i := range engines {
		fmt.Fprintf(&b, "- {name: engine-%05d, url: \"https://10.%d.%d.%d:8000\", failure_domain: %c, memory: 80GiB, kv_cache_reserve: 24GiB, fencing: enforced}\n",
			i, 64+i/62500, i/250%250, i%250+1, 'a'+i%4)
	}
	b.WriteString("weight_store: {loads_per_second: 20, concurrent_loads: 100}\n")
	return b.String()
}

// documents returns the document texts to measure, keyed by the name of their size.
func documents(b *testing.B) map[string]string {
	today, err := os.ReadFile("../../examples/gt-central.yaml")
	require.NoError(b, err)
	return map[string]string{
		"today":              string(today),
		"region,1091engines": targetDocument(1091),
		"all,12000engines":   targetDocument(12000),
	}
}

// BenchmarkOffer measures what a VM does when a changed document comes into force.
func BenchmarkOffer(b *testing.B) {
	for name, text := range documents(b) {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			version := int64(0)
			var s State
			for b.Loop() {
				version++
				changed := strings.Replace(text, "rate: ", fmt.Sprintf("rate: %d", version), 1)
				_, err := s.Offer(envelope(version, changed))
				require.NoError(b, err)
			}
			b.ReportMetric(float64(len(text)), "document-bytes")
		})
	}
}

// BenchmarkWithdrawal measures what a VM does when a key is withdrawn.
func BenchmarkWithdrawal(b *testing.B) {
	for name, text := range documents(b) {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			version := int64(0)
			var s State
			for b.Loop() {
				version++
				_, err := s.Offer(envelope(version, text, DigestKey("leaked")))
				require.NoError(b, err)
			}
		})
	}
}

// BenchmarkUpdate reports the bytes sent to a peer for one change: the whole
// envelope, and the delta of a changed line.
func BenchmarkUpdate(b *testing.B) {
	for name, text := range documents(b) {
		b.Run(name, func(b *testing.B) {
			from := envelope(1, text)
			to := envelope(2, strings.Replace(text, "rate: ", "rate: 1", 1))
			var whole, delta []byte
			for b.Loop() {
				var err error
				whole, err = to.Encode()
				require.NoError(b, err)
				delta, err = EncodeDeltas("", []Delta{NewDelta(from, to)}, 0)
				require.NoError(b, err)
			}
			b.ReportMetric(float64(len(whole)), "whole-bytes")
			b.ReportMetric(float64(len(delta)), "delta-bytes")
		})
	}
}
