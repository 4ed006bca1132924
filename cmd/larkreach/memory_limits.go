package main

import (
	"mulleinbeam/internal/protocol"
	"mulleinbeam/internal/settings"
	"mulleinbeam/internal/transport"
)

// How the memory limit is divided; docs/design/memory.md has the sum.
const (
	heapFraction = 0.6 // share of the memory limit for what Go manages; files and sockets need the rest

	programBytes    = 4 << 20   // the runtime, discovery's list, the journal's index, the log
	connectionBytes = 8 << 10   // a client's connection: its goroutine's stack, its socket, the parser's first buffer
	answerBytes     = 96 << 10  // an endpoint's answer that is being read, for each slot
	endedIDDivisor  = 8         // the heap's share over the least that ids of ended messages get
	minRequestBytes = 256 << 10 // requests of any size are still read, a few at a time
)

// memoryShares are bounds on what clients can make the program hold, in bytes.
type memoryShares struct {
	requests int64 // requests that are not whole
	endedIDs int64 // ids of messages that have ended
}

// heapBytes returns the share of the memory limit that Go's heap and stacks may take, in bytes.
func (l limits) heapBytes() int64 { return int64(heapFraction * float64(l.MemoryMB<<20)) }

// windowMemory returns what long bodies may hold, with the requests that are read behind them; 0 if they are off.
func windowMemory(bodies *settings.Bodies) int64 {
	if bodies == nil {
		return 0
	}
	total := int64(bodies.TotalWindowBytes)
	return total + total/pipelinedDivisor
}

// divideMemory returns the bounds that follow from the memory limit. What is left of the heap's share behind the program, connections,
// answers, bodies and the windows of long bodies goes to the ids of ended messages, a part that they need, and to requests, as much as
// all connections can use; more than that goes to the ids.
func divideMemory(l limits, maxConnections, slots int, windowBytes int64) memoryShares {
	connections := int64(maxConnections + transport.OverflowConnections)
	bodies := int64(l.DiskMB * 1e6)
	shares := memoryShares{endedIDs: l.heapBytes() / endedIDDivisor}
	left := l.heapBytes() - programBytes - connections*connectionBytes - int64(slots)*answerBytes - bodies - windowBytes - shares.endedIDs
	shares.requests = max(minRequestBytes, min(left, connections*protocol.MaxRequestMemory))
	shares.endedIDs += max(0, left-shares.requests)
	return shares
}
