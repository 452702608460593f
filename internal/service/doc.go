// Package service is the client of plain services, whose calls may be impossible to repeat.
package service
