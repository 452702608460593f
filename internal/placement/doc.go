// Package placement decides which engine holds which model and adapter. It is
// pure: Make computes the items that each engine should hold, with a reason for
// each, from the engines, the document, the demand and what is resident.
//
// The rules apply in this order. Every model and adapter has one copy. Every
// model and adapter has copies in two failure domains, where memory allows it.
// The remaining memory is assigned by demand. A resident copy stays where it is
// unless another item needs the memory clearly more: see Options.Hysteresis.
package placement
