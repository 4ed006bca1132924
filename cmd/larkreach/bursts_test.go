package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"mulleinbeam/internal/lab"
	"mulleinbeam/internal/lab/experiment"
)

// Limits of the platform on a forwarder. A load of well-formed requests has to stay a quarter below the memory limit.
const (
	burstMemoryMB     = 192
	burstSockets      = 1024
	burstAllowedBytes = burstMemoryMB << 20 / 4 * 3
)

// buildProgram builds the program in a folder of the test.
func buildProgram(t *testing.T) string {
	t.Helper()
	program, err := experiment.BuildForwarder(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	return program
}

// Guards against a forwarder that is killed for memory, or keeps other clients waiting, while clients send many requests at
// once on each connection (review/10). All rows go through the real program with the platform's limits.
func TestManyRequestsAtOnce(t *testing.T) {
	program := buildProgram(t)
	const bodies = "[bodies]\ntotal = \"24MiB\"\nslots = 4\n"
	for name, c := range map[string]struct {
		load     lab.Burst
		settings string
		idle     int // connections that send nothing
	}{
		"known length":            {lab.Burst{Clients: 64, Requests: 200, BodyBytes: 60_000}, "", 0},
		"known length, bodies on": {lab.Burst{Clients: 64, Requests: 200, BodyBytes: 60_000}, bodies, 0},
		"chunks":                  {lab.Burst{Clients: 64, Requests: 200, BodyBytes: 60_000, ChunkBytes: 4096}, "", 0},
		"chunks, bodies on":       {lab.Burst{Clients: 64, Requests: 200, BodyBytes: 60_000, ChunkBytes: 4096}, bodies, 0},
		"very small chunks":       {lab.Burst{Clients: 64, Requests: 8, BodyBytes: 60_000, ChunkBytes: 1}, "", 0},
		"answers not read":        {lab.Burst{Clients: 64, Requests: 200, BodyBytes: 60_000, ReadAtEnd: true}, "", 0},
		"few connections":         {lab.Burst{Clients: 4, Requests: 1000, BodyBytes: 60_000}, "", 0},
		"small requests":          {lab.Burst{Clients: 64, Requests: 400, BodyBytes: 200, HealthEvery: 7}, "", 0},
		"beside a crowd":          {lab.Burst{Clients: 64, Requests: 50, BodyBytes: 60_000}, "", 300},
		"stopped within a body":   {lab.Burst{Clients: 700, Requests: 1, BodyBytes: 64 << 10, ChunkBytes: 3000, HeadBytes: 15 << 10, Stall: true}, "", 0},
	} {
		t.Run(name, func(t *testing.T) {
			c.load.Timeout = 20 * time.Second
			figures, err := experiment.Bursts{
				Program: []string{program, "serve"}, Settings: c.settings, Sockets: burstSockets, MemoryMB: burstMemoryMB, Load: c.load, Idle: c.idle, Steady: 4,
			}.Run()
			if err != nil {
				t.Fatal(err)
			}
			if c.load.Stall { // 408 for what is not whole
				figures.Unexpected -= int64(c.load.Clients)
			}
			checkBurst(t, figures)
		})
	}
}

// checkBurst checks the memory limit, and that all requests have their own answers, those of other clients in time.
func checkBurst(t *testing.T, figures experiment.BurstFigures) {
	t.Helper()
	if t.Log(figures); figures.Killed || figures.PeakBytes > burstAllowedBytes {
		t.Errorf("the peak of memory is over %d bytes", burstAllowedBytes)
	}
	if figures.Answered != figures.Sent || figures.OutOfOrder > 0 || figures.Unexpected != 0 {
		t.Error("requests without their own answer")
	}
	if figures.SteadyAnswered != figures.SteadySent {
		t.Error("requests of other clients without an answer in time")
	}
}

var (
	burstSeeds = flag.Int("burst.seeds", 3, "number of seeds that TestRandomBursts plays")
	firstBurst = flag.Uint64("burst.first", 1, "first of them")
)

// randomBurst draws a load of some hundred megabytes at the most, in which no client is turned away for lack of descriptors.
func randomBurst(seed uint64) experiment.Bursts {
	const (
		mostBytes         = 200 << 20
		framingBytes      = 6 // of a chunk of one byte, with it
		mostClients       = 160
		mostIdle          = 300
		mostRequests      = 2000
		wholeBodyBytes    = 64 << 10
		mostUnaskedBytes  = 4 << 20
		requestTextBytes  = 200
		loadTimeout       = 60 * time.Second
		healthEvery       = 9
		settingsWithLongs = "[bodies]\ntotal = \"24MiB\"\nslots = 4\n"
	)
	random := rand.New(rand.NewPCG(seed, 63))
	oneOf := func(choices ...int) int { return choices[random.IntN(len(choices))] }
	load := lab.Burst{
		Clients: 1 + random.IntN(mostClients), BodyBytes: oneOf(0, 1, random.IntN(3000), random.IntN(wholeBodyBytes), 60_000, wholeBodyBytes),
		ChunkBytes: oneOf(0, 0, 1, 1+random.IntN(100), 1+random.IntN(8000), wholeBodyBytes), HeadBytes: oneOf(0, 0, random.IntN(3000), random.IntN(15_000)),
		ReadAtEnd: random.IntN(2) == 0, HealthEvery: oneOf(0, healthEvery), Timeout: loadTimeout,
	}
	perRequest := requestTextBytes + load.HeadBytes + load.BodyBytes
	if load.ChunkBytes > 0 {
		perRequest += load.BodyBytes / load.ChunkBytes * framingBytes
	}
	load.Requests = max(1, min(mostRequests, mostBytes/load.Clients/perRequest))
	bursts := experiment.Bursts{
		Sockets: burstSockets, MemoryMB: burstMemoryMB, Load: load, Steady: 4, Idle: oneOf(0, 0, random.IntN(mostIdle)), Unasked: oneOf(0, 0, mostUnaskedBytes),
	}
	if random.IntN(2) == 0 {
		bursts.Settings = settingsWithLongs
	}
	return bursts
}

// Loads drawn from seeds stay a quarter below the memory limit, and all of their requests and those of other clients are answered;
// also beside idle connections, and while the endpoint writes what nobody asked for. A long run: -burst.seeds 50.
func TestRandomBursts(t *testing.T) {
	program := buildProgram(t)
	for seed := *firstBurst; seed < *firstBurst+uint64(*burstSeeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			bursts := randomBurst(seed)
			bursts.Program = []string{program, "serve"}
			t.Logf("%+v, idle %d, unasked %d, settings %q", bursts.Load, bursts.Idle, bursts.Unasked, bursts.Settings)
			figures, err := bursts.Run()
			if err != nil {
				t.Fatal(err)
			}
			checkBurst(t, figures)
		})
	}
}
