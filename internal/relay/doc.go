// Package relay forwards completions from engines to callers. It resumes a stream whose
// connection has failed, moves it to another engine if that does not succeed, and keeps
// it running for a grace period after the caller has disconnected.
package relay
