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
	clockStart   = time.Second     // the module takes a reading of zero for "never"
	pastRoom     = 24 * time.Hour  // of the module's clock, before a life that recalls an earlier one
	pushBack     = time.Second     // when to come again to a forwarder that is full, beside the module's say
	eventRoom    = 256             // events waiting for the router's goroutine
	lateRefusal  = 3 * time.Second // when to come again to a forwarder that is going down
	timersAtOnce = 16
)

// Config is what a Router starts with.
type Config struct {
	Settings     mb.Settings
	Seed         uint64
	InitialList  EndpointList
	Log          *wal.Log
	Caller       Caller
	Notifier     Notifier
	Logger       zerolog.Logger
	Sampler      *oplog.Sampler // of what becomes of single requests; nil tells of none
	DrainTimeout time.Duration  // after the stop: how long calls may be out, at the most
	ClientGrace  time.Duration  // after the stop: how long clients may still come, and are answered
	Long         LongLimits
	Learned      *mb.LearnedState // what an earlier life had learned; nil is nothing
	// EndedBefore says whether a message of that id has ended in an earlier life, and whether it was delivered; nil knows of none.
	EndedBefore func(id string) (delivered, known bool)
	// Replication stands before those who keep copies of what is held here; nil: nobody does.
	Replication Replication
	// Steering says where calls may go; nil: everywhere.
	Steering Steering
	// Limiter bounds what is taken on of a class; nil: nothing does.
	Limiter Limiter
}

type timer struct {
	at     time.Time
	cookie uint64
}

// Router owns everything about the messages that this forwarder holds. Its methods may be called from any goroutine;
// what they do happens in Run's.
type Router struct {
	cfg          Config
	decider      *mb.Decider
	startedAt    time.Time
	events       chan func()
	done         chan struct{}
	classes      map[string]time.Duration // how long a message may live
	endpoints    map[string]Endpoint
	groups       map[int64]bool    // destinations ever listed
	overlay      *overlay          // nil: nothing is configured, the list alone counts
	access       map[string]Access // endpoints that the module was told of as other than Free; see Steering
	messages     map[uint64]*held
	ids          map[string]*held // by the clients' id, until the end
	past         pastIDs
	waiting      map[uint64]*held // ended in an earlier life; whether this one tells of it is not known yet
	noticed      map[uint64]*held // ended, and not acknowledged; kept only where others hold copies
	longest      time.Duration    // of any class
	longs        int              // long messages held or out
	longCalls    int              // of these, those out
	untold       int              // ends of long messages of which the client has not been told
	calls        int
	notices      int // not acknowledged yet
	timers       []timer
	stopAt       time.Time // the end of this life, once it is told
	over         bool      // no call may begin any more
	counters     Counters
	outage       outage              // of the journal
	journalTried time.Time           // when what waits was last tried, also while events keep coming
	promises     map[uint64]*promise // ends that are not told yet, by message
	tasks        errgroup.Group      // calls that are out
	ctx          context.Context
}

// New prepares a router: it learns the known list and resumes what an earlier life had taken on. Sends begin with Run.
func New(cfg Config) (*Router, error) {
	cfg.Settings.SeparateZones = cfg.Settings.SeparateZones || cfg.Steering != nil // a zone that is lost says nothing of the others
	decider, err := mb.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("routing: %w", err)
	}
	r := &Router{
		cfg: cfg, decider: decider, startedAt: time.Now(), events: make(chan func(), eventRoom),
		done: make(chan struct{}), classes: map[string]time.Duration{}, endpoints: map[string]Endpoint{},
		groups: map[int64]bool{}, access: map[string]Access{}, messages: map[uint64]*held{}, ids: map[string]*held{},
		past: pastIDs{delivered: map[string]bool{}}, waiting: map[uint64]*held{}, noticed: map[uint64]*held{},
		promises: map[uint64]*promise{},
	}
	if cfg.Learned != nil { // the past that the module is told of lies before its clock's beginning, else
		r.startedAt = r.startedAt.Add(-pastRoom)
	}
	for _, c := range cfg.Settings.Classes {
		r.classes[c.Name] = c.DeliveryTimeout
		r.longest = max(r.longest, c.DeliveryTimeout)
	}
	return r, nil
}

