package httpconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/url"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/transport"
)

// One exchange over a kept connection, with the headers of a prompt.
func BenchmarkExchange(b *testing.B) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(b, err)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				r := bufio.NewReader(c)
				for respond(c, r, okResponse) {
				}
			}()
		}
	}()
	p, address, body := NewPool(transport.Limits{}), l.Addr().String(), []byte("{}")
	b.ReportAllocs()
	for b.Loop() {
		r := &http.Request{Method: "POST", URL: &url.URL{Scheme: "http", Host: address, Path: "/draft/7"}, Host: "callers.example", Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{
			"X-Attempt": {"9c41d07be2a35f68"}, "X-Model": {"daka510000"}, "X-Tokens": {"1460,80"}, "X-Prefix": {"5c1e07a2:800,91bd3f06:410,e4402b7d:250"}, "X-Deadline": {"5000"},
		}}
		x, err := p.Do(b.Context(), Send{Address: address, Request: r, Body: body})
		require.NoError(b, err)
		_, err = io.Copy(io.Discard, x.Response.Body)
		require.NoError(b, err)
		x.Close(true)
	}
}
