package experiment

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"mulleinbeam/internal/lab"
)

const (
	slowClientPatience = 3 * time.Second // in which a client that stops within a request is answered or closed
	// limitedDiskBytes is the limit on the state folder, whose files count as memory on the platform.
	limitedDiskBytes = 3e6
)

// buildForwarder builds the forwarder in a folder of the test.
func buildForwarder(t *testing.T) string {
	t.Helper()
	program, err := BuildForwarder(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	return program
}

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
	program := buildForwarder(t)
	play := func(limits memoryLimits, name string) {
		t.Run(fmt.Sprintf("%d MB, %d descriptors, %d clients, %s", limits.memoryMB, limits.sockets, limits.clients, name), func(t *testing.T) {
			figures, err := Bursts{
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
	figures, err := Bursts{
		Program: []string{buildForwarder(t), "serve"}, Sockets: 1024, MemoryMB: 32, Steady: 4,
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
func checkSlowClients(t *testing.T, figures BurstFigures, limit int64) {
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

var (
	memorySeeds = flag.Int("memory.seeds", 3, "number of seeds that TestRandomClientsInLimitedMemory plays")
	firstMemory = flag.Uint64("memory.first", 1, "first of them")
)

// randomClients draws limits, slow clients, and clients with sound requests beside them. All get a descriptor.
func randomClients(seed uint64) Bursts {
	random := rand.New(rand.NewPCG(seed, 69))
	oneOf := func(choices ...int) int { return choices[random.IntN(len(choices))] }
	sockets := oneOf(256, 300, 512, 1024)
	crowd := sockets / 2
	load := lab.Burst{
		Clients: 1 + random.IntN(crowd/8), Requests: 1 + random.IntN(60), BodyBytes: oneOf(0, 200, random.IntN(20_000), 60_000),
		ChunkBytes: oneOf(0, 0, 1+random.IntN(8000)), HeadBytes: oneOf(0, 0, random.IntN(14_000)), OneByOne: random.IntN(2) == 0, Timeout: 20 * time.Second,
	}
	slow := lab.SlowClients{
		Clients: random.IntN(crowd), Fields: oneOf(0, 0, random.IntN(90)), EndlessHead: random.IntN(5) == 0, BodyBytes: oneOf(3000, 20_000, 60_000, 64<<10),
		Chunked: random.IntN(2) == 0, PieceBytes: oneOf(100, 3000, 60_000), Interval: time.Duration(20+random.IntN(200)) * time.Millisecond,
		Patience: slowClientPatience,
	}
	if random.IntN(2) == 0 {
		slow.SentBytes = 1 + random.IntN(slow.BodyBytes-1)
	}
	return Bursts{Sockets: sockets, MemoryMB: oneOf(32, 32, 48, 64, 192), Load: load, Slow: slow, Idle: random.IntN(crowd / 8), Steady: 4}
}

// Whatever clients hold and send, the forwarder stays within its memory limit, answers or closes slow clients in time, and answers all
// sound requests in order. A long run: -memory.seeds 50.
func TestRandomClientsInLimitedMemory(t *testing.T) {
	program := buildForwarder(t)
	for seed := *firstMemory; seed < *firstMemory+uint64(*memorySeeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			bursts := randomClients(seed)
			bursts.Program = []string{program, "serve"}
			t.Logf("%d MB, %d descriptors, %d idle, %+v, beside %+v", bursts.MemoryMB, bursts.Sockets, bursts.Idle, bursts.Slow, bursts.Load)
			figures, err := bursts.Run()
			if err != nil {
				t.Fatal(err)
			}
			checkSlowClients(t, figures, memoryLimits{memoryMB: bursts.MemoryMB}.bytes())
			if figures.Answered != figures.Sent || figures.OutOfOrder > 0 || figures.Unexpected != 0 {
				t.Error("requests without their own answer")
			}
		})
	}
}
