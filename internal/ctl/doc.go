// Package ctl implements chestnutctl, the operators' command line. Its only
// remote interface is the operators' API of the entry VMs.
package ctl
