package traffic

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// BenchmarkServe measures requests with shared prompt parts while no upstream has ended.
func BenchmarkServe(b *testing.B) {
	f := newFixture(resumable, map[string]script{"a": oneEvent, "b": oneEvent})
	f.core.options.Log = zerolog.Nop()
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		q := &Request{
			ID: fmt.Sprint(n), Host: "h", Path: "/", Method: http.MethodPost, Arrived: time.Now(), Timeout: 20 * time.Second, Model: "m",
			PromptTokens: 100, OutputTokens: 100, TokensDeclared: true,
			Parts: []PromptPart{{"aa", 40}, {fmt.Sprintf("b%d", n%100), 40}, {fmt.Sprintf("c%d", n), 20}},
		}
		if err := f.core.Serve(b.Context(), q, &fakeSink{}); err != nil {
			b.Fatal(err)
		}
	}
}
