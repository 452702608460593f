// Package admit decides in which order queued requests go on to a pool of
// upstreams: teams by weighted shares of the tokens served, the earliest deadline
// first inside a team. It refuses early what cannot be done in time, and it is
// bounded. It does no I/O.
package admit
