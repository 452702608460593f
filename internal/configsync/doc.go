// Package configsync synchronizes a VM's configuration with the key-value service
// and its peers (Syncer), and writes accepted changes (Writer). The rules are in
// package configstate; this package does the I/O around them.
package configsync
