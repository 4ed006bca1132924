package routing

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	mb "mulleinbeam"
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
	Settings mb.Settings
	Seed     uint64
	Known    Directory
	Log      *wal.Log
	Invoker  Invoker
	Notifier Notifier
	Logger   zerolog.Logger
	Drain    time.Duration // after the stop: how long calls may be out, at the most
	Settle   time.Duration // after the stop: how long consumers may still come, and are answered
	Long     LongLimits
	Recall   *mb.Learned // what an earlier life had learned; nil is nothing
	// Past says whether a message of that id has ended in an earlier life, and whether it was delivered; nil knows of none.
	Past func(id string) (delivered, known bool)
}

// PastID is the id of a message that has ended of late.
type PastID struct {
	ID        string
	Delivered bool
	Ago       time.Duration
}

// held is a message that is taken on, or that still has a call out.
type held struct {
	Message
	seq      uint64
	onDisk   bool   // its Body is read from the journal for each call
	record   uint64 // of its accept; 0 is one of an earlier life
	deadline time.Time
	attempts int
	call     *invocation // the attempt that is out
	ended    bool
	mayRun   bool       // an attempt may have run
	last     mb.Outcome // of its latest attempt
	cut      bool       // a long one of an earlier life
}

// invocation is a call that is out, from its Send until its connection has nothing of it any more.
type invocation struct {
	msg       *held
	number    int
	provider  string
	sentAt    time.Time
	cutAt     time.Time
	begun     bool // its first byte may have been written
	cancelled bool
	cancel    context.CancelFunc
}

// pastID is the id of a message that has ended. It is known for as long as any message may live, so that nobody's repeat
// of it is taken for a new message.
type pastID struct {
	id  string
	at  time.Time
	seq uint64 // of its record in the journal, which then goes with it; 0 is none
}

type timer struct {
	at     time.Time
	cookie uint64
}

// Router owns everything about the messages that this forwarder holds. Its methods may be called from any goroutine;
// what they do happens in Run's.
type Router struct {
	cfg       Config
	decider   *mb.Decider
	startedAt time.Time
	events    chan func()
	done      chan struct{}
	classes   map[string]time.Duration // how long a message may live
	providers map[string]Provider
	groups    map[int64]bool // destinations ever listed
	messages  map[uint64]*held
	ids       map[string]*held // by the consumers' id, until the end
	past      map[string]bool  // ids that ended of late; true for those delivered
	pastQueue []pastID         // the same, oldest first,
	pastLong  []pastID         // and those of long messages
	longest   time.Duration    // of any class
	longs     int              // long messages held or out
	longCalls int              // of these, those out
	closed    int              // of pastLong, those with a record in the journal
	untold    int              // ends of long messages of which the consumer has not been told
	calls     int
	notices   int // not acknowledged yet
	timers    []timer
	stopAt    time.Time // the end of this life, once it is told
	over      bool      // no call may begin any more
	counters  Counters
	unwritten int            // records that could not be written, since the last that could
	tasks     errgroup.Group // calls that are out
	ctx       context.Context
}

// New prepares a router: it learns the known list and resumes what an earlier life had taken on. Sends begin with Run.
func New(cfg Config) (*Router, error) {
	decider, err := mb.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("routing: %w", err)
	}
	r := &Router{
		cfg: cfg, decider: decider, startedAt: time.Now(), events: make(chan func(), eventRoom),
		done: make(chan struct{}), classes: map[string]time.Duration{}, providers: map[string]Provider{},
		groups: map[int64]bool{}, messages: map[uint64]*held{}, ids: map[string]*held{},
		past: map[string]bool{},
	}
	if cfg.Recall != nil { // the past that the module is told of lies before its clock's beginning, else
		r.startedAt = r.startedAt.Add(-pastRoom)
	}
	for _, c := range cfg.Settings.Classes {
		r.classes[c.Name] = c.GiveUp
		r.longest = max(r.longest, c.GiveUp)
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
	if r.cfg.Recall != nil {
		r.decider.Recall(r.now(), *r.cfg.Recall)
	}
	r.learn(r.cfg.Known)
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
		case <-stop:
			stop = nil
			r.close(r.cfg.Drain)
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
			r.drainEvents()
			return nil
		}
	}
}

