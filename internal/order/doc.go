// Package order decides which load and unload orders go to which engine, and when. It
// does no I/O: its inputs are answers, load reports and the current time, and its
// outputs are the reads, writes, polls and orders to execute.
//
// Safety rests on one record per engine in the key-value service, the account: every
// item that the engine could hold under any order ever sent to it. An order is recorded
// there by compare-and-swap before it is sent, and an item is removed from the record
// only when no order that was sent can load it again. The leader lease only keeps two
// planners from doing the same work twice.
package order
