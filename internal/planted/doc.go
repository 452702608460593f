// Package planted helps tests to show that an oracle notices a fault that was
// put in on purpose. A check that finds nothing proves nothing; a seed that finds
// the fault again shows that the check can fail.
package planted
