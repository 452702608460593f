// Package settings reads and checks the YAML settings of the system's processes.
package settings
