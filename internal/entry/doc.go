// Package entry assembles chestnut-entry: it starts the parts in order, joins
// them, and stops them so that no running request is cut.
package entry
