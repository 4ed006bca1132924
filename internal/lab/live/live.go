// Package live runs a scenario in real time: several processes of the real program on loopback, which are killed and restarted on
// the scenario's schedule, with simulated destinations and clients. Runs of one seed differ with the timing of the machine; their
// metrics are shown beside those of virtual time.
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
	drainTime        = 30 * time.Second // after the end of the traffic, for the messages still held
	clientRetryDelay = 500 * time.Millisecond
)

// Run configures a run of one scenario with one seed.
type Run struct {
	Scenario scenario.Scenario
	Seed     uint64
	Program  []string // command line of the forwarder
	Env      []string
	Dir      string // existing folder for the forwarders' folders
	Log      func(format string, args ...any)
}

// run is a run in progress.
type run struct {
	Run
	ctx          context.Context // ends with the run
	startedAt    time.Time
	agent        *lab.Agent
	destinations []*destination
	forwarders   []*forwarder
	check        *lab.Checker
	tasks        sync.WaitGroup

	mu       sync.Mutex
	result   simulation.Result
	waiting  map[string]*request // by the message ID of the latest submission
	killedAt time.Duration       // time of the first kill; negative if none
}

// destination is a simulated destination whose endpoints listen on sockets.
type destination struct {
	mu        sync.Mutex
	model     simulation.Destination
	endpoints []*lab.Endpoint
}

// forwarder is a process of the forwarder.
type forwarder struct {
	mu      sync.Mutex // serializes starts and stops
	process *lab.Forwarder
	up      bool
}

// request is a message that a client wants delivered.
type request struct {
	number      int
	class       *scenario.Class
	destination *destination
	forwarder   *forwarder
	createdAt   time.Duration
	deadline    time.Duration
	retriesLeft int
	done        bool
	ended       chan lab.Notice // delivery report of a message that was accepted; closed on delivery
}

func (s *run) now() time.Duration { return time.Since(s.startedAt) }

// Play carries out the run and returns its result.
func (r Run) Play(ctx context.Context) (simulation.Result, error) {
	if r.Log == nil {
		r.Log = func(string, ...any) {}
	}
	s := &run{Run: r, check: lab.NewChecker(), waiting: map[string]*request{}, killedAt: -1}
	s.result = simulation.Result{Scenario: r.Scenario.Name, Seed: r.Seed, Classes: map[string]*simulation.ClassResult{}}
	for _, c := range r.Scenario.Classes {
		s.result.Classes[c.Name] = &simulation.ClassResult{}
	}
	defer s.close()
	if err := s.open(); err != nil {
		return s.result, err
	}
	ctx, cancel := context.WithTimeout(ctx, r.Scenario.Length.D()+drainTime)
	defer cancel()
	s.ctx, s.startedAt = ctx, time.Now()
	rng := rand.New(rand.NewPCG(r.Seed, 2))
	for _, f := range r.Scenario.Faults {
		s.schedule(ctx, f.At.D(), func() { s.injectFault(ctx, f, rng) })
	}
	s.generateTraffic(ctx)
	s.tasks.Wait()
	return s.result, s.finish()
}

// schedule calls do at a time of the run, unless ctx ends first.
func (s *run) schedule(ctx context.Context, at time.Duration, do func()) {
	s.tasks.Add(1)
	go func() {
		defer s.tasks.Done()
		if lab.Sleep(ctx, at-s.now()) {
			do()
		}
	}()
}

// open starts the destinations, the agent and the forwarders.
func (s *run) open() error {
	partners, err := simulation.Destinations(s.Scenario, s.Seed)
	if err != nil {
		return err
	}
	var all []*lab.Endpoint
	for _, p := range partners {
		t := &destination{model: p}
		for _, name := range p.Endpoints() {
			e := &lab.Endpoint{Name: name, Group: p.ID(), Weight: p.CapacityHint(), Handle: func(c *lab.Call) bool { return s.handleCall(t, c) }}
			if err := e.Listen(); err != nil {
				return err
			}
			t.endpoints = append(t.endpoints, e)
			all = append(all, e)
		}
		s.destinations = append(s.destinations, t)
	}
	s.agent = &lab.Agent{Told: s.handleReport}
	if err := s.agent.Listen(all...); err != nil {
		return err
	}
	for i := range s.Scenario.Fleet.Forwarders {
		f := &lab.Forwarder{
			Command: s.Program, Env: s.Env, Name: fmt.Sprint("f", i), Slots: s.Scenario.Fleet.Slots, DiskMB: 32, Amend: s.configure,
		}
		if s.Scenario.Learned.Enabled {
			f.Settings = fmt.Sprintf("[learned]\ninterval = %q\nsize = \"1MiB\"\n", s.Scenario.Learned.SaveInterval.D())
		}
		dir := filepath.Join(s.Dir, f.Name)
		if err := f.Prepare(dir, s.agent); err != nil {
			return err
		}
		h := &forwarder{process: f}
		s.forwarders = append(s.forwarders, h)
		if err := f.Start(); err != nil {
			return err
		}
		h.up = true
	}
	return nil
}

