//go:build linux

package main

import (
	"flag"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"mulleinbeam/internal/lab"
)

// Tests of the real program with endpoints that know which messages are over, and answer 410 or 504 for them without
// working, alone and with faulty answers, strays and signals. They share the load, the seeds and the checks of the tests
// with stray answers.

// strayProgram is the program that the tests run; another build can be named to compare costs.
var strayProgram = flag.String("stray.program", os.Args[0], "the program under test")

// endings are the answers, faults and signals of a scenario that concern the end of messages.
type endings struct {
	withdrawn   bool // some messages are over, and endpoints answer 410 at once; messages out of time too
	exhausted   bool // some messages have had all their attempts, and endpoints answer 504 at once
	everyStatus bool // refusals of all kinds, errors, and calls that are never answered
	crowd       bool // crowdFactor times the clients
	neverRefuse bool // endpoints refuse no call
	slow        bool // endpoints work for half of longestService or more, and refuse at once
	faultShare  float64
	faults      []lab.AnswerFault
	terminate   bool // SIGTERM about once a second
	limitCalls  bool // maxCallRatio is checked
	reload      bool // SIGHUP about once a second
}

const (
	warmUpMessages  = 600 // messages before the first that is over: by then the program knows how fast endpoints are
	endingCycle     = 8   // messages of a client's cycle: one is withdrawn, one has had all its attempts
	withdrawnTurn   = 3
	exhaustedTurn   = 6
	cycleStride     = strayEndpoints // consecutive messages go to all endpoints
	endingRNGStream = 54
)

// endingRun is the state of a run that concerns the end of messages.
type endingRun struct {
	states      *lab.MessageStates
	terminateAt atomic.Int64 // when SIGTERM was sent, in nanoseconds since 1970; 0 while the program is not ending

	faultMu   sync.Mutex
	faultRNG  *rand.Rand
	refusedAt map[string]time.Time
	nextCalls []time.Duration // from refusals to the next calls of their messages
}

func newEndingRun(seed uint64) *endingRun {
	return &endingRun{
		states: lab.NewMessageStates(), faultRNG: rand.New(rand.NewPCG(seed, endingRNGStream)), refusedAt: map[string]time.Time{},
	}
}

// slowWork is the time that a slow endpoint works for a call.
func slowWork(refused bool, work time.Duration) time.Duration {
	if refused {
		return 0
	}
	return longestService/2 + work/2
}

// decideState decides what the endpoints know of a message before it is submitted.
func (p *strayRun) decideState(h lab.Handover) {
	var number int
	for _, digit := range h.ID[1:] {
		number = 10*number + int(digit-'0')
	}
	if number < warmUpMessages {
		return
	}
	switch number / cycleStride % endingCycle {
	case withdrawnTurn:
		if p.scenario.withdrawn {
			p.states.Withdraw(h.ID)
		}
	case exhaustedTurn:
		if p.scenario.exhausted {
			p.states.Exhaust(h.ID)
		}
	}
	if p.scenario.withdrawn {
		p.states.Expire(h.ID, time.Now().Add(h.Left))
	}
}

// endMessage answers a call of a message that is over or has had all its attempts.
func (p *strayRun) endMessage(c *lab.Call, status int) bool {
	p.called(c.ID, false, false)
	if isOpen(c.Conn) { // otherwise the forwarder has abandoned the call, and reads no answer
		p.answeredOver(c.ID, status)
	}
	return p.answer(c, status)
}

// endStreamed answers a call with a long body before its body has come, if its message is over.
func (p *strayRun) endStreamed(c *lab.Call) (ended, keep bool) {
	if !p.scenario.withdrawn || c.Length >= 0 && c.Length < longBodySize {
		return false, false
	}
	status := p.states.Status(c.ID, time.Now())
	if status == 0 {
		return false, false
	}
	keep = p.endMessage(c, status)
	return true, keep && c.ReadAll(0) == nil
}

// refusals are the answers that say that a call did not run, with their header lines.
var refusals = []struct {
	status int
	fields string
}{{503, ""}, {503, "X-Over-Slots: 1\r\n"}, {429, "X-RateLimit-Wait-Ms: 20\r\n"}}

const (
	crowdFactor = 5
	errorShare  = 0.02 // of the calls that run
	hungShare   = 0.01
	hangTime    = time.Second
)

