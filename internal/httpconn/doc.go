// Package httpconn sends single HTTP/1.1 requests over kept connections, with
// net/http's reader and writer but without its client.
//
// The client of net/http sends an idempotent request again by itself when a kept
// connection breaks. The upstream would then see a request that no retry limit
// counted. Here one call is one request on the wire, an error says whether any
// byte of it left, and the caller decides whether a connection is kept.
package httpconn
