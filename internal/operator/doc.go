// Package operator is the operators' HTTP API, which every chestnut-entry serves
// on a listener of its own, and its typed client. Any VM carries out any change;
// nothing is kept between two calls.
package operator
