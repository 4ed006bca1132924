package main

import (
	"fmt"
	"testing"
	"time"

	"mulleinbeam/internal/lab"
	"mulleinbeam/internal/lab/experiment"
)

const (
	slowClientPatience = 3 * time.Second // in which a client that stops within a request is answered or closed
	// limitedDiskBytes is the limit on the state folder, whose files count as memory on the platform.
	limitedDiskBytes = 3e6
)

// slowLoads are clients that hold memory for as long as they can.
func slowLoads(clients int) map[string]lab.SlowClients {
	slow := lab.SlowClients{
		Clients: clients, BodyBytes: 60_000, PieceBytes: 3000, Interval: 90 * time.Millisecond, Patience: slowClientPatience,
	}
	chunked, stopped, fields, endless := slow, slow, slow, slow
	chunked.Chunked = true
	stopped.BodyBytes, stopped.SentBytes, stopped.PieceBytes = 65_000, 64_999, 65_000
	fields.Fields, fields.SentBytes, fields.PieceBytes = 90, 30_000, 30_000
	endless.EndlessHead, endless.PieceBytes = true, 300
	return map[string]lab.SlowClients{
		"slow body": slow, "slow body in chunks": chunked, "stopped within a body": stopped, "short fields and half a body": fields,
		"short fields without end": endless,
	}
}

// memoryLimits are limits of a forwarder and clients of a load that all get a descriptor.
type memoryLimits struct{ memoryMB, sockets, clients int }

// bytes returns the limit on the anonymous memory.
func (l memoryLimits) bytes() int64 { return int64(l.memoryMB)*1e6 - limitedDiskBytes }

// Guards against a forwarder that exceeds its memory limit, lets other clients wait or owes bad clients their end, while hundreds
// of clients hold requests that are not whole (report cf1004, picture a). The limits are corners of those that the platform gives.
func TestSlowClientsInLimitedMemory(t *testing.T) {
	program := buildProgram(t)
	play := func(limits memoryLimits, name string) {
		t.Run(fmt.Sprintf("%d MB, %d descriptors, %d clients, %s", limits.memoryMB, limits.sockets, limits.clients, name), func(t *testing.T) {
			figures, err := experiment.Bursts{
				Program: []string{program, "serve"}, Sockets: limits.sockets, MemoryMB: limits.memoryMB, Slow: slowLoads(limits.clients)[name], Steady: 4,
			}.Run()
			if err != nil {
				t.Fatal(err)
			}
			checkSlowClients(t, figures, limits.bytes())
		})
	}
	for name := range slowLoads(0) {
		play(memoryLimits{32, 1024, 700}, name)
	}
	for _, limits := range []memoryLimits{{32, 1024, 340}, {32, 256, 85}, {192, 1024, 700}, {192, 256, 85}} {
		play(limits, "slow body in chunks")
	}
}

// Guards against a forwarder that exceeds a small memory limit while clients send thousands of small requests at once, all of which
// have new ids.
func TestManySmallRequestsInLimitedMemory(t *testing.T) {
	figures, err := experiment.Bursts{
		Program: []string{buildProgram(t), "serve"}, Sockets: burstSockets, MemoryMB: 32, Steady: 4,
		Load: lab.Burst{Clients: 64, Requests: 4000, Timeout: time.Minute},
	}.Run()
	if err != nil {
		t.Fatal(err)
	}
	checkSlowClients(t, figures, memoryLimits{memoryMB: 32}.bytes())
	if figures.Answered != figures.Sent || figures.OutOfOrder > 0 || figures.Unexpected != 0 {
		t.Error("requests without their own answer")
	}
}

// checkSlowClients checks the memory against its limit, and that slow clients and others beside them had their due.
func checkSlowClients(t *testing.T, figures experiment.BurstFigures, limit int64) {
	t.Helper()
	if t.Log(figures); figures.Killed || figures.PeakBytes > limit {
		t.Errorf("the peak of memory is %d bytes, over %d", figures.PeakBytes, limit)
	}
	if figures.Slow.Neither > 0 {
		t.Errorf("%d slow clients had neither an answer nor a close within %v", figures.Slow.Neither, slowClientPatience)
	}
	if figures.SteadyAnswered != figures.SteadySent {
		t.Errorf("%d of %d requests of other clients had no answer in time", figures.SteadySent-figures.SteadyAnswered, figures.SteadySent)
	}
}
