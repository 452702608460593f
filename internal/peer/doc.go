// Package peer carries messages between the system's own processes over gRPC.
package peer