// configure writes the scenario's settings into the platform's configuration, whose times are in microseconds.
func (s *run) configure(c map[string]any) {
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

// handleCall answers a call to a destination according to the destination's state.
func (s *run) handleCall(t *destination, c *lab.Call) bool {
	if c.ReadAll(0) != nil {
		return false
	}
	t.mu.Lock()
	f := t.model.HandleCall(s.now())
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
	case f.Latency < 0: // silent: waits until the forwarder closes the connection
		_, _ = c.Conn.Read(make([]byte, 1))
		return false
	case f.Overloaded:
		s.disconnect(t, s.Scenario.Rules.OverloadDowntime.D())
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
	time.Sleep(f.Latency) // the service time
	if f.Outcome == mb.Reset {
		return false
	}
	if c.Answer(200, "") != nil {
		return false
	}
	s.recordDelivery(c.ID)
	return true
}

// disconnect closes a destination's connections and refuses new ones for a time.
func (s *run) disconnect(t *destination, d time.Duration) {
	for _, e := range t.endpoints {
		e.Down()
	}
	s.schedule(s.ctx, s.now()+d, func() {
		for _, e := range t.endpoints {
			_ = e.Up() // fails if the endpoint is up already, after two overlapping outages
		}
	})
}

// recordDelivery counts a delivery by the message ID that the client gave.
func (s *run) recordDelivery(id string) {
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
	s.result.RecordDelivery(w.class, now-w.createdAt, s.killedAt >= 0 && now < s.killedAt+simulation.AfterKillWindow)
}

// handleReport passes a delivery report to the client that waits for it.
func (s *run) handleReport(n lab.Notice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w := s.waiting[n.Message]; w != nil {
		delete(s.waiting, n.Message)
		w.ended <- n
	}
}

// generateTraffic submits messages at the scenario's rate until its traffic ends.
func (s *run) generateTraffic(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.Seed, 1))
	share := 0.0
	for _, c := range s.Scenario.Classes {
		share += c.Share
	}
	next := time.Duration(0) // on the run's clock, so that late wake-ups do not lower the rate
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
		w := &request{
			number: n, class: class, destination: s.destinations[rng.IntN(len(s.destinations))], forwarder: s.forwarders[rng.IntN(len(s.forwarders))], createdAt: s.now(),
			deadline: s.now() + class.DeliveryTimeout.D(), retriesLeft: s.Scenario.Traffic.MaxRetries,
		}
		s.mu.Lock()
		s.result.Offered++
		s.result.Classes[class.Name].Offered++
		s.result.Worth.Offered += class.Worth
		s.mu.Unlock()
		s.tasks.Add(1)
		go func() {
			defer s.tasks.Done()
			s.submitUntilDone(ctx, w)
		}()
	}
}

// submitUntilDone submits a request until it is delivered or abandoned, its retries are used up, or its deadline passes.
func (s *run) submitUntilDone(ctx context.Context, w *request) {
	class := s.result.Classes[w.class.Name]
	book := func(which *int) { s.mu.Lock(); *which++; s.mu.Unlock() }
	for try := 0; ; try++ {
		left := w.deadline - s.now()
		if left <= 0 {
			book(&class.Lost)
			return
		}
		id := fmt.Sprintf("%d-%d", w.number, try)
		s.mu.Lock()
		w.ended = make(chan lab.Notice, 2)
		s.waiting[id] = w
		s.mu.Unlock()
		retryAfter, accepted := s.submit(w, id, left)
		if accepted {
			select {
			case n, open := <-w.ended:
				switch {
				case !open: // closed: delivered
					return
				case n.Outcome != "handed_back":
					book(&class.Failed)
					return
				}
				retryAfter = time.Duration(n.Retry) * time.Millisecond
			case <-ctx.Done():
				book(&class.Lost)
				return
			}
		}
		s.mu.Lock()
		delete(s.waiting, id)
		s.mu.Unlock()
		if retryAfter >= 0 {
			if w.retriesLeft--; w.retriesLeft < 0 {
				book(&class.Refused)
				return
			}
		}
		if !lab.Sleep(ctx, max(clientRetryDelay/10, retryAfter)) {
			book(&class.Lost)
			return
		}
	}
}

