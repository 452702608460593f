// Package service is the client of plain HTTP services, whose calls may not be safe to
// repeat.
package service
