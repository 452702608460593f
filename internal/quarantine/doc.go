// Package quarantine decides which requests are not sent any more because upstreams end under them. It does no I/O.
//
// A request that makes its upstream crash ends one upstream after another as its caller repeats it, with a new ID and
// through other VMs. VMs therefore tell each other, by a hash of the request's contents, under which requests upstreams
// have ended. Requests that merely ran on an upstream as it crashed are told apart by what follows: they are answered
// elsewhere, and few of them see a second end.
//
// A part of prompts may have the same effect, in requests of which no two are alike. The parts of the requests whose
// answers had not begun as their upstream ended are counted by the same table. Sound parts are told apart by answers that
// begin, and by the ends that another part explains.
package quarantine
