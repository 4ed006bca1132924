//go:build linux

package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"mulleinbeam/internal/lab"
)

// Tests of the real program with endpoints and an agent that write bytes which belong to no request: copies of earlier
// answers, halves of them and unrequested answers. -stray.seeds N runs N seeds of each test, beginning with -stray.first.

var (
	straySeeds = flag.Int("stray.seeds", 1, "seeds of each test with stray answers")
	strayFirst = flag.Uint64("stray.first", 1, "the first seed")
)

// strayScenario describes a run with stray answers.
type strayScenario struct {
	share          float64 // share of the answers that are followed by a stray
	minLag, maxLag time.Duration
	kinds          []lab.StrayKind
	agent          bool // strays of the agent as well
	kill           bool // SIGKILL about once a second
	long           bool // one of seven messages is long, and streamed
	reset          bool // some calls end by a reset or without an answer
	endings             // further answers, faults and signals
}

const (
	strayEndpoints   = 8
	strayClients     = 20
	strayRunTime     = 4 * time.Second
	strayKillEvery   = time.Second
	refusedShare     = 0.125
	longestService   = 120 * time.Millisecond
	longestRefusal   = 20 * time.Millisecond
	resetShare       = 0.02
	clientPause      = 30 * time.Millisecond // between two messages of a client
	strayRetryPause  = 5 * time.Millisecond  // of a client whose connection was refused
	awaitEndInterval = 200 * time.Millisecond
)

// strayRun is a run of a scenario with a seed.
type strayRun struct {
	*record
	t        *testing.T
	scenario strayScenario
	f        *lab.Forwarder
	agent    *lab.Agent
	servers  []*lab.Endpoint
	strays   *lab.Strays
	number   atomic.Int64
	stop     atomic.Bool

	callsMu     sync.Mutex
	rng         *rand.Rand
	outstanding map[string]*lab.Call // the latest call of each message that has no answer yet
	concurrent  []string             // calls that came while an earlier one of the same message was out
	*endingRun
}

func newStrayRun(t *testing.T, scenario strayScenario, seed uint64) *strayRun {
	p := &strayRun{
		record: newRecord(), t: t, scenario: scenario, agent: &lab.Agent{}, outstanding: map[string]*lab.Call{}, rng: rand.New(rand.NewPCG(seed, 51)),
		strays: lab.NewStrays(seed, scenario.share, scenario.minLag, scenario.maxLag, scenario.kinds...), endingRun: newEndingRun(seed),
	}
	p.agent.Told = p.reported
	if scenario.agent {
		p.agent.Strays = p.strays
	}
	for i := range strayEndpoints {
		server := &lab.Endpoint{Name: fmt.Sprint("s", i), Group: i, Strays: p.strays, Weight: 500, Handle: p.serve}
		must(t, server.Listen())
		p.servers = append(p.servers, server)
	}
	must(t, p.agent.Listen(p.servers...))
	settings := ""
	if scenario.long {
		settings = "[bodies]\nmost = \"8MiB\"\n"
	}
	p.f = &lab.Forwarder{
		Settings: settings, Command: []string{*strayProgram}, Env: []string{childProcessEnv + "=1"}, Host: uniqueHost(), Slots: 64, Amend: shortenTimeouts, Cores: 2,
	}
	must(t, p.f.Prepare(t.TempDir(), p.agent))
	must(t, p.f.Start())
	return p
}

// serve answers a call: one of eight is refused, the others take effect.
func (p *strayRun) serve(c *lab.Call) bool {
	if ended, keep := p.endStreamed(c); ended {
		return keep
	}
	if c.ReadAll(0) != nil {
		return false
	}
	p.callsMu.Lock()
	refused, lost, duration := p.rng.Float64() < refusedShare, p.scenario.reset && p.rng.Float64() < resetShare, p.rng.Float64()
	refused = refused && !p.scenario.neverRefuse
	if earlier := p.outstanding[c.ID]; earlier != nil && isOpen(earlier.Conn) {
		p.concurrent = append(p.concurrent, c.ID)
	}
	p.outstanding[c.ID] = c
	p.callsMu.Unlock()
	p.calledAgain(c.ID)
	defer func() {
		p.callsMu.Lock()
		defer p.callsMu.Unlock()
		if p.outstanding[c.ID] == c {
			delete(p.outstanding, c.ID)
		}
	}()
	if p.scenario.withdrawn || p.scenario.exhausted {
		if status := p.states.Status(c.ID, time.Now()); status != 0 {
			return p.endMessage(c, status)
		}
	}
	longest, status := longestService, 200
	if refused {
		longest, status = longestRefusal, 503
	}
	work := time.Duration(duration * float64(longest))
	if p.scenario.slow {
		work = slowWork(refused, work)
	}
	time.Sleep(work)
	if p.scenario.everyStatus && !lost {
		return p.serveAnyStatus(c, refused)
	}
	p.called(c.ID, !refused, !refused && !lost)
	if lost {
		return false
	}
	if refused {
		p.refused(c.ID)
	}
	return p.answer(c, status)
}

// isOpen reports whether the other side has not closed a connection.
func isOpen(conn net.Conn) (open bool) {
	inner, ok := conn.(interface{ NetConn() net.Conn })
	if ok {
		conn = inner.NetConn()
	}
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	const established = 1 // TCP_ESTABLISHED
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		open = err == nil && info.State == established
	})
	return open
}

