package routing

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	mb "mulleinbeam"
	"mulleinbeam/internal/oplog"
	"mulleinbeam/internal/routing/wal"
)

const (
	clockStart         = time.Second     // start of the module's clock, which takes zero for "never"
	pastClockRange     = 24 * time.Hour  // range of the module's clock for restored events of earlier processes
	fullRetryAfter     = time.Second     // retry-after of messages refused for lack of room
	eventQueueSize     = 256             // events waiting for the router's goroutine
	shutdownRetryAfter = 3 * time.Second // retry-after of messages refused during shutdown
	timerBatchCapacity = 16
)

// Config configures a Router.
type Config struct {
	Settings     mb.Settings
	Seed         uint64
	InitialList  EndpointList
	Log          *wal.Log
	Caller       Caller
	Notifier     Notifier
	Logger       zerolog.Logger
	Sampler      *oplog.Sampler // samples the log lines on single requests; nil logs none
	DrainTimeout time.Duration  // maximum time that calls may stay out after the stop
	ClientGrace  time.Duration  // how long after the stop clients may still connect, and are answered
	Long         LongLimits
	EndedIDBytes int64            // most memory for the ids of ended messages; 0 for no limit
	Learned      *mb.LearnedState // state learned by an earlier process; nil for none
	// EndedBefore reports whether the message with the id ended in an earlier process, and whether it was delivered;
	// nil knows of none.
	EndedBefore func(id string) (delivered, known bool)
	// Replication copies held messages to other forwarders; nil if messages are not replicated.
	Replication Replication
	// Steering restricts the zones that calls may go to; nil for no restriction.
	Steering Steering
	// Limiter limits the messages accepted per class; nil for no limit.
	Limiter Limiter
}

type timer struct {
	at     time.Time
	cookie uint64
}

// Router owns all state of the messages that this forwarder holds. Its methods may be called from any goroutine; the
// work is done by the goroutine of Run.
type Router struct {
	cfg               Config
	decider           *mb.Decider
	startedAt         time.Time
	events            chan func()
	done              chan struct{}
	deliveryTimeouts  map[string]time.Duration // by class
	effects           map[string]mb.Effect     // by class
	endpoints         map[string]Endpoint
	knownDestinations map[int64]bool // destinations that were ever listed
	overlay           *overlay       // nil while no destination is configured
	addresses         *addressOwners
	restrictedAccess  map[string]Access // endpoints whose access is not Free, by name
	messages          map[uint64]*heldMessage
	messagesByID      map[string]*heldMessage // by the client's message id, until the message ends
	ended             endedIDs
	undecidedReports  map[uint64]*heldMessage // ended earlier; undecided whether to report them
	unacknowledged    map[uint64]*heldMessage // reported and not acknowledged; only used with replication
	longestTimeout    time.Duration           // longest of deliveryTimeouts
	longCount         int                     // long messages that are held or out
	longCalls         int                     // long messages that are out
	unansweredLongs   int                     // ended long messages whose clients have not been answered yet
	callsOut          int
	pendingReports    int // not acknowledged yet
	timers            []timer
	stopAt            time.Time // end of the shutdown, once it has begun
	stopped           bool      // no call may start any more
	counters          Counters
	outage            outage                     // of the journal
	lastJournalTry    time.Time                  // last time that pending records were tried; events do not reset it
	deferredReports   map[uint64]*deferredReport // reports that wait for their records, by message
	revocable         revocableDeliveries
	repeats           repeatBudget
	callTasks         errgroup.Group // goroutines of the calls that are out
	callContext       context.Context
}

