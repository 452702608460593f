// Package admission decides which requests get the room of a service while more is asked for than it can serve in time. It
// answers load that exceeds the slots of a service's upstreams, or of the engines that hold a model, for longer than a moment.
//
// Every VM decides by itself, from what it and the other VMs are asked for, in sums by urgency and team that pass with the
// VMs' reports while room is short. From these sums it computes which fraction of each class is admitted: urgent requests
// first, then teams by fair shares of the cost of their requests. It applies the fractions to its own requests. No VM is asked
// about a request, and nothing is shared out that a VM could hold without using it.
//
// The room is corrected by what is in flight: work beyond the slots lowers it until the queues are short again, idle slots
// while requests are rejected raise it. While room is not short, every request is admitted.
//
// The package does no I/O and reads no clock.
package admission
