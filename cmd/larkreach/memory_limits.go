package main

import "mulleinbeam/internal/transport"

// How the memory limit is divided; docs/design/memory.md has the sum.
const (
	heapFraction = 0.6 // share of the memory limit for what Go manages; files and sockets need the rest

	programBytes     = 6 << 20   // the runtime, discovery's list, the journal's index, the log
	connectionBytes  = 8 << 10   // a client's connection: its goroutine's stack, its socket, the parser's first buffer
	answerBytes      = 96 << 10  // an endpoint's answer that is being read, for each slot
	minRequestMemory = 256 << 10 // so that requests of any size are still read, a few at a time
)

// heapBytes returns the share of the memory limit that Go's heap and stacks may take, in bytes.
func (l limits) heapBytes() int64 { return int64(heapFraction * float64(l.MemoryMB<<20)) }

// requestMemoryBytes returns the bound on the memory of clients' requests that are not whole: what is left of the heap's share.
func requestMemoryBytes(l limits, maxConnections, slots int) int64 {
	connections := int64(maxConnections+transport.OverflowConnections) * connectionBytes
	bodies := int64(l.DiskMB * 1e6)
	return max(minRequestMemory, l.heapBytes()-programBytes-connections-int64(slots)*answerBytes-bodies)
}