// New creates a router. Run then reads the initial list, resumes the messages of an earlier process and starts sending.
func New(cfg Config) (*Router, error) {
	// The failure of one zone says nothing about the others.
	cfg.Settings.SeparateZones = cfg.Settings.SeparateZones || cfg.Steering != nil
	decider, err := mb.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("routing: %w", err)
	}
	r := &Router{
		cfg: cfg, decider: decider, startedAt: time.Now(), events: make(chan func(), eventQueueSize),
		done: make(chan struct{}), deliveryTimeouts: map[string]time.Duration{}, effects: map[string]mb.Effect{}, endpoints: map[string]Endpoint{},
		knownDestinations: map[int64]bool{}, addresses: newAddressOwners(), restrictedAccess: map[string]Access{}, messages: map[uint64]*heldMessage{}, messagesByID: map[string]*heldMessage{},
		ended: endedIDs{delivered: map[string]bool{}}, repeats: repeatBudget{maxRepeatBurst}, undecidedReports: map[uint64]*heldMessage{}, unacknowledged: map[uint64]*heldMessage{},
		deferredReports: map[uint64]*deferredReport{},
	}
	if cfg.Learned != nil { // otherwise the restored state would lie before the start of the module's clock
		r.startedAt = r.startedAt.Add(-pastClockRange)
	}
	for _, c := range cfg.Settings.Classes {
		r.deliveryTimeouts[c.Name], r.effects[c.Name] = c.DeliveryTimeout, c.Effect
		r.longestTimeout = max(r.longestTimeout, c.DeliveryTimeout)
	}
	return r, nil
}

// Run runs the router. It resumes the messages in the journal, calls ready, and serves events until ctx is done and the
// shutdown has ended.
func (r *Router) Run(ctx context.Context, ready func()) error {
	defer close(r.done)
	callCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	r.callContext = callCtx
	if r.cfg.Learned != nil {
		r.decider.Restore(r.now(), *r.cfg.Learned)
	}
	r.updateEndpoints(r.cfg.InitialList)
	r.resume()
	ready()
	wakeup := time.NewTimer(time.Hour)
	defer wakeup.Stop()
	stopRequested := ctx.Done()
	for {
		wakeup.Reset(r.untilNextWakeup())
		select {
		case event := <-r.events:
			event()
		case <-wakeup.C:
			r.fireTimers()
			r.retryJournal()
		case <-stopRequested:
			stopRequested = nil
			r.beginShutdown(r.cfg.DrainTimeout)
		}
		if r.drained() {
			break
		}
	}
	r.stopped = true
	cancel() // calls still out now would be cut when the process is killed
	r.endWaitingLongs()
	callsDone := make(chan struct{})
	go func() { defer close(callsDone); _ = r.callTasks.Wait() }()
	for {
		select {
		case event := <-r.events:
			event()
		case <-callsDone:
			r.sendUnrecordedReports()
			r.drainEvents()
			return nil
		}
	}
}

// drainEvents serves the events that remain after the last call: its outcome, and whether clients of long messages were
// answered.
func (r *Router) drainEvents() {
	timeout := time.NewTimer(answerGrace)
	defer timeout.Stop()
	for {
		select {
		case event := <-r.events:
			event()
			continue
		default:
		}
		if r.unansweredLongs == 0 {
			return
		}
		select {
		case event := <-r.events:
			event()
		case <-timeout.C:
			return
		}
	}
}

// beginShutdown starts the shutdown, which takes at most the given time.
func (r *Router) beginShutdown(in time.Duration) {
	r.stopAt = time.Now().Add(in)
	r.cfg.Logger.Info().Int("held", len(r.messagesByID)).Int("calls", r.callsOut).Stringer("within", in).Msg("stopping")
	r.decide(mb.Shutdown{In: in})
}

// drained reports whether the shutdown is over: clients have stopped coming and no message, call, report or record is
// pending, or the time is up.
func (r *Router) drained() bool {
	if r.stopAt.IsZero() {
		return false
	}
	left := time.Until(r.stopAt)
	idle := r.callsOut == 0 && len(r.messagesByID) == 0 && r.pendingReports == 0 && r.cfg.Log.UnwrittenRecords() == 0
	return left <= 0 || left < r.cfg.DrainTimeout-r.cfg.ClientGrace && idle
}

// post queues an event for the router's goroutine. It returns false if the router has stopped.
func (r *Router) post(event func()) bool {
	select {
	case r.events <- event:
		return true
	case <-r.done:
		return false
	}
}

// execute runs f on the router's goroutine and returns its result, or false if the router has stopped.
func execute[T any](r *Router, f func() T) (T, bool) {
	answer := make(chan T, 1)
	if r.post(func() { answer <- f() }) {
		select {
		case v := <-answer:
			return v, true
		case <-r.done:
			select { // f may have been the last event served
			case v := <-answer:
				return v, true
			default:
			}
		}
	}
	var none T
	return none, false
}

