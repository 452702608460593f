// Package inbound accepts connections of clients that may not behave, for the servers of net/http and for others.
//
// A Listener keeps the number of its connections within a group of connlimit, which has to know what each connection is doing:
// Conn follows the requests of an HTTP/1.1 connection by the bytes that the server reads, finds the ends of heads in them, and
// learns from the server's hooks where bodies begin and when requests have been answered. It hands out no byte beyond the end
// of a head or of a body of known length, so that the server never holds a part of the next request.
package inbound