// Run is the router's goroutine. It resumes the journal's messages, calls ready, and serves events until ctx ends and
// the stop's drain is over.
func (r *Router) Run(ctx context.Context, ready func()) error {
	defer close(r.done)
	callCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	r.ctx = callCtx
	if r.cfg.Learned != nil {
		r.decider.Restore(r.now(), *r.cfg.Learned)
	}
	r.learn(r.cfg.InitialList)
	r.resume()
	ready()
	wake := time.NewTimer(time.Hour)
	defer wake.Stop()
	stop := ctx.Done()
	for {
		wake.Reset(r.untilNext())
		select {
		case f := <-r.events:
			f()
		case <-wake.C:
			r.fire()
			r.retryJournal()
		case <-stop:
			stop = nil
			r.close(r.cfg.DrainTimeout)
		}
		if r.drained() {
			break
		}
	}
	r.over = true
	cancel() // what is out now would be out when the process is killed
	r.endLongs()
	finished := make(chan struct{})
	go func() { defer close(finished); _ = r.tasks.Wait() }()
	for {
		select {
		case f := <-r.events:
			f()
		case <-finished:
			r.keepLast()
			r.drainEvents()
			return nil
		}
	}
}

// drainEvents serves what is left after the last call: its outcome, and whether clients of long messages were told.
func (r *Router) drainEvents() {
	late := time.NewTimer(toldFor)
	defer late.Stop()
	for {
		select {
		case f := <-r.events:
			f()
			continue
		default:
		}
		if r.untold == 0 {
			return
		}
		select {
		case f := <-r.events:
			f()
		case <-late.C:
			return
		}
	}
}

// close begins the end of this life.
func (r *Router) close(in time.Duration) {
	r.stopAt = time.Now().Add(in)
	r.cfg.Logger.Info().Int("held", len(r.ids)).Int("calls", r.calls).Stringer("within", in).Msg("stopping")
	r.decide(mb.Shutdown{In: in})
}

// drained says whether this life may end: clients have stopped coming, and nothing is held, out or still to be told.
func (r *Router) drained() bool {
	if r.stopAt.IsZero() {
		return false
	}
	left := time.Until(r.stopAt)
	nothing := r.calls == 0 && len(r.ids) == 0 && r.notices == 0 && r.cfg.Log.UnwrittenRecords() == 0
	return left <= 0 || left < r.cfg.DrainTimeout-r.cfg.ClientGrace && nothing
}

// post hands an event to the router's goroutine; it is dropped once that has ended.
func (r *Router) post(f func()) bool {
	select {
	case r.events <- f:
		return true
	case <-r.done:
		return false
	}
}

// ask hands in an event and waits for its answer.
func ask[T any](r *Router, f func() T) (T, bool) {
	answer := make(chan T, 1)
	if r.post(func() { answer <- f() }) {
		select {
		case v := <-answer:
			return v, true
		case <-r.done:
			select { // it may have been the last one served
			case v := <-answer:
				return v, true
			default:
			}
		}
	}
	var none T
	return none, false
}

// Accept decides on a message that is handed in; when it says Taken, the message is journalled and outlasts what the
// journal's durability says.
func (r *Router) Accept(m Message) Verdict {
	v, ok := ask(r, func() Verdict { return r.take(m) })
	if !ok {
		return Verdict{Kind: Stopped, RetryAfter: lateRefusal}
	}
	if v.Kind != Accepted && v.Kind != AlreadyAccepted || v.record == 0 {
		return v
	}
	if err := r.cfg.Log.Commit(v.record); err != nil { // no call of it has left, and none will
		if v.Kind == Accepted {
			r.CancelMessage(m.ID)
		}
		return Verdict{Kind: Refused, RetryAfter: lateRefusal}
	}
	if r.cfg.Replication != nil && v.mark > 0 {
		return r.confirmTaken(m, v)
	}
	return v
}

// CancelMessage drops a message whose client could not be told that it was taken on: to the client it counts for
// nothing, and it will be handed in again. If it has been by then, and that was told to be known, it stays.
func (r *Router) CancelMessage(id string) {
	r.post(func() {
		if h := r.ids[id]; h != nil && !h.repeated {
			r.counters.Withdrawn++
			r.sample("message withdrawn", "client not told", h)
			r.journal(h.ID, r.cfg.Log.Cancel(h.seq))
			r.end(h, wal.Completed, 0)
			r.past.drop(id)
			r.decide(mb.MessageCancelled{ID: mb.MessageID(h.seq)})
		}
	})
}