// drawStatus draws the answer of a call in a scenario with every status; status is 0 for a call that is not answered.
func (p *endingRun) drawStatus(refused bool) (status int, fields string) {
	p.faultMu.Lock()
	defer p.faultMu.Unlock()
	if refused {
		refusal := refusals[p.faultRNG.IntN(len(refusals))]
		return refusal.status, refusal.fields
	}
	switch roll := p.faultRNG.Float64(); {
	case roll < errorShare:
		return 500, ""
	case roll < errorShare+hungShare:
		return 0, ""
	}
	return 200, ""
}

// serveAnyStatus answers a call in a scenario with every status.
func (p *strayRun) serveAnyStatus(c *lab.Call, refused bool) bool {
	status, fields := p.drawStatus(refused)
	p.called(c.ID, !refused, status == 200)
	if status == 0 {
		time.Sleep(hangTime)
		return false
	}
	return p.answerWith(c, status, fields)
}

// answer writes an answer, some with a fault.
func (p *strayRun) answer(c *lab.Call, status int) bool { return p.answerWith(c, status, "") }

// answerWith is answer with additional header lines.
func (p *strayRun) answerWith(c *lab.Call, status int, fields string) bool {
	if len(p.scenario.faults) == 0 {
		return c.Answer(status, fields) == nil
	}
	p.faultMu.Lock()
	fault := lab.AnswerWhole
	if p.faultRNG.Float64() < p.scenario.faultShare {
		fault = p.scenario.faults[p.faultRNG.IntN(len(p.scenario.faults))]
	}
	p.faultMu.Unlock()
	return c.AnswerWithFault(status, fields, fault)
}

// refused records a refusal that is written now.
func (p *endingRun) refused(id string) {
	p.faultMu.Lock()
	defer p.faultMu.Unlock()
	p.refusedAt[id] = time.Now()
}

// calledAgain records a call of a message that may have been refused before.
func (p *endingRun) calledAgain(id string) {
	p.faultMu.Lock()
	defer p.faultMu.Unlock()
	if at, refused := p.refusedAt[id]; refused {
		p.nextCalls = append(p.nextCalls, time.Since(at))
		delete(p.refusedAt, id)
	}
}

// signal sends the program the signals of the scenario.
func (p *strayRun) signal() {
	if p.scenario.reload {
		must(p.t, p.f.Signal(syscall.SIGHUP))
	}
	if p.scenario.terminate {
		p.terminateAt.Store(time.Now().UnixNano())
		must(p.t, p.f.End(syscall.SIGTERM))
		p.stopped(time.Now())
		must(p.t, p.f.Start())
		p.terminateAt.Store(0)
	}
}

// connectAfterTerm is how long clients go on opening connections after SIGTERM, as the protocol page has it.
const connectAfterTerm = 400 * time.Millisecond

// clientsConnect reports whether clients open connections now.
func (p *endingRun) clientsConnect() bool {
	at := p.terminateAt.Load()
	return at == 0 || time.Since(time.Unix(0, at)) < connectAfterTerm
}

// maxCallRatio bounds the calls for each message that is called, with one of eight calls refused.
const maxCallRatio = 1.3

// logCost logs what the run has cost: calls, connections, the time from a refusal to the next call, CPU time and memory.
// It returns the calls for each message that was called.
func (p *strayRun) logCost() float64 {
	p.mu.Lock()
	calls, messages := 0, 0
	for _, m := range p.messages {
		if len(m.calls) > 0 {
			calls += len(m.calls)
			messages++
		}
	}
	p.mu.Unlock()
	p.faultMu.Lock()
	slices.Sort(p.nextCalls)
	at := func(share float64) time.Duration {
		if len(p.nextCalls) == 0 {
			return 0
		}
		return p.nextCalls[int(share*float64(len(p.nextCalls)-1))].Round(time.Millisecond)
	}
	median, ninth := at(0.5), at(0.9)
	p.faultMu.Unlock()
	opened, err := p.f.Counter("endpoints", "opened")
	must(p.t, err)
	cpu, err := p.f.CPUSeconds()
	must(p.t, err)
	peak, err := p.f.PeakMemory()
	must(p.t, err)
	p.t.Logf("cost: %d calls, %d messages, %d connections, next call after a refusal %v (median) %v (9 of 10), CPU %v us a message, peak %d MB",
		calls, messages, opened, median, ninth, int(cpu*1e6/float64(max(1, messages))), peak>>20)
	return float64(calls) / float64(max(1, messages))
}

