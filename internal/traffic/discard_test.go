package traffic

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// longRefusals answers every attempt with a refusal, and records which connections are kept.
type longRefusals struct {
	size int
	kept []bool
}

func (u *longRefusals) Send(context.Context, Attempt) (*Reply, error) {
	return &Reply{
		Status: http.StatusServiceUnavailable, Header: http.Header{}, NotExecuted: true, Body: strings.NewReader(strings.Repeat("x", u.size)),
		Close: func(keep bool) { u.kept = append(u.kept, keep) },
	}, nil
}

// Guards against a connection that is used again although a part of the last answer was not read.
func TestConnectionOfALongRefusalIsNotKept(t *testing.T) {
	for size, kept := range map[int]bool{0: true, maxDiscarded: true, maxDiscarded + 1: false} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(resumable, map[string]script{"only": answerAtOnce})
			upstreams := &longRefusals{size: size}
			f.core.options.Upstreams = upstreams
			sink, err := f.serve(t.Context(), "a")
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, sink.status)
			require.Equal(t, []bool{kept}, upstreams.kept)
		})
	}
}