// submit submits a message. If it is accepted, accepted is true; otherwise the client tries again after retryAfter. A negative
// retryAfter means that there was no answer, and that the attempt does not count as a retry.
func (s *run) submit(w *request, id string, left time.Duration) (retryAfter time.Duration, accepted bool) {
	c, err := lab.Dial(w.forwarder.process.Address())
	if err != nil { // the forwarder is down
		time.Sleep(clientRetryDelay)
		return -1, false
	}
	defer c.Close()
	h := lab.Handover{
		ID: id, Class: w.class.Name, Destination: w.destination.model.ID(), Left: left, Body: lab.Content{Seed: uint64(w.number), Size: 200},
	}
	if w.class.Effect == "keyed" {
		h.Key = strconv.Itoa(w.number)
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

// injectFault starts a fault now and schedules its end.
func (s *run) injectFault(ctx context.Context, f scenario.Fault, rng *rand.Rand) {
	chosen := func(n int) []int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return rng.Perm(n)[:min(n, max(1, int(f.Share*float64(n)+0.5)))]
	}
	s.Log("%v: %s", s.now().Round(time.Millisecond), f.Kind)
	switch f.Kind {
	case scenario.Outage, scenario.Silence:
		for _, i := range chosen(len(s.destinations)) {
			t := s.destinations[i]
			t.mu.Lock()
			t.model.StartOutage(s.now(), s.now()+f.Duration.D(), f.Kind == scenario.Silence)
			t.mu.Unlock()
			if f.Kind == scenario.Silence {
				continue
			}
			s.disconnect(t, f.Duration.D())
		}
	case scenario.Slow:
		for _, i := range chosen(len(s.destinations)) {
			t := s.destinations[i]
			slow := func(by float64) {
				t.mu.Lock()
				t.model.ScaleServiceTime(by)
				t.mu.Unlock()
			}
			slow(f.Factor)
			s.schedule(ctx, s.now()+f.Duration.D(), func() { slow(1 / f.Factor) })
		}
	case scenario.Kill:
		for _, i := range chosen(len(s.forwarders)) {
			h := s.forwarders[i]
			h.mu.Lock()
			_ = h.process.End(syscall.SIGKILL)
			h.up = false
			h.mu.Unlock()
			s.mu.Lock()
			if s.result.Kills++; s.killedAt < 0 {
				s.killedAt = s.now()
			}
			back := f.MinDowntime.D() + time.Duration(rng.Float64()*float64(f.MaxDowntime-f.MinDowntime))
			s.mu.Unlock()
			s.schedule(ctx, s.now()+back, func() {
				h.mu.Lock()
				defer h.mu.Unlock()
				if err := h.process.Start(); err != nil {
					s.Log("start: %v", err)
					return
				}
				h.up = true
			})
		}
	}
}

// finish stops the forwarders gracefully and checks the rules against what clients, agent and endpoints recorded.
func (s *run) finish() error {
	var errs []error
	for _, h := range s.forwarders {
		if h.up {
			errs = append(errs, h.process.End(syscall.SIGTERM))
			h.up = false
		} else {
			errs = append(errs, errors.New("live: a forwarder did not restart"))
		}
	}
	var arrivals [][]lab.Arrival
	for _, t := range s.destinations {
		for _, e := range t.endpoints {
			e.Close()
			arrivals = append(arrivals, e.Arrivals())
		}
	}
	s.check.Saw(s.agent.Notices(), arrivals...)
	s.result.Violations = append(s.result.Violations, s.check.Broken()...)
	return errors.Join(errs...)
}

func (s *run) close() {
	for _, h := range s.forwarders {
		if h.up {
			h.process.Kill()
		}
	}
	for _, t := range s.destinations {
		for _, e := range t.endpoints {
			e.Close()
		}
	}
	if s.agent != nil {
		s.agent.Close()
	}
}