// drainEvents serves what is left after the last call: its outcome, and whether consumers of long messages were told.
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
	r.decide(mb.Closing{In: in})
}

// drained says whether this life may end: consumers have stopped coming, and nothing is held, out or still to be told.
func (r *Router) drained() bool {
	if r.stopAt.IsZero() {
		return false
	}
	left := time.Until(r.stopAt)
	return left <= 0 || left < r.cfg.Drain-r.cfg.Settle && r.calls == 0 && len(r.ids) == 0 && r.notices == 0
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

// Take decides on a message that is handed in; when it says Taken, the message is journalled and outlasts what the
// journal's durability says.
func (r *Router) Take(m Message) Verdict {
	v, ok := ask(r, func() Verdict { return r.take(m) })
	if !ok {
		return Verdict{Kind: Stopped, RetryAfter: lateRefusal}
	}
	if v.Kind != Taken && v.Kind != Known || v.record == 0 {
		return v
	}
	if err := r.cfg.Log.Commit(v.record); err != nil { // no call of it has left, and none will
		if v.Kind == Taken {
			r.Withdraw(m.ID)
		}
		return Verdict{Kind: Refused, RetryAfter: lateRefusal}
	}
	return v
}

// Withdraw drops a message whose consumer could not be told that it was taken on: to the consumer it counts for
// nothing, and it will be handed in again.
func (r *Router) Withdraw(id string) {
	r.post(func() {
		if h := r.ids[id]; h != nil {
			r.counters.Withdrawn++
			r.end(h, wal.Over, 0)
			delete(r.past, id)
			r.decide(mb.Gone{ID: mb.MessageID(h.seq)})
		}
	})
}

// Learn tells of the directory's list.
func (r *Router) Learn(d Directory) { r.post(func() { r.learn(d) }) }

// Counters gives the counters as they are now.
func (r *Router) Counters() Counters {
	c, ok := ask(r, func() Counters {
		r.counters.Held, r.counters.CallsOut = len(r.ids), r.calls
		r.counters.LongHeld, r.counters.LongOut = r.longs-r.longCalls, r.longCalls
		return r.counters
	})
	if !ok {
		return r.counters // the goroutine that wrote them has ended
	}
	return c
}

// Learned gives what was learned up to now, and the ids of messages that have ended of late, oldest first of each kind.
func (r *Router) Learned() (l mb.Learned, ids []PastID) {
	take := func() bool {
		l, ids = r.decider.Learned(r.now()), nil
		for _, queue := range [][]pastID{r.pastQueue, r.pastLong} {
			for _, p := range queue {
				if delivered, known := r.past[p.id]; known {
					ids = append(ids, PastID{p.id, delivered, time.Since(p.at)})
				}
			}
		}
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
				h.call.cancelled = true
				h.call.cancel()
			}
		case mb.Close:
			r.cfg.Invoker.CloseIdle(string(a.Endpoint))
		case mb.SetTimer:
			r.timers = append(r.timers, timer{time.Now().Add(a.After), a.Cookie})
		case mb.Log:
			r.cfg.Logger.Info().Str("part", "module").Msg(a.Text)
		case mb.Probe, mb.Subscribe: // probing is ruled out; the directory's watch always runs
		}
	}
}

