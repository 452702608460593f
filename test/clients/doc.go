// Package clients sends chestnut-vm processes what clients outside the limits send, to each of their listeners: heads
// without end, heads of very many short lines, bodies that do not come, answers that are not read, connections without
// number. The processes have lowered limits of memory and of descriptors, so that a small crowd shows what many clients do.
// Nothing here depends on the speed of the machine: a process has to live, to stay within its limits, and to answer an
// ordinary request while the crowd is connected. Everything is in test files.
package clients