// Accept decides on a submitted message. If the verdict is Accepted, the message is in the journal, as durable as the
// journal's settings promise.
func (r *Router) Accept(m Message) Verdict {
	v, ok := execute(r, func() Verdict { return r.accept(m) })
	if !ok {
		return Verdict{Kind: Stopped, RetryAfter: shutdownRetryAfter}
	}
	if v.Kind != Accepted && v.Kind != AlreadyAccepted || v.recordNumber == 0 {
		return v
	}
	if err := r.cfg.Log.Commit(v.recordNumber); err != nil { // no call of the message has started, and none will
		if v.Kind == Accepted {
			r.CancelMessage(m.ID)
		}
		return Verdict{Kind: Refused, RetryAfter: shutdownRetryAfter}
	}
	if r.cfg.Replication != nil && v.logPosition > 0 {
		return r.confirmReplicated(m, v)
	}
	return v
}

// CancelMessage drops a message whose client could not be told that it was accepted. The client regards it as not
// accepted and submits it again. If that has already happened and the repeat was answered with AlreadyAccepted, the
// message stays. The id is forgotten unless the message may have run and must not run again.
func (r *Router) CancelMessage(id string) {
	r.post(func() {
		if held := r.messagesByID[id]; held != nil && !held.duplicateAnswered {
			r.counters.MessagesCancelled++
			r.sample("message cancelled", "client not answered", held)
			r.noteJournalError(held.ID, r.cfg.Log.Cancel(held.seq))
			mayHaveRun := held.mayHaveRun || held.call != nil && held.call.begun
			if held.call != nil {
				held.call.cancelled = true
				held.call.cancel()
			}
			r.end(held, wal.Completed, 0)
			if mayHaveRun && r.mustNotRepeat(held.Class) {
				r.ended.revoke(id)
			} else {
				r.ended.forget(id)
			}
			r.decide(mb.MessageCancelled{ID: mb.MessageID(held.seq)})
		}
	})
}

// Learn passes on a list of endpoints from discovery.
func (r *Router) Learn(list EndpointList) { r.post(func() { r.updateEndpoints(list) }) }

// Counters returns the current counters.
func (r *Router) Counters() Counters {
	c, ok := execute(r, func() Counters {
		r.counters.Held, r.counters.CallsOut, r.counters.BodyBytes = len(r.messagesByID), r.callsOut, r.bodyBytes()
		r.counters.EndedIDBytes = r.ended.bytes
		r.counters.PendingRecords = r.cfg.Log.UnwrittenRecords()
		r.counters.LongHeld, r.counters.LongCallsOut = r.longCount-r.longCalls, r.longCalls
		return r.counters
	})
	if !ok {
		return r.counters // the goroutine that wrote them has ended
	}
	return c
}

// bodyBytes returns the memory of the bodies of all messages that are held.
func (r *Router) bodyBytes() (total int64) {
	for _, held := range r.messages {
		total += int64(cap(held.Body))
	}
	return total
}

// Learned returns the state learned so far and the ids of recently ended messages, oldest first for short and for long
// messages.
func (r *Router) Learned() (learned mb.LearnedState, ids []EndedID) {
	read := func() bool {
		learned, ids = r.decider.Snapshot(r.now()), r.ended.list()
		return true
	}
	if _, served := execute(r, read); !served {
		read() // the goroutine that owned them has ended
	}
	return learned, ids
}

// The functions below run on the router's goroutine only.

func (r *Router) now() time.Duration { return clockStart + time.Since(r.startedAt) }

func (r *Router) wallClock(at time.Duration) time.Time { return r.startedAt.Add(at - clockStart) }

// decide passes events to the module and carries out the actions it returns.
func (r *Router) decide(events ...mb.Event) { r.perform(r.decider.Handle(r.now(), events)) }

func (r *Router) perform(actions []mb.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case mb.Send:
			r.send(a)
		case mb.Refuse:
			if held := r.messages[uint64(a.ID)]; held != nil {
				r.finishWithReport(held, wal.Refused, a.RetryAfter)
			}
		case mb.Fail:
			if held := r.messages[uint64(a.ID)]; held != nil {
				r.finishWithReport(held, wal.Failed, 0)
			}
		case mb.Cancel:
			if held := r.messages[uint64(a.ID)]; held != nil && held.call != nil && held.call.number == a.Attempt {
				held.call.cancelled, held.call.timedOutByModule = true, true
				held.call.cancel()
			}
		case mb.CloseIdle:
			r.cfg.Caller.CloseIdle(string(a.Endpoint))
		case mb.SetTimer:
			r.timers = append(r.timers, timer{time.Now().Add(a.After), a.Cookie})
		case mb.Log:
			r.cfg.Logger.Info().Str("part", "module").Msg(a.Text)
		case mb.Probe, mb.Subscribe: // probing is not used, and discovery is always watched
		}
	}
}

