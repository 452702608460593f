// Package residency decides which engine holds which models and adapters. It does
// no I/O: it maps the state of the engines and the demand to orders.
//
// It is designed for two properties of the load. There are more adapters than slots on
// any engine, and a few of them are requested at a time. The demand for a model rises
// and falls within seconds, while a load from the weight store takes as long. Adapters
// are therefore loaded on request, on an engine with little load, and models are moved
// only for a reason that outlasts the move. Memory goes to the models in demand. Some
// engine keeps the weights of every other model locally, and the first request for such
// a model reloads it.
package residency
