// Package assign decides which upstream a request goes to, and whether it goes at
// all. It does no I/O and reads no clock: requests, answers and reports go in with
// the present time, choices come out.
//
// The load it answers: many callers at once before few engines. A prompt of some
// nine thousand tokens takes an engine a quarter of a second unless the engine
// still keeps the prompt's shared parts, so a request goes where its parts are
// kept until the work that waits there outweighs that. What cannot be begun
// within its objective is refused at once, since an engine that reads prompts
// nobody waits for any more makes the next ones late as well.
//
// A stream also has to keep its pace. An engine reads prompts between the steps that make
// the tokens of its streams, so several prompts at once make all of them stand still; they
// are sent one after the other, by what all VMs have given the engine to read.
package assign