// untilNext is the time to the next timer, or to the end of this life.
func (r *Router) untilNext() time.Duration {
	next := time.Now().Add(time.Hour)
	for _, t := range r.timers {
		if t.at.Before(next) {
			next = t.at
		}
	}
	if !r.stopAt.IsZero() {
		for _, at := range []time.Time{r.stopAt, r.stopAt.Add(r.cfg.Settle - r.cfg.Drain)} {
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

func (r *Router) learn(d Directory) {
	scope := mb.ListChanges
	switch {
	case d.Saved:
		scope = mb.ListSaved
	case d.Whole:
		scope = mb.ListWhole
	}
	if scope != mb.ListChanges { // what is not in it is gone
		listed := make(map[string]bool, len(d.Providers))
		for _, p := range d.Providers {
			listed[p.Name] = true
		}
		for name := range r.providers {
			if !listed[name] {
				r.cfg.Invoker.CloseIdle(name)
				delete(r.providers, name)
			}
		}
	}
	entries := make([]mb.Entry, 0, len(d.Providers))
	for _, p := range d.Providers {
		if old, ok := r.providers[p.Name]; p.State != mb.Serving || ok && old.Address != p.Address {
			r.cfg.Invoker.CloseIdle(p.Name)
		}
		if p.State == mb.Deleted {
			delete(r.providers, p.Name)
		} else {
			r.providers[p.Name] = p
			r.groups[p.Group] = true
		}
		entries = append(entries, mb.Entry{
			Endpoint: mb.EndpointID(p.Name), Zone: p.Zone, Kind: p.Kind, Destination: mb.DestinationID(p.Group),
			Readiness: p.State, CapacityHint: p.Weight,
		})
	}
	r.decide(mb.Members{Scope: scope, Entries: entries})
}

// resume takes up what an earlier life left: its notices, and its messages with their past.
func (r *Router) resume() {
	live := r.cfg.Log.Live()
	for _, m := range live {
		h := &held{
			Message: Message{ID: m.ID, Key: m.Key, Class: m.Class, Destination: m.Destination, Body: m.Body},
			seq:     m.Seq, deadline: m.Deadline, attempts: m.Attempts,
		}
		h.onDisk = m.OnDisk
		if h.cut, h.mayRun = m.Long, m.MayRun; m.Ending == wal.Closed {
			r.past[h.ID] = false
			r.pastLong = append(r.pastLong, pastID{h.ID, time.Now(), h.seq})
			r.closed++
			continue
		}
		if m.Ending != wal.Unended {
			if h.ended = true; h.cut {
				r.past[h.ID] = false
				r.pastLong = append(r.pastLong, pastID{id: h.ID, at: time.Now()})
			}
			r.notify(h, m.Ending == wal.Refused, m.RetryAfter)
			continue
		}
		r.messages[h.seq], r.ids[h.ID] = h, h
		r.counters.Resumed++
		submit := r.submission(h, time.Until(m.Deadline))
		if submit.Long, submit.Spent = m.Long, m.Long; m.Long { // its body went with that life
			r.counters.LongCut++
		}
		if submit.Attempts = m.Attempts; m.MayRun {
			submit.Ran = &mb.PastRun{Ago: max(0, time.Since(m.RanAt)), Zone: m.RanZone}
		}
		r.decide(submit)
	}
	if len(live) > 0 {
		r.cfg.Logger.Info().Int64("messages", r.counters.Resumed).Int("notices", len(live)-int(r.counters.Resumed)-r.closed).
			Msg("resumed what an earlier life had left")
	}
}

func (r *Router) submission(h *held, left time.Duration) mb.Submit {
	return mb.Submit{
		ID: mb.MessageID(h.seq), Class: h.Class, Left: left, Destination: mb.DestinationID(h.Destination),
		Long: h.Long != nil,
	}
}

func (r *Router) take(m Message) Verdict {
	r.counters.HandedIn++
	r.forget()
	longest, classed := r.classes[m.Class]
	delivered, past := r.past[m.ID]
	if !past && r.cfg.Past != nil {
		delivered, past = r.cfg.Past(m.ID)
	}
	switch {
	case m.Long != nil && (r.ids[m.ID] != nil || past): // its answer is owed to whoever handed it in first
		r.counters.Repeated++
		return Verdict{Kind: Ended}
	case r.ids[m.ID] != nil: // handed in twice
		r.counters.Repeated++
		return Verdict{Kind: Known, record: r.ids[m.ID].record}
	case delivered:
		r.counters.Repeated++
		return Verdict{Kind: Known}
	case past:
		r.counters.Repeated++
		return Verdict{Kind: Ended}
	case !classed:
		r.counters.Unreadable++
		return Verdict{Kind: UnknownClass}
	case len(r.groups) > 0 && !r.groups[m.Destination]:
		r.counters.Unreadable++
		return Verdict{Kind: UnknownDestination}
	case m.Long != nil && !r.admitLong():
		r.counters.LongRefused++
		return Verdict{Kind: Refused, RetryAfter: pushBack}
	case m.Long == nil && len(r.ids)-r.longs >= r.cfg.Settings.MostHeld:
		r.counters.TurnedAway++
		return Verdict{Kind: Refused, RetryAfter: pushBack}
	}
	if m.Long != nil {
		longest = r.cfg.Long.Longest
	}
	m.Left = min(m.Left, longest)
	h := &held{Message: m, seq: r.cfg.Log.Next(), deadline: time.Now().Add(m.Left)}
	entry := &wal.Message{
		Seq: h.seq, Deadline: h.deadline, Destination: m.Destination, ID: m.ID, Key: m.Key, Class: m.Class, Body: m.Body,
		Long: m.Long != nil,
	}
	if !r.cfg.Log.Fits(entry) {
		r.counters.NoRoom++
		return Verdict{Kind: Refused, RetryAfter: pushBack}
	}
	actions := r.decider.Handle(r.now(), []mb.Event{r.submission(h, m.Left)})
	for i, a := range actions { // an answer at once: nothing was taken on
		var v Verdict
		switch a := a.(type) {
		case mb.Refuse:
			if uint64(a.ID) != h.seq {
				continue
			}
			r.counters.RefusedAtOnce++
			v = Verdict{Kind: Refused, RetryAfter: a.RetryAfter}
		case mb.Fail:
			if uint64(a.ID) != h.seq {
				continue
			}
			r.counters.FailedAtOnce++
			v = Verdict{Kind: Failed}
		default:
			continue
		}
		r.perform(append(actions[:i:i], actions[i+1:]...))
		return v
	}
	if err := r.cfg.Log.Accept(entry); err != nil { // and no call of it may leave
		r.counters.NoRoom++
		r.journal(err)
		r.perform(actions) // its send finds no such message
		r.decide(mb.Gone{ID: mb.MessageID(h.seq)})
		return Verdict{Kind: Refused, RetryAfter: pushBack}
	}
	r.journal(nil)
	r.counters.Taken++
	if r.bookLong(h, 1); h.Long != nil {
		r.counters.LongTaken++
	}
	h.Body, h.onDisk, h.record = entry.Body, entry.OnDisk, r.cfg.Log.Last()
	r.messages[h.seq], r.ids[h.ID] = h, h
	r.perform(actions)
	return Verdict{Kind: Taken, record: h.record}
}

// forget drops the ids of messages that ended so long ago that nobody can mean them any more.
func (r *Router) forget() {
	r.pastQueue = r.forgetPast(r.pastQueue, r.longest)
	r.pastLong = r.forgetPast(r.pastLong, max(r.longest, r.cfg.Long.Longest))
}

func (r *Router) forgetPast(queue []pastID, after time.Duration) []pastID {
	for len(queue) > 0 && time.Since(queue[0].at) > after {
		delete(r.past, queue[0].id)
		if queue[0].seq > 0 {
			r.journal(r.cfg.Log.End(queue[0].seq, wal.Over, 0))
			r.closed--
		}
		queue = queue[1:]
	}
	return queue
}

// finish ends a message by a notice.
func (r *Router) finish(h *held, e wal.Ending, retry time.Duration) {
	if h.ended {
		return
	}
	r.end(h, e, retry)
	if h.Long != nil {
		r.finishLong(h, e, retry)
		return
	}
	r.notify(h, e == wal.Refused, retry)
}

// end books and journals a message's end; it stays known while a call is out.
func (r *Router) end(h *held, e wal.Ending, retry time.Duration) {
	if h.ended {
		return
	}
	h.ended = true
	delete(r.ids, h.ID)
	r.past[h.ID] = e == wal.Over
	if past := (pastID{id: h.ID, at: time.Now()}); h.Long != nil || h.cut {
		r.pastLong = append(r.pastLong, past)
	} else {
		r.pastQueue = append(r.pastQueue, past)
	}
	r.bookLong(h, -1)
	if h.call == nil {
		delete(r.messages, h.seq)
	}
	r.journal(r.cfg.Log.End(h.seq, e, retry))
}

func (r *Router) notify(h *held, back bool, retry time.Duration) {
	if back {
		r.counters.HandedBack++
	} else {
		r.counters.GivenUp++
	}
	r.notices++
	n := Notice{ID: h.ID, HandedBack: back, RetryAfter: retry, Done: func() {
		r.post(func() {
			r.notices--
			r.counters.Acknowledged++
			r.told(h)
		})
	}}
	r.cfg.Log.AfterCommit(func(err error) { // else a power cut could have it live again behind its notice
		if err == nil {
			r.cfg.Notifier.Notify(n)
		}
	})
}

// trouble begins a line of the log on the journal.
func (r *Router) trouble() *zerolog.Event { return r.cfg.Logger.Warn().Str("part", "journal") }

// journal logs that a record could not be written, once until one can be again. What ends attempts and messages is written
// later; a message that could not be journalled was refused, and a call not made.
func (r *Router) journal(err error) {
	switch {
	case err != nil:
		if r.unwritten++; r.unwritten == 1 {
			r.trouble().Err(err).Msg("record not written")
		}
	case r.unwritten > 0:
		r.cfg.Logger.Info().Str("part", "journal").Int("records", r.unwritten).Msg("records are written again")
		r.unwritten = 0
	}
}

// ---- calls ----

func (r *Router) send(a mb.Send) {
	h := r.messages[uint64(a.ID)]
	if h == nil || r.over { // its accept could not be journalled, or it is for the next life to send
		return
	}
	if h.call != nil {
		r.cfg.Logger.Error().Str("part", "module").Msg("a second call of a message was not made")
		return
	}
	now := time.Now()
	c := &invocation{msg: h, number: h.attempts, provider: string(a.Endpoint), sentAt: now, cutAt: h.deadline}
	if cut := r.clock(a.CutAt); a.CutAt > 0 && cut.Before(c.cutAt) {
		c.cutAt = cut
	}
	h.call = c
	h.attempts++
	r.calls++
	if h.Long != nil {
		r.longCalls++
	}
	r.counters.Sends++
	ctx, cancel := context.WithDeadline(r.ctx, c.cutAt)
	c.cancel = cancel
	call := InvokerCall{
		ID: h.ID, Key: h.Key, Body: h.Body, Provider: c.provider, Address: r.providers[c.provider].Address, CutAt: c.cutAt,
		Fresh: a.Fresh,
		Begin: func() bool { return r.letGo(c) },
	}
	if h.Long != nil {
		call.Source = h.Long.Source
		call.Settle = func() bool {
			record, served := ask(r, func() uint64 { r.settle(c); return r.cfg.Log.Last() })
			if served {
				_ = r.cfg.Log.Commit(record) // it is delivered, whatever this says
			}
			return served
		}
	}
	r.tasks.Go(func() error {
		defer cancel()
		if h.onDisk {
			body, err := r.cfg.Log.Body(h.seq)
			if err != nil {
				r.post(func() { r.unreadable(c, err) })
				return nil
			}
			call.Body = body
		}
		result := r.cfg.Invoker.Invoke(ctx, call)
		r.post(func() { r.answered(c, result) })
		return nil
	})
}

// letGo lets a call's first byte go, in its own goroutine. Its start outlasts what the journal's durability says by then;
// where that took its time, all is looked at again.
func (r *Router) letGo(c *invocation) bool {
	begin := func() (record uint64) {
		if r.begin(c) {
			record = r.cfg.Log.Last()
		}
		return record
	}
	record, _ := ask(r, begin)
	if record == 0 || !r.cfg.Log.Waits() {
		return record > 0
	}
	if r.cfg.Log.Commit(record) != nil {
		return false
	}
	record, _ = ask(r, begin)
	return record > 0
}

// unreadable ends a message whose body can't be read back for a call: no later one could be made either.
func (r *Router) unreadable(c *invocation, err error) {
	h := c.msg
	r.counters.Lost++
	r.trouble().Uint64("message", h.seq).Err(err).Msg("body not readable, message ended")
	e := wal.Refused
	if h.mayRun {
		e = wal.Failed
	}
	r.finish(h, e, pushBack)
	r.answered(c, Result{Outcome: mb.Moot})
}

// begin lets a call's first byte go. Between the module's send and this moment the list may have changed, the message
// may have ended, its time or its window may be up, or a wait may have been told.
func (r *Router) begin(c *invocation) bool {
	p, listed := r.providers[c.provider]
	switch {
	case r.over, c.msg.ended, c.cancelled, !time.Now().Before(c.cutAt):
		return false
	case !listed, p.State != mb.Serving, p.Group != c.msg.Destination, !r.decider.MayBegin(r.now(), mb.MessageID(c.msg.seq)):
		r.counters.HeldBack++
		return false
	}
	if c.begun { // on another connection now, with nothing written yet
		return true
	}
	if err := r.cfg.Log.Started(c.msg.seq, time.Now(), p.Zone); err != nil {
		r.journal(err) // a call that no later life would know of
		r.journal(r.cfg.Log.Outcome(c.msg.seq, false))
		return false
	}
	c.begun = true
	return true
}

// answered books the end of a call.
func (r *Router) answered(c *invocation, result Result) {
	h := c.msg
	h.call = nil
	r.calls--
	if h.Long != nil {
		r.longCalls--
	}
	out := result.Outcome
	if out == mb.TimedOut && c.cancelled {
		out = mb.Cancelled
	}
	if !c.begun && (out == mb.TimedOut || out == mb.Cancelled || out == mb.Reset) {
		out = mb.ConnectFailed
	}
	r.counters.outcome(out)
	h.last = out
	never := out == mb.Full || out == mb.ConnectFailed || out == mb.Moot
	if c.begun {
		h.mayRun = h.mayRun || !never
		r.journal(r.cfg.Log.Outcome(h.seq, !never))
	}
	over := out == mb.OK || result.Over
	if over {
		r.end(h, wal.Over, 0)
		if h.Long != nil {
			r.overLong(h, out == mb.OK)
		}
	}
	if h.ended {
		delete(r.messages, h.seq)
	}
	if r.providers[c.provider].State != mb.Serving || r.providers[c.provider].Address == "" {
		r.cfg.Invoker.CloseIdle(c.provider) // it was listed so while this call was out
	}
	r.decide(mb.Answer{
		ID: mb.MessageID(h.seq), Attempt: c.number, Endpoint: mb.EndpointID(c.provider), Outcome: out,
		Latency: time.Since(c.sentAt), Settled: over || h.ended, Wait: result.Wait, Limit: result.Limit,
		Kept: result.Kept, Spent: result.Spent,
	})
}
