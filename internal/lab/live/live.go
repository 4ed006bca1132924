// Package live plays a scenario in real time: the real program as several processes on loopback, killed and restarted on the
// scenario's schedule, between partners that are the world's and clients that hand in what the world's would. Runs of one seed
// differ by what the machine does; their figures stand beside those of virtual time.
package live

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	mb "mulleinbeam"
	"mulleinbeam/internal/lab"
	"mulleinbeam/internal/lab/scenario"
	"mulleinbeam/internal/lab/simulation"
)

const (
	settleFor = 30 * time.Second // after the traffic's end
	comeAgain = 500 * time.Millisecond
)

// Run is one scenario with one seed.
type Run struct {
	Scenario scenario.Scenario
	Seed     uint64
	Program  []string // the forwarder and its arguments
	Env      []string
	Dir      string // for the forwarders' folders; has to exist
	Log      func(format string, args ...any)
}

// stage is a run under way.
type stage struct {
	Run
	ctx      context.Context // of the whole run
	began    time.Time
	agent    *lab.Agent
	partners []*site
	hosts    []*host
	check    *lab.Checker
	tasks    sync.WaitGroup

	mu       sync.Mutex
	result   simulation.Result
	waiting  map[string]*wish // by the id that was taken on
	killedAt time.Duration    // the first kill; negative is none
}

// site is a partner with its endpoints on sockets.
type site struct {
	mu        sync.Mutex
	partner   simulation.Destination
	endpoints []*lab.Endpoint
}

// host is one forwarder.
type host struct {
	mu sync.Mutex // round its starts and ends
	f  *lab.Forwarder
	up bool
}

// wish is what a client wants delivered.
type wish struct {
	n       int
	class   *scenario.Class
	partner *site
	host    *host
	at      time.Duration
	until   time.Duration
	returns int
	done    bool
	ended   chan lab.Notice // how a message that was taken on ended, if not by a delivery
}

func (s *stage) now() time.Duration { return time.Since(s.began) }

// Play plays it to its end.
func (r Run) Play(ctx context.Context) (simulation.Result, error) {
	if r.Log == nil {
		r.Log = func(string, ...any) {}
	}
	s := &stage{Run: r, check: lab.NewChecker(), waiting: map[string]*wish{}, killedAt: -1}
	s.result = simulation.Result{Scenario: r.Scenario.Name, Seed: r.Seed, Classes: map[string]*simulation.ClassResult{}}
	for _, c := range r.Scenario.Classes {
		s.result.Classes[c.Name] = &simulation.ClassResult{}
	}
	defer s.close()
	if err := s.open(); err != nil {
		return s.result, err
	}
	ctx, cancel := context.WithTimeout(ctx, r.Scenario.Length.D()+settleFor)
	defer cancel()
	s.ctx, s.began = ctx, time.Now()
	rng := rand.New(rand.NewPCG(r.Seed, 2))
	for _, f := range r.Scenario.Faults {
		s.later(ctx, f.At.D(), func() { s.fault(ctx, f, rng) })
	}
	s.clients(ctx)
	s.tasks.Wait()
	return s.result, s.finish()
}

// later does something at a moment, unless ctx ends first.
func (s *stage) later(ctx context.Context, at time.Duration, do func()) {
	s.tasks.Add(1)
	go func() {
		defer s.tasks.Done()
		if lab.Sleep(ctx, at-s.now()) {
			do()
		}
	}()
}

// open starts partners, agent and forwarders.
func (s *stage) open() error {
	partners, err := simulation.Destinations(s.Scenario, s.Seed)
	if err != nil {
		return err
	}
	var all []*lab.Endpoint
	for _, p := range partners {
		t := &site{partner: p}
		for _, name := range p.Endpoints() {
			e := &lab.Endpoint{Name: name, Group: p.ID(), Weight: p.CapacityHint(), Handle: func(c *lab.Call) bool { return s.call(t, c) }}
			if err := e.Listen(); err != nil {
				return err
			}
			t.endpoints = append(t.endpoints, e)
			all = append(all, e)
		}
		s.partners = append(s.partners, t)
	}
	s.agent = &lab.Agent{Told: s.told}
	if err := s.agent.Listen(all...); err != nil {
		return err
	}
	for i := range s.Scenario.Fleet.Forwarders {
		f := &lab.Forwarder{
			Command: s.Program, Env: s.Env, Name: fmt.Sprint("f", i), Slots: s.Scenario.Fleet.Slots, DiskMB: 32, Amend: s.amend,
		}
		if s.Scenario.Learned.Enabled {
			f.Settings = fmt.Sprintf("[learned]\ninterval = %q\nsize = \"1MiB\"\n", s.Scenario.Learned.SaveInterval.D())
		}
		dir := filepath.Join(s.Dir, f.Name)
		if err := f.Prepare(dir, s.agent); err != nil {
			return err
		}
		h := &host{f: f}
		s.hosts = append(s.hosts, h)
		if err := f.Start(); err != nil {
			return err
		}
		h.up = true
	}
	return nil
}