// untilNextWakeup returns the time until the next timer, journal retry or step of the shutdown.
func (r *Router) untilNextWakeup() time.Duration {
	next := time.Now().Add(r.untilJournalRetry())
	for _, t := range r.timers {
		if t.at.Before(next) {
			next = t.at
		}
	}
	if !r.stopAt.IsZero() {
		for _, at := range []time.Time{r.stopAt, r.stopAt.Add(r.cfg.ClientGrace - r.cfg.DrainTimeout)} {
			if at.Before(next) && time.Until(at) > 0 {
				next = at
			}
		}
	}
	return max(0, time.Until(next))
}

// fireTimers passes expired timers to the module.
func (r *Router) fireTimers() {
	now := time.Now()
	due := make([]mb.Event, 0, timerBatchCapacity)
	rest := r.timers[:0]
	for _, t := range r.timers {
		if t.at.After(now) {
			rest = append(rest, t)
		} else {
			due = append(due, mb.Timer{Cookie: t.cookie})
		}
	}
	r.timers = rest
	if len(due) > 0 {
		r.decide(due...)
	}
}

// updateEndpoints applies a list from discovery.
func (r *Router) updateEndpoints(list EndpointList) {
	if r.overlay != nil {
		if list = r.overlay.applyDiscovery(list); !list.Whole && !list.Saved && len(list.Endpoints) == 0 {
			return
		}
	}
	r.applyEndpoints(list)
}

// applyEndpoints applies a list that already takes the configured endpoints into account.
func (r *Router) applyEndpoints(list EndpointList) {
	list = r.withoutDisplaced(list)
	scope := mb.ListChanges
	switch {
	case list.Saved:
		scope = mb.ListSaved
	case list.Whole:
		scope = mb.ListWhole
	}
	if scope != mb.ListChanges { // endpoints missing from a complete list are removed
		listed := make(map[string]bool, len(list.Endpoints))
		for _, endpoint := range list.Endpoints {
			listed[endpoint.Name] = true
		}
		for name := range r.endpoints {
			if !listed[name] {
				r.cfg.Caller.CloseIdle(name)
				delete(r.endpoints, name)
				delete(r.restrictedAccess, name)
			}
		}
	}
	entries := make([]mb.Entry, 0, len(list.Endpoints))
	for _, endpoint := range list.Endpoints {
		if old, ok := r.endpoints[endpoint.Name]; endpoint.State != mb.Serving || ok && old.anotherProcess(endpoint) {
			r.cfg.Caller.CloseIdle(endpoint.Name)
		}
		if endpoint.State == mb.Deleted {
			delete(r.endpoints, endpoint.Name)
		} else {
			r.endpoints[endpoint.Name] = endpoint
		}
		entries = append(entries, r.memberEntry(endpoint))
	}
	r.decide(mb.EndpointUpdate{Scope: scope, Entries: entries})
}

// anotherProcess reports whether a newer entry of the same name stands for another process.
func (e Endpoint) anotherProcess(newer Endpoint) bool {
	return e.Address != newer.Address || newer.StartedAt > e.StartedAt
}

// withoutDisplaced returns a list without the endpoints at whose address another one's process is. Messages for their destinations
// are still accepted.
func (r *Router) withoutDisplaced(list EndpointList) EndpointList {
	for _, endpoint := range list.Endpoints {
		if endpoint.State != mb.Deleted {
			r.knownDestinations[endpoint.Destination] = true
		}
	}
	remaining, displaced := r.addresses.apply(list)
	for _, endpoint := range displaced {
		r.counters.Displaced++
		r.cfg.Logger.Info().Str("part", "list").Str("endpoint", endpoint.Name).Str("address", endpoint.Address).
			Int64("destination", endpoint.Destination).Msg("endpoint not called: a newer process is listed at its address")
	}
	return remaining
}
