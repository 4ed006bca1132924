package main

import (
	"testing"

	"mulleinbeam/internal/transport"
)

// The shares of memory add up to what Go may take, for all limits that the platform gives, and leave room for requests.
func TestMemorySharesAddUp(t *testing.T) {
	const largestRequests = 20 // that have to fit at once
	for _, memoryMB := range []int64{32, 48, 64, 128, 192} {
		for _, sockets := range []int{256, 512, 1024} {
			cfg := config{Limits: limits{Cores: 1, MemoryMB: memoryMB, Sockets: sockets, DiskMB: 3}}
			cfg.Settings.Slots = 10
			connections, err := allocateDescriptors(&cfg, 0)
			if err != nil {
				t.Fatal(err)
			}
			clients := connections * 3 / 4
			shares := divideMemory(cfg.Limits, clients, cfg.Settings.Slots, 0)
			sum := shares.requests + shares.endedIDs + programBytes + int64(clients+transport.OverflowConnections)*connectionBytes + 10*answerBytes + 3e6
			if sum > cfg.Limits.heapBytes() || shares.requests < largestRequests*(64<<10) || shares.endedIDs < 1<<20 {
				t.Errorf("%d MB, %d descriptors: %+v, in all %d of %d bytes", memoryMB, sockets, shares, sum, cfg.Limits.heapBytes())
			}
			const windows = 1 << 20
			if long := divideMemory(cfg.Limits, clients, cfg.Settings.Slots, windows); long.requests+long.endedIDs+windows != shares.requests+shares.endedIDs {
				t.Errorf("%d MB, %d descriptors: %+v beside %d bytes of windows, %+v without", memoryMB, sockets, long, windows, shares)
			}
		}
	}
}

// A reload applies another memory limit to the running program.
func TestReloadAppliesMemoryLimit(t *testing.T) {
	a := newEndpoint(t, "a", 7)
	s := newTestbed(t, a)
	s.start()
	s.set(32, "limits", "memory_mb")
	s.reload("reload: limits applied")
	s.submit("after", "safe", 7)
	(<-a.calls).answer("200 OK")
	s.waitForCounter(" ok=1 ")
}