// amend puts the scenario in the platform's configuration; its times are in microseconds.
func (s *stage) amend(c map[string]any) {
	micro := func(d scenario.Duration) int64 { return d.D().Microseconds() }
	services := []any{}
	for _, k := range s.Scenario.Classes {
		services = append(services, map[string]any{
			"name": k.Name, "effect": k.Effect, "target": micro(k.Target), "give-up": micro(k.DeliveryTimeout), "key-ttl": micro(k.KeyTTL),
			"group": "all", "credit": k.Worth, "late-worth": scenario.LateWorth,
		})
	}
	set := c["settings"].(map[string]any)
	set["balancers"], set["services"] = s.Scenario.Fleet.Forwarders, services
	set["limits"].(map[string]any)["most-held"] = s.Scenario.Fleet.MostHeld
	rules := set["rules"].(map[string]any)
	rules["cold-from"], rules["warm-within"] = s.Scenario.Rules.ColdFrom, micro(s.Scenario.Rules.WarmWithin)
	rules["overload-factor"], rules["tip-after"] = s.Scenario.Rules.OverloadFactor, micro(s.Scenario.Rules.OverloadWindow)
}

// call answers one call to a partner, as the partner's state says.
func (s *stage) call(t *site, c *lab.Call) bool {
	if c.ReadAll(0) != nil {
		return false
	}
	t.mu.Lock()
	f := t.partner.HandleCall(s.now())
	t.mu.Unlock()
	s.mu.Lock()
	s.result.Calls++
	if f.Cold {
		s.result.ColdCalls++
	}
	if f.Early {
		s.result.EarlyColdCalls++
	}
	if f.Outcome == mb.Refused {
		s.result.OverLimit++
	}
	if f.Overloaded {
		s.result.Overloads++
	}
	s.mu.Unlock()
	switch {
	case f.Latency < 0: // silent: until the forwarder gives up
		_, _ = c.Conn.Read(make([]byte, 1))
		return false
	case f.Overloaded:
		s.shut(t, s.Scenario.Rules.OverloadDowntime.D())
		return false
	case f.Outcome == mb.ConnectFailed:
		return false
	case f.Outcome == mb.Refused:
		fields := ""
		if f.RetryAfter > 0 {
			fields = fmt.Sprintf("X-RateLimit-Wait-Ms: %d\r\n", f.RetryAfter.Milliseconds())
		}
		return c.Answer(429, fields) == nil
	}
	time.Sleep(f.Latency) // the service itself
	if f.Outcome == mb.Reset {
		return false
	}
	if c.Answer(200, "") != nil {
		return false
	}
	s.delivered(c.ID)
	return true
}

// shut ends a partner's connections and has new ones refused for a time.
func (s *stage) shut(t *site, d time.Duration) {
	for _, e := range t.endpoints {
		e.Down()
	}
	s.later(s.ctx, s.now()+d, func() {
		for _, e := range t.endpoints {
			_ = e.Up() // it is, if it fell over twice
		}
	})
}

// delivered books a delivery by the id that its client had given.
func (s *stage) delivered(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.waiting[id]
	if w == nil || w.done {
		return
	}
	w.done = true
	delete(s.waiting, id)
	close(w.ended)
	now := s.now()
	s.result.RecordDelivery(w.class, now-w.at, s.killedAt >= 0 && now < s.killedAt+simulation.AfterKillWindow)
}

// told passes a notice on to its client.
func (s *stage) told(n lab.Notice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w := s.waiting[n.Message]; w != nil {
		delete(s.waiting, n.Message)
		w.ended <- n
	}
}

// clients hand in what the scenario says until its traffic ends.
func (s *stage) clients(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.Seed, 1))
	share := 0.0
	for _, c := range s.Scenario.Classes {
		share += c.Share
	}
	next := time.Duration(0) // on the run's clock: what a sleep is late does not thin the traffic
	for n := 0; ; n++ {
		next += time.Duration(rng.ExpFloat64() / s.Scenario.Traffic.Rate * float64(time.Second))
		if next >= s.Scenario.Length.D() || !lab.Sleep(ctx, next-s.now()) {
			return
		}
		x := rng.Float64() * share
		class := &s.Scenario.Classes[len(s.Scenario.Classes)-1]
		for i := range s.Scenario.Classes {
			if x -= s.Scenario.Classes[i].Share; x < 0 {
				class = &s.Scenario.Classes[i]
				break
			}
		}
		w := &wish{
			n: n, class: class, partner: s.partners[rng.IntN(len(s.partners))], host: s.hosts[rng.IntN(len(s.hosts))], at: s.now(),
			until: s.now() + class.DeliveryTimeout.D(), returns: s.Scenario.Traffic.MaxRetries,
		}
		s.mu.Lock()
		s.result.Offered++
		s.result.Classes[class.Name].Offered++
		s.result.Worth.Offered += class.Worth
		s.mu.Unlock()
		s.tasks.Add(1)
		go func() {
			defer s.tasks.Done()
			s.want(ctx, w)
		}()
	}
}

