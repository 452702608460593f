// Package httpconn sends single HTTP/1.1 requests over persistent connections, with
// net/http's reader and writer but without its client.
//
// The client of net/http automatically resends an idempotent request when a reused
// connection breaks. The upstream would then receive a request that no retry limit
// counted. Here one call sends at most one request, the error says whether any byte of
// it may have been sent, and the caller decides whether a connection is reused.
package httpconn
