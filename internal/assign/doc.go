// Package assign decides which upstream a request is sent to, and whether it is sent at
// all. It does no I/O and reads no clock: requests, answers and reports are passed in with
// the present time, and choices are returned.
//
// The package is built for many concurrent callers and few engines. A prompt of about nine
// thousand tokens takes an engine a quarter of a second unless the prompt's shared prefixes
// are in the engine's prefix cache, so a request goes where its prefixes are cached until
// the backlog there outweighs the saving. What cannot start within its objective is refused
// at once, since an engine that prefills prompts whose callers have given up delays the
// next ones as well.
//
// A stream also has to keep the time between its events short. An engine prefills prompts
// between the steps that generate the tokens of its streams, so several prompts at once
// stall all of them. Prompts are therefore sent one after the other, paced by the prefill
// work that all VMs have given the engine.
//
// Not every upstream that answers may be given any request. A cold one bears few requests from all VMs
// together, and those of a failure domain that is being evacuated are to get none: for a while both get
// only what no other upstream can take.
package assign
