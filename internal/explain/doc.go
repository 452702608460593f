// Package explain tells from collected logs what happened to one request. It does no
// I/O of its own: lines go in, the story comes out.
package explain
