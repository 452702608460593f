// Package admit orders the queued requests for a pool of upstreams: weighted fair
// queuing between teams by tokens served, and earliest deadline first within a team.
// It refuses requests early that cannot meet their deadlines, and its queue is
// bounded. It does no I/O.
package admit
