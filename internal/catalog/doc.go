// Package catalog holds the configuration in force in the form that an entry VM needs:
// which routes lead to which services, which teams hold which keys and rates, and what the
// engines of a service can hold. A Catalog is immutable; each configuration has its own.
package catalog