// want hands a wish in until it is delivered, given up, or nobody waits for it any more.
func (s *stage) want(ctx context.Context, w *wish) {
	class := s.result.Classes[w.class.Name]
	book := func(which *int) { s.mu.Lock(); *which++; s.mu.Unlock() }
	for try := 0; ; try++ {
		left := w.until - s.now()
		if left <= 0 {
			book(&class.Lost)
			return
		}
		id := fmt.Sprintf("%d-%d", w.n, try)
		s.mu.Lock()
		w.ended = make(chan lab.Notice, 2)
		s.waiting[id] = w
		s.mu.Unlock()
		again, waits := s.hand(w, id, left)
		if waits {
			select {
			case n, told := <-w.ended:
				switch {
				case !told: // delivered
					return
				case n.Outcome != "handed_back":
					book(&class.Failed)
					return
				}
				again = time.Duration(n.Retry) * time.Millisecond
			case <-ctx.Done():
				book(&class.Lost)
				return
			}
		}
		s.mu.Lock()
		delete(s.waiting, id)
		s.mu.Unlock()
		if again >= 0 {
			if w.returns--; w.returns < 0 {
				book(&class.Refused)
				return
			}
		}
		if !lab.Sleep(ctx, max(comeAgain/10, again)) {
			book(&class.Lost)
			return
		}
	}
}

// hand hands a message in: it was taken on and its end is waited for, or it is to come again. Below zero nobody answered, and
// coming again counts for nothing.
func (s *stage) hand(w *wish, id string, left time.Duration) (again time.Duration, waits bool) {
	c, err := lab.Dial(w.host.f.Address())
	if err != nil { // it is dead
		time.Sleep(comeAgain)
		return -1, false
	}
	defer c.Close()
	h := lab.Handover{
		ID: id, Class: w.class.Name, Destination: w.partner.partner.ID(), Left: left, Body: lab.Content{Seed: uint64(w.n), Size: 200},
	}
	if w.class.Effect == "keyed" {
		h.Key = strconv.Itoa(w.n)
	}
	a := c.Hand(h, nil)
	s.check.Handed(h, a)
	switch {
	case a.Status == 202:
		return 0, true
	case a.Status == 503:
		sec, _ := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
		return time.Duration(sec * float64(time.Second)), false
	case a.Status == 0:
		return -1, false
	}
	return 0, false
}

// fault has something go wrong now.
func (s *stage) fault(ctx context.Context, f scenario.Fault, rng *rand.Rand) {
	chosen := func(n int) []int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return rng.Perm(n)[:min(n, max(1, int(f.Share*float64(n)+0.5)))]
	}
	s.Log("%v: %s", s.now().Round(time.Millisecond), f.Kind)
	switch f.Kind {
	case scenario.Outage, scenario.Silence:
		for _, i := range chosen(len(s.partners)) {
			t := s.partners[i]
			t.mu.Lock()
			t.partner.StartOutage(s.now(), s.now()+f.Duration.D(), f.Kind == scenario.Silence)
			t.mu.Unlock()
			if f.Kind == scenario.Silence {
				continue
			}
			s.shut(t, f.Duration.D())
		}
	case scenario.Slow:
		for _, i := range chosen(len(s.partners)) {
			t := s.partners[i]
			slow := func(by float64) {
				t.mu.Lock()
				t.partner.ScaleServiceTime(by)
				t.mu.Unlock()
			}
			slow(f.Factor)
			s.later(ctx, s.now()+f.Duration.D(), func() { slow(1 / f.Factor) })
		}
	case scenario.Kill:
		for _, i := range chosen(len(s.hosts)) {
			h := s.hosts[i]
			h.mu.Lock()
			_ = h.f.End(syscall.SIGKILL)
			h.up = false
			h.mu.Unlock()
			s.mu.Lock()
			if s.result.Kills++; s.killedAt < 0 {
				s.killedAt = s.now()
			}
			back := f.MinDowntime.D() + time.Duration(rng.Float64()*float64(f.MaxDowntime-f.MinDowntime))
			s.mu.Unlock()
			s.later(ctx, s.now()+back, func() {
				h.mu.Lock()
				defer h.mu.Unlock()
				if err := h.f.Start(); err != nil {
					s.Log("start: %v", err)
					return
				}
				h.up = true
			})
		}
	}
}

// finish ends the forwarders in order and holds what all sides have seen against the rules.
func (s *stage) finish() error {
	var errs []error
	for _, h := range s.hosts {
		if h.up {
			errs = append(errs, h.f.End(syscall.SIGTERM))
			h.up = false
		} else {
			errs = append(errs, errors.New("live: a forwarder did not come back"))
		}
	}
	var arrivals [][]lab.Arrival
	for _, t := range s.partners {
		for _, e := range t.endpoints {
			e.Close()
			arrivals = append(arrivals, e.Arrivals())
		}
	}
	s.check.Saw(s.agent.Notices(), arrivals...)
	s.result.Violations = append(s.result.Violations, s.check.Broken()...)
	return errors.Join(errs...)
}

func (s *stage) close() {
	for _, h := range s.hosts {
		if h.up {
			h.f.Kill()
		}
	}
	for _, t := range s.partners {
		for _, e := range t.endpoints {
			e.Close()
		}
	}
	if s.agent != nil {
		s.agent.Close()
	}
}
