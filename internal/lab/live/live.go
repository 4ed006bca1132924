// Package live runs a scenario in real time: several processes of the real program on loopback, which are killed and
// restarted on the scenario's schedule, with simulated destinations and clients. Runs of one seed differ with the
// timing of the machine; their metrics are shown beside those of virtual time.
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
	models, err := simulation.Destinations(s.Scenario, s.Seed)
	if err != nil {
		return err
	}
	var all []*lab.Endpoint
	for _, model := range models {
		dest := &destination{model: model}
		for _, name := range model.Endpoints() {
			e := &lab.Endpoint{Name: name, Group: model.ID(), Weight: model.CapacityHint(), Handle: func(c *lab.Call) bool { return s.handleCall(dest, c) }}
			if err := e.Listen(); err != nil {
				return err
			}
			dest.endpoints = append(dest.endpoints, e)
			all = append(all, e)
		}
		s.destinations = append(s.destinations, dest)
	}
	s.agent = &lab.Agent{Told: s.handleReport}
	if err := s.agent.Listen(all...); err != nil {
		return err
	}
	for i := range s.Scenario.Fleet.Forwarders {
		process := &lab.Forwarder{
			Command: s.Program, Env: s.Env, Name: fmt.Sprint("f", i), Slots: s.Scenario.Fleet.Slots, DiskMB: 32, Amend: s.configure,
		}
		if s.Scenario.Learned.Enabled {
			process.Settings = fmt.Sprintf("[learned]\ninterval = %q\nsize = \"1MiB\"\n", s.Scenario.Learned.SaveInterval.D())
		}
		dir := filepath.Join(s.Dir, process.Name)
		if err := process.Prepare(dir, s.agent); err != nil {
			return err
		}
		fwd := &forwarder{process: process}
		s.forwarders = append(s.forwarders, fwd)
		if err := process.Start(); err != nil {
			return err
		}
		fwd.up = true
	}
	return nil
}

// configure writes the scenario's settings into the platform's configuration, whose times are in microseconds.
func (s *run) configure(config map[string]any) {
	micro := func(d scenario.Duration) int64 { return d.D().Microseconds() }
	services := []any{}
	for _, class := range s.Scenario.Classes {
		services = append(services, map[string]any{
			"name": class.Name, "effect": class.Effect, "target": micro(class.Target), "give-up": micro(class.DeliveryTimeout), "key-ttl": micro(class.KeyTTL),
			"group": "all", "credit": class.Worth, "late-worth": scenario.LateWorth,
		})
	}
	settings := config["settings"].(map[string]any)
	settings["balancers"], settings["services"] = s.Scenario.Fleet.Forwarders, services
	settings["limits"].(map[string]any)["most-held"] = s.Scenario.Fleet.MostHeld
	rules := settings["rules"].(map[string]any)
	rules["cold-from"], rules["warm-within"] = s.Scenario.Rules.ColdFrom, micro(s.Scenario.Rules.WarmWithin)
	rules["overload-factor"], rules["tip-after"] = s.Scenario.Rules.OverloadFactor, micro(s.Scenario.Rules.OverloadWindow)
}

// handleCall answers a call to a destination according to the destination's state.
func (s *run) handleCall(dest *destination, c *lab.Call) bool {
	if c.ReadAll(0) != nil {
		return false
	}
	dest.mu.Lock()
	result := dest.model.HandleCall(s.now())
	dest.mu.Unlock()
	s.mu.Lock()
	s.result.Calls++
	if result.Cold {
		s.result.ColdCalls++
	}
	if result.Early {
		s.result.EarlyColdCalls++
	}
	if result.Outcome == mb.Refused {
		s.result.OverLimit++
	}
	if result.Overloaded {
		s.result.Overloads++
	}
	s.mu.Unlock()
	switch {
	case result.Latency < 0: // silent: waits until the forwarder closes the connection
		_, _ = c.Conn.Read(make([]byte, 1))
		return false
	case result.Overloaded:
		s.disconnect(dest, s.Scenario.Rules.OverloadDowntime.D())
		return false
	case result.Outcome == mb.ConnectFailed:
		return false
	case result.Outcome == mb.Refused:
		fields := ""
		if result.RetryAfter > 0 {
			fields = fmt.Sprintf("X-RateLimit-Wait-Ms: %d\r\n", result.RetryAfter.Milliseconds())
		}
		return c.Answer(429, fields) == nil
	}
	time.Sleep(result.Latency) // the service time
	if result.Outcome == mb.Reset {
		return false
	}
	if c.Answer(200, "") != nil {
		return false
	}
	s.recordDelivery(c.ID)
	return true
}

// disconnect closes a destination's connections and refuses new ones for a time.
func (s *run) disconnect(dest *destination, duration time.Duration) {
	for _, e := range dest.endpoints {
		e.Down()
	}
	s.schedule(s.ctx, s.now()+duration, func() {
		for _, e := range dest.endpoints {
			_ = e.Up() // fails if the endpoint is up already, after two overlapping outages
		}
	})
}

// recordDelivery counts a delivery by the message ID that the client gave.
func (s *run) recordDelivery(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	req := s.waiting[id]
	if req == nil || req.done {
		return
	}
	req.done = true
	delete(s.waiting, id)
	close(req.ended)
	now := s.now()
	s.result.RecordDelivery(req.class, now-req.createdAt, s.killedAt >= 0 && now < s.killedAt+simulation.AfterKillWindow)
}

// handleReport passes a delivery report to the client that waits for it.
func (s *run) handleReport(report lab.Notice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if req := s.waiting[report.Message]; req != nil {
		delete(s.waiting, report.Message)
		req.ended <- report
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
		req := &request{
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
			s.submitUntilDone(ctx, req)
		}()
	}
}