// Guards against calls for messages that an endpoint has answered as over: slow endpoints answer such messages at once,
// and a true early answer was taken for a stray (incident fb0efd).
func TestMessagesThatAreOverAreNotCalledAgain(t *testing.T) {
	runStrays(t, strayScenario{endings: endings{withdrawn: true, neverRefuse: true, slow: true}})
}

// Guards against calls for messages that an endpoint has answered 504, since they have had all their attempts.
func TestMessagesWithoutAttemptsLeftAreNotCalledAgain(t *testing.T) {
	runStrays(t, strayScenario{endings: endings{exhausted: true, neverRefuse: true, slow: true}})
}

// Guards against calls for ended messages while the process is killed about once a second.
func TestEndedMessagesAndKills(t *testing.T) {
	runStrays(t, strayScenario{kill: true, endings: endings{withdrawn: true, exhausted: true, neverRefuse: true, slow: true}})
}

// Guards against the same with answers that come twice, end within their body, have bytes behind them or end their
// connection.
func TestEndedMessagesAndFaultyAnswers(t *testing.T) {
	runStrays(t, strayScenario{endings: endings{
		withdrawn: true, exhausted: true, neverRefuse: true, slow: true, faultShare: 0.15,
		faults: []lab.AnswerFault{lab.AnswerTwice, lab.AnswerCut, lab.AnswerThenClose, lab.AnswerWithSurplus},
	}})
}

// Guards against the same with strays of all kinds, resets and signals.
func TestEndedMessagesAndStraysAndSignals(t *testing.T) {
	runStrays(t, strayScenario{
		share: 0.05, maxLag: 20 * time.Millisecond, agent: true, reset: true, kill: true,
		kinds:   []lab.StrayKind{lab.StrayCopy, lab.StrayHalf, lab.StrayDelivered, lab.StrayRefusal, lab.StrayTimeout},
		endings: endings{withdrawn: true, exhausted: true, slow: true, reload: true},
	})
}

// everyStray is one stray of each kind.
var everyStray = []lab.StrayKind{
	lab.StrayCopy, lab.StrayHalf, lab.StrayDelivered, lab.StrayRefusal, lab.StrayTimeout, lab.StrayOver, lab.StrayNoAttemptsLeft, lab.StrayWait,
	lab.StrayError,
}

// Guards against lost messages and calls for ended ones where every status comes, as the call's own answer and as a stray.
func TestEveryStatusTrueAndStray(t *testing.T) {
	runStrays(t, strayScenario{
		share: 0.05, maxLag: 20 * time.Millisecond, reset: true, kinds: everyStray,
		endings: endings{withdrawn: true, exhausted: true, slow: true, everyStatus: true},
	})
}

// Guards against the same where endpoints are fast, clients are many and the process is ended in order about once a second.
func TestEveryStatusAndStopsInOrder(t *testing.T) {
	runStrays(t, strayScenario{
		share: 0.05, maxLag: 20 * time.Millisecond, reset: true, kinds: everyStray,
		endings: endings{withdrawn: true, exhausted: true, everyStatus: true, crowd: true, terminate: true},
	})
}

// Guards against calls for ended messages whose bodies are long: the end comes while the body is still going up.
func TestEndedMessagesBesideLongBodies(t *testing.T) {
	runStrays(t, strayScenario{long: true, endings: endings{
		withdrawn: true, exhausted: true, neverRefuse: true, slow: true, faultShare: 0.15, faults: []lab.AnswerFault{lab.AnswerCut, lab.AnswerThenClose},
	}})
}

// Guards against doubt that multiplies calls: answers that are written twice in one write are no reason to call again.
func TestAnswersWrittenTwiceCauseFewCalls(t *testing.T) {
	runStrays(t, strayScenario{endings: endings{slow: true, limitCalls: true, faultShare: 0.2, faults: []lab.AnswerFault{lab.AnswerTwice}}})
}

// Refusals that come at once are no strays; their cost is logged.
func TestRefusalsAtOnceLoseNothing(t *testing.T) {
	runStrays(t, strayScenario{endings: endings{slow: true, limitCalls: true}})
}