// client submits messages one after another.
func (p *strayRun) client() {
	classes := []string{"safe", "keyed", "unsafe"}
	var conn *lab.Client
	used := false
	for !p.stop.Load() {
		if conn == nil {
			if conn = p.dial(); conn == nil {
				break
			}
		}
		n := p.number.Add(1)
		h := lab.Handover{
			ID: fmt.Sprintf("m%06d", n), Key: fmt.Sprint("k", n), Class: classes[n%3], Destination: int(n % strayEndpoints),
			Left: 2 * time.Second, Body: lab.Content{Seed: uint64(n), Size: 200},
		}
		if p.scenario.long && n%longMessageInterval == 0 {
			h.Body.Size = longBodySize
		}
		p.decideState(h)
		p.submitting(h)
		a := conn.Hand(h, nil)
		if crossed := used && a.Silent && p.scenario.terminate; crossed { // the program may have closed the idle connection: retry once on a new one
			conn.Close()
			if conn = p.dial(); conn == nil {
				break
			}
			a = conn.Hand(h, nil)
		}
		p.answered(h.ID, a)
		if used = true; a.Err != nil || a.Close || a.Status == 0 {
			conn.Close()
			conn, used = nil, false
		}
		time.Sleep(clientPause)
	}
	if conn != nil {
		conn.Close()
	}
}

// dial connects a client, and retries while the connection is refused or clients stay away. It returns nil at the end of
// the run.
func (p *strayRun) dial() *lab.Client {
	for !p.stop.Load() {
		if p.clientsConnect() {
			if conn, err := lab.Dial(p.f.Address()); err == nil {
				return conn
			}
		}
		time.Sleep(strayRetryPause)
	}
	return nil
}

// run runs the load and returns the violations of delivery rules.
func (p *strayRun) run() []string {
	var clients sync.WaitGroup
	count := strayClients
	if p.scenario.crowd {
		count *= crowdFactor
	}
	for range count {
		clients.Go(p.client)
	}
	for until := time.Now().Add(strayRunTime); time.Now().Before(until); {
		time.Sleep(strayKillEvery) // load between two kills
		if p.scenario.kill {
			killAt := time.Now()
			must(p.t, ignoreKilled(p.f.End(syscall.SIGKILL)))
			p.killed()
			p.stopped(killAt)
			must(p.t, p.f.Start())
		}
		p.signal()
	}
	p.stop.Store(true)
	clients.Wait()
	for until := time.Now().Add(endTimeout); time.Now().Before(until) && len(p.unfinished()) > 0; {
		if counters, err := p.f.Counters("in"); err != nil || counters["held"] == 0 { // nothing that would end still
			break
		}
		time.Sleep(awaitEndInterval)
	}
	must(p.t, p.f.AwaitCounter("in", "held", 0))
	callRatio := p.logCost()
	must(p.t, p.f.End(syscall.SIGTERM))
	accepted, _ := p.acceptedCount()
	p.t.Logf("%d messages accepted, %d strays, at most %v late, %d missed", accepted, p.strays.Written(), p.strays.LongestLag().Round(time.Millisecond), p.strays.Missed())
	if p.scenario.share > 0 && p.strays.Written() == 0 {
		p.t.Error("no stray was written")
	}
	broken := p.broken()
	if p.scenario.limitCalls && callRatio > maxCallRatio {
		broken = append(broken, fmt.Sprintf("%.2f calls for each message, %.2f at the most", callRatio, maxCallRatio))
	}
	for _, id := range p.concurrent {
		broken = append(broken, id+": two attempts out at once")
	}
	return broken
}

func (p *strayRun) close() {
	p.f.Kill()
	for _, s := range p.servers {
		s.Close()
	}
	p.agent.Close()
}

func runStrays(t *testing.T, scenario strayScenario) {
	t.Parallel()
	for i := range uint64(*straySeeds) {
		seed := *strayFirst + i
		p := newStrayRun(t, scenario, seed)
		broken := p.run()
		reportViolations(t, seed, broken, p.f)
		p.close()
	}
}

// Guards against an answer that is taken for the next call's because the endpoint wrote an earlier answer a second
// time: lost messages, repeated unsafe calls and two attempts at once (incident 86ea57).
func TestCopiesOfAnswersEndNoOtherCall(t *testing.T) {
	runStrays(t, strayScenario{share: 0.05, minLag: 2 * time.Millisecond, maxLag: 15 * time.Millisecond})
}

// Guards against the same while the process is killed about once a second and connections are lost.
func TestCopiesOfAnswersAndKillsLoseNothing(t *testing.T) {
	runStrays(t, strayScenario{share: 0.05, minLag: 2 * time.Millisecond, maxLag: 15 * time.Millisecond, kill: true, reset: true, agent: true})
}

// Guards against copies, halves and unrequested answers of all kinds, from endpoints and the agent, that come sooner than
// a connection is used again.
func TestStraysOfAllKindsLoseNothing(t *testing.T) {
	runStrays(t, strayScenario{
		share: 0.05, maxLag: 20 * time.Millisecond, agent: true, reset: true,
		kinds: []lab.StrayKind{lab.StrayCopy, lab.StrayHalf, lab.StrayDelivered, lab.StrayRefusal, lab.StrayTimeout},
	})
}

// Guards against copies of answers that end another message while long bodies are streamed.
func TestCopiesOfAnswersBesideLongBodies(t *testing.T) {
	runStrays(t, strayScenario{share: 0.05, minLag: 2 * time.Millisecond, maxLag: 15 * time.Millisecond, long: true})
}

// Guards against copies that come later than any answer: what was concluded before the first of them was noticed is taken
// back.
func TestLateCopiesOfAnswersLoseNothing(t *testing.T) {
	runStrays(t, strayScenario{share: 0.05, maxLag: 2 * longestService})
}

// Guards against the same while the process is killed about once a second: a kill ends the doubt before the first stray is
// noticed.
func TestLateCopiesOfAnswersAndKillsLoseNothing(t *testing.T) {
	runStrays(t, strayScenario{share: 0.05, maxLag: 2 * longestService, kill: true, reset: true, agent: true})
}