// Learn tells of discovery's list.
func (r *Router) Learn(d EndpointList) { r.post(func() { r.learn(d) }) }

// Counters gives the counters as they are now.
func (r *Router) Counters() Counters {
	c, ok := ask(r, func() Counters {
		r.counters.Held, r.counters.CallsOut = len(r.ids), r.calls
		r.counters.Waiting = r.cfg.Log.UnwrittenRecords()
		r.counters.LongHeld, r.counters.LongOut = r.longs-r.longCalls, r.longCalls
		return r.counters
	})
	if !ok {
		return r.counters // the goroutine that wrote them has ended
	}
	return c
}

// Learned gives what was learned up to now, and the ids of messages that have ended of late, oldest first of each kind.
func (r *Router) Learned() (l mb.LearnedState, ids []EndedID) {
	take := func() bool {
		l, ids = r.decider.Snapshot(r.now()), r.past.list()
		return true
	}
	if _, served := ask(r, take); !served {
		take() // the goroutine that owned them has ended
	}
	return l, ids
}

// ---- the router's goroutine only, from here on ----

func (r *Router) now() time.Duration { return clockStart + time.Since(r.startedAt) }

func (r *Router) clock(at time.Duration) time.Time { return r.startedAt.Add(at - clockStart) }

// decide feeds the module and carries out what it says.
func (r *Router) decide(events ...mb.Event) { r.perform(r.decider.Handle(r.now(), events)) }

func (r *Router) perform(actions []mb.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case mb.Send:
			r.send(a)
		case mb.Refuse:
			if h := r.messages[uint64(a.ID)]; h != nil {
				r.finish(h, wal.Refused, a.RetryAfter)
			}
		case mb.Fail:
			if h := r.messages[uint64(a.ID)]; h != nil {
				r.finish(h, wal.Failed, 0)
			}
		case mb.Cancel:
			if h := r.messages[uint64(a.ID)]; h != nil && h.call != nil && h.call.number == a.Attempt {
				h.call.cancelled, h.call.stuck = true, true
				h.call.cancel()
			}
		case mb.CloseIdle:
			r.cfg.Caller.CloseIdle(string(a.Endpoint))
		case mb.SetTimer:
			r.timers = append(r.timers, timer{time.Now().Add(a.After), a.Cookie})
		case mb.Log:
			r.cfg.Logger.Info().Str("part", "module").Msg(a.Text)
		case mb.Probe, mb.Subscribe: // probing is ruled out; discovery's watch always runs
		}
	}
}

// untilNext is the time to the next timer, to the journal's next try, or to the end of this life.
func (r *Router) untilNext() time.Duration {
	next := time.Now().Add(r.journalDue())
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

// fire feeds the timers that are due.
func (r *Router) fire() {
	now := time.Now()
	due := make([]mb.Event, 0, timersAtOnce)
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

// learn takes what discovery says.
func (r *Router) learn(d EndpointList) {
	if r.overlay != nil {
		if d = r.overlay.list(d); !d.Whole && !d.Saved && len(d.Endpoints) == 0 {
			return
		}
	}
	r.learnEndpoints(d)
}

// learnEndpoints takes what counts of it, or of the configuration.
func (r *Router) learnEndpoints(d EndpointList) {
	scope := mb.ListChanges
	switch {
	case d.Saved:
		scope = mb.ListSaved
	case d.Whole:
		scope = mb.ListWhole
	}
	if scope != mb.ListChanges { // what is not in it is gone
		listed := make(map[string]bool, len(d.Endpoints))
		for _, p := range d.Endpoints {
			listed[p.Name] = true
		}
		for name := range r.endpoints {
			if !listed[name] {
				r.cfg.Caller.CloseIdle(name)
				delete(r.endpoints, name)
				delete(r.access, name)
			}
		}
	}
	entries := make([]mb.Entry, 0, len(d.Endpoints))
	for _, p := range d.Endpoints {
		if old, ok := r.endpoints[p.Name]; p.State != mb.Serving || ok && old.Address != p.Address {
			r.cfg.Caller.CloseIdle(p.Name)
		}
		if p.State == mb.Deleted {
			delete(r.endpoints, p.Name)
		} else {
			r.endpoints[p.Name] = p
			r.groups[p.Destination] = true
		}
		entries = append(entries, r.entry(p))
	}
	r.decide(mb.EndpointUpdate{Scope: scope, Entries: entries})
}
