// Package engine is the client of model engines: OpenAI-style completion
// streams, load reports and orders, as specified in docs/PROTOCOLS.md.
package engine
