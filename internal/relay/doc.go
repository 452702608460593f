// Package relay carries completions from engines to callers: it goes on with a
// stream whose connection has broken, moves it to another engine, and keeps it for
// a while when the caller has gone.
package relay
