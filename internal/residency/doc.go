// Package residency decides which engine holds which models and adapters. It does
// no I/O: the state of the engines and the demand go in, orders come out.
//
// The load it answers: more adapters than places on any engine, asked for a few at
// a time, and models whose demand comes and goes within seconds while a load from
// the weight store takes as long. So adapters are brought when they are asked for,
// to an engine with little to do, and models are moved only for a reason that
// outlasts the move. Memory goes to the models that are asked for: of one that is not,
// some engine keeps the weights at hand, and its first request brings it back.
package residency