// submitUntilDone submits a request until it is delivered or abandoned, its retries are used up, or its deadline
// passes.
func (s *run) submitUntilDone(ctx context.Context, req *request) {
	class := s.result.Classes[req.class.Name]
	count := func(counter *int) { s.mu.Lock(); *counter++; s.mu.Unlock() }
	for attempt := 0; ; attempt++ {
		left := req.deadline - s.now()
		if left <= 0 {
			count(&class.Lost)
			return
		}
		id := fmt.Sprintf("%d-%d", req.number, attempt)
		s.mu.Lock()
		req.ended = make(chan lab.Notice, 2)
		s.waiting[id] = req
		s.mu.Unlock()
		retryAfter, accepted := s.submit(req, id, left)
		if accepted {
			select {
			case report, open := <-req.ended:
				switch {
				case !open: // closed: delivered
					return
				case report.Outcome != "handed_back":
					count(&class.Failed)
					return
				}
				retryAfter = time.Duration(report.Retry) * time.Millisecond
			case <-ctx.Done():
				count(&class.Lost)
				return
			}
		}
		s.mu.Lock()
		delete(s.waiting, id)
		s.mu.Unlock()
		if retryAfter >= 0 {
			if req.retriesLeft--; req.retriesLeft < 0 {
				count(&class.Refused)
				return
			}
		}
		if !lab.Sleep(ctx, max(clientRetryDelay/10, retryAfter)) {
			count(&class.Lost)
			return
		}
	}
}

// submit submits a message. If it is accepted, accepted is true; otherwise the client tries again after retryAfter. A
// negative retryAfter means that there was no answer, and that the attempt does not count as a retry.
func (s *run) submit(req *request, id string, left time.Duration) (retryAfter time.Duration, accepted bool) {
	c, err := lab.Dial(req.forwarder.process.Address())
	if err != nil { // the forwarder is down
		time.Sleep(clientRetryDelay)
		return -1, false
	}
	defer c.Close()
	handover := lab.Handover{
		ID: id, Class: req.class.Name, Destination: req.destination.model.ID(), Left: left, Body: lab.Content{Seed: uint64(req.number), Size: 200},
	}
	if req.class.Effect == "keyed" {
		handover.Key = strconv.Itoa(req.number)
	}
	answer := c.Hand(handover, nil)
	s.check.Handed(handover, answer)
	switch {
	case answer.Status == 202:
		return 0, true
	case answer.Status == 503:
		sec, _ := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
		return time.Duration(sec * float64(time.Second)), false
	case answer.Status == 0:
		return -1, false
	}
	return 0, false
}

// injectFault starts a fault now and schedules its end.
func (s *run) injectFault(ctx context.Context, f scenario.Fault, rng *rand.Rand) {
	pickShare := func(n int) []int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return rng.Perm(n)[:min(n, max(1, int(f.Share*float64(n)+0.5)))]
	}
	s.Log("%v: %s", s.now().Round(time.Millisecond), f.Kind)
	switch f.Kind {
	case scenario.Outage, scenario.Silence:
		for _, i := range pickShare(len(s.destinations)) {
			dest := s.destinations[i]
			dest.mu.Lock()
			dest.model.StartOutage(s.now(), s.now()+f.Duration.D(), f.Kind == scenario.Silence)
			dest.mu.Unlock()
			if f.Kind == scenario.Silence {
				continue
			}
			s.disconnect(dest, f.Duration.D())
		}
	case scenario.Slow:
		for _, i := range pickShare(len(s.destinations)) {
			dest := s.destinations[i]
			scale := func(factor float64) {
				dest.mu.Lock()
				dest.model.ScaleServiceTime(factor)
				dest.mu.Unlock()
			}
			scale(f.Factor)
			s.schedule(ctx, s.now()+f.Duration.D(), func() { scale(1 / f.Factor) })
		}
	case scenario.Kill:
		for _, i := range pickShare(len(s.forwarders)) {
			fwd := s.forwarders[i]
			fwd.mu.Lock()
			_ = fwd.process.End(syscall.SIGKILL)
			fwd.up = false
			fwd.mu.Unlock()
			s.mu.Lock()
			if s.result.Kills++; s.killedAt < 0 {
				s.killedAt = s.now()
			}
			downtime := f.MinDowntime.D() + time.Duration(rng.Float64()*float64(f.MaxDowntime-f.MinDowntime))
			s.mu.Unlock()
			s.schedule(ctx, s.now()+downtime, func() {
				fwd.mu.Lock()
				defer fwd.mu.Unlock()
				if err := fwd.process.Start(); err != nil {
					s.Log("start: %v", err)
					return
				}
				fwd.up = true
			})
		}
	}
}

// finish stops the forwarders gracefully and checks the rules against what clients, agent and endpoints recorded.
func (s *run) finish() error {
	var errs []error
	for _, fwd := range s.forwarders {
		if fwd.up {
			errs = append(errs, fwd.process.End(syscall.SIGTERM))
			fwd.up = false
		} else {
			errs = append(errs, errors.New("live: a forwarder did not restart"))
		}
	}
	var arrivals [][]lab.Arrival
	for _, dest := range s.destinations {
		for _, e := range dest.endpoints {
			e.Close()
			arrivals = append(arrivals, e.Arrivals())
		}
	}
	s.check.Saw(s.agent.Notices(), arrivals...)
	s.result.Violations = append(s.result.Violations, s.check.Broken()...)
	return errors.Join(errs...)
}

func (s *run) close() {
	for _, fwd := range s.forwarders {
		if fwd.up {
			fwd.process.Kill()
		}
	}
	for _, dest := range s.destinations {
		for _, e := range dest.endpoints {
			e.Close()
		}
	}
	if s.agent != nil {
		s.agent.Close()
	}
}
