// Package placement decides which engine holds which model and adapter. It is
// pure: the fleet, the document, the demand and what is resident go in, and the
// set of items that each engine should hold comes out, with a reason for each.
//
// Three rules stand in this order. Every model and adapter has one copy. Every
// model and adapter has copies in two failure domains, where memory lets it.
// What is left follows demand. A copy that is resident stays where it is unless
// the memory is worth clearly more to another item: see Options.Hysteresis.
package placement
