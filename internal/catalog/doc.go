// Package catalog holds the configuration in force as an entry VM needs it: which
// routes lead to which services, which teams hold which keys and rates, and what
// the engines of a service can hold. A Catalog is immutable; a new configuration
// makes a new one.
package catalog
