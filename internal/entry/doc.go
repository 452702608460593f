// Package entry assembles chestnut-entry: it builds the components, connects them,
// starts them in order, and shuts them down without cutting off running requests.
package entry
