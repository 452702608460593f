// Package order decides which orders go to which engine and when. It is pure:
// answers, reports and the present time go in; reads, writes and orders to be
// carried out come out.
//
// Safety rests on one record per engine in the key-value service, the account:
// every item that the engine could hold under any order ever sent to it. An
// order is recorded there by compare-and-swap before it is sent, and an item
// leaves the record only when nothing that was sent can bring it back. The
// leader's lease only keeps two planners from doing the same work twice.
package order
