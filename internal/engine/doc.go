// Package engine is the client of model engines: OpenAI-style completion
// streams, load reports and orders, as docs/PROTOCOLS.md gives them.
package engine
