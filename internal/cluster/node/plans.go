package node

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"maps"
	"os"
	"slices"
	"sync"
	"time"

	mb "mulleinbeam"
	"mulleinbeam/internal/cluster/controlplane"
	"mulleinbeam/internal/cluster/plan"
	"mulleinbeam/internal/routing"
)

// Where traffic goes: package plan with a clock, links and the router. Each member reports what it saw in a window to one of its zone,
// who sends a summary to whoever leads the council; that one plans, the council decides, and everybody hears it with its lease.

const (
	steerEvery  = 100 * time.Millisecond
	saveUp      = 750 * time.Millisecond // of what a member may send to a place it may have saved up, and as much it may owe
	historyMost = 256
	planMost    = 4 << 20 // bytes of one
	recordMost  = 64 << 20
)

// LocalityConfig is what a member is told of places.
type LocalityConfig struct {
	Topology   plan.Topology
	Planner    plan.Config
	Window     time.Duration
	RecordFile string             // a file of what the planner was told, where this leads; "" is none
	MaxMembers int                // forwarders that there may be at the most
	Worth      map[string]float64 // of a message, by class
}

// steering stands before the router, and gathers what it says.
type steering struct {
	n   *Node
	cfg LocalityConfig

	mu       sync.Mutex
	follower *plan.Follower
	shedder  *plan.Shedder
	report   plan.Report
	runs     plan.LossStreaks
	sites    map[int64]map[string]float64
	targets  map[int64]map[string]plan.Target
	at       time.Duration // when targets were last made
	saved    map[plan.Path]float64
	history  []Decision
	others   map[string]plan.Report  // of this zone's members, by observer: where this is who gathers them
	zones    map[string]plan.Summary // and of zones, where this leads
	stepped  time.Duration
	planner  *plan.Planner
	from     uint64 // the plan that the planner went on from, or has had decided
	record   *plan.Recorder
	file     *os.File

	delaysMu sync.Mutex // never held for longer than a look, unlike mu
	delays   schedulingDelays
}

// Decision is a plan's moves as this member heard of them.
type Decision struct {
	Plan  uint64      `json:"plan"`
	Heard time.Time   `json:"heard"`
	Moves []plan.Move `json:"moves"`
}

func newSteering(n *Node, cfg LocalityConfig) *steering {
	s := &steering{
		n: n, cfg: cfg, follower: plan.NewFollower(n.cfg.Zone), shedder: plan.NewShedder(cfg.Worth), targets: map[int64]map[string]plan.Target{}, saved: map[plan.Path]float64{},
		others: map[string]plan.Report{}, zones: map[string]plan.Summary{}, runs: plan.LossStreaks{},
	}
	s.fresh()
	return s
}

// fresh begins a window; s.mu is held, or nobody else knows of s.
func (s *steering) fresh() {
	s.report = plan.Report{Place: s.n.cfg.Zone, Span: s.cfg.Window, Demand: map[int64]float64{}, Paths: map[plan.Path]plan.Tally{}}
}

// Admit counts what is asked for, and turns away what the plan has no room for.
func (s *steering) Admit(destination int64, class string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Demand[destination]++
	return s.shedder.Admit(destination, class, s.follower.AdmittedShare(s.n.now(), destination))
}

// CallEnded books how a call ended.
func (s *steering) CallEnded(destination int64, zone string, out mb.Outcome, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := plan.Path{Destination: destination, To: zone}
	tally := s.report.Paths[at]
	now := s.n.now()
	s.delaysMu.Lock()
	delayed := s.delays.within(now-took, now)
	s.delaysMu.Unlock()
	bookCall(&tally, out, took, delayed)
	s.report.Paths[at] = tally
}

// bookCall books a call that took so long, for some of which this process had no processor.
func bookCall(tally *plan.Tally, out mb.Outcome, took, delayed time.Duration) {
	switch out {
	case mb.OK:
		tally.OK++
		tally.RecordLatency(took - delayed)
	case mb.Failed:
		tally.Failed++
		tally.RecordLatency(took - delayed)
	case mb.Refused:
		tally.Refused++
	case mb.ConnectFailed:
		tally.NoConnect++
	case mb.Reset:
		tally.Reset++
	case mb.TimedOut:
		if delayed <= took/2 { // else it was hardly waited for, and says nothing
			tally.Late++
		}
	}
}

// LimitReported books a limit that an answer carried.
func (s *steering) LimitReported(destination int64, zone string, rate float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.report.Limits == nil {
		s.report.Limits = map[plan.Path]float64{}
	}
	s.report.Limits[plan.Path{Destination: destination, To: zone}] = rate
}

// look makes anew what is allowed, and lets what may be sent come together; s.mu is held.
func (s *steering) look(now time.Duration) {
	span := min(now-s.at, saveUp).Seconds()
	s.at = now
	fleet := plan.FallbackConfig{MaxForwarders: s.cfg.MaxMembers, Reserve: s.cfg.Planner.Reserve}
	maps.DeleteFunc(s.targets, func(d int64, _ map[string]plan.Target) bool { return s.sites[d] == nil })
	maps.DeleteFunc(s.saved, func(at plan.Path, _ float64) bool { return !s.lists(at) })
	for d, capacity := range s.sites {
		zones := slices.Collect(maps.Keys(capacity))
		allowed := map[string]plan.Target{}
		for _, t := range s.follower.Targets(now, d, capacity, s.cfg.Topology.SortByCost(s.n.cfg.Zone, zones), fleet) {
			allowed[t.Zone] = t
			at := plan.Path{Destination: d, To: t.Zone}
			s.saved[at] = min(max(1, t.Rate*saveUp.Seconds()), s.saved[at]+t.Rate*span)
		}
		s.targets[d] = allowed
	}
}

// lists says whether a destination has endpoints in a place; s.mu is held.
func (s *steering) lists(p plan.Path) bool { _, listed := s.sites[p.Destination][p.To]; return listed }

// Access says how a call may go now. What the list does not place, as far as is known here yet, it does not bar.
func (s *steering) Access(destination int64, zone string) routing.Access {
	s.mu.Lock()
	defer s.mu.Unlock()
	path := plan.Path{Destination: destination, To: zone}
	if !s.lists(path) {
		return routing.Free
	}
	target, some := s.targets[destination][zone]
	switch {
	case !some || s.saved[path] < 1:
		return routing.Barred
	case target.Trial:
		return routing.Trial
	}
	return routing.Free
}

// Allows says whether calls may go to a zone at all, by what is in force now.
func (s *steering) Allows(destination int64, zone string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := s.n.now(); now-s.at > 3*steerEvery { // this process was stopped: what it went by may be over
		s.look(now)
	}
	_, some := s.targets[destination][zone]
	return some || !s.lists(plan.Path{Destination: destination, To: zone})
}

// ReserveCall books a call.
func (s *steering) ReserveCall(destination int64, zone string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.lists(plan.Path{Destination: destination, To: zone}) {
		return true
	}
	t, some := s.targets[destination][zone]
	at := plan.Path{Destination: destination, To: zone}
	least := 1.0
	if !t.Trial { // the module decides on several at once: none of them has to be taken back, and what follows waits
		least = min(1, 1-t.Rate*saveUp.Seconds())
	}
	if !some || s.saved[at] < least {
		return false
	}
	s.saved[at]--
	return true
}

// watchDelays notes until ctx ends when this process has no processor.
func (s *steering) watchDelays(ctx context.Context) {
	tick := time.NewTicker(delayTick)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			s.delaysMu.Lock()
			s.delays.look(s.n.now())
			s.delaysMu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// run steers until ctx ends.
func (s *steering) run(ctx context.Context) {
	beat := time.NewTicker(steerEvery)
	defer beat.Stop()
	defer func() {
		if s.file != nil {
			_ = s.file.Close()
		}
	}()
	window := s.n.now()
	for {
		select {
		case <-beat.C:
		case <-ctx.Done():
			return
		}
		now := s.n.now()
		sites := s.n.router.ZoneCapacities()
		s.mu.Lock()
		s.sites = sites
		s.look(now)
		s.mu.Unlock()
		s.n.router.RefreshAccess()
		if now-window >= s.cfg.Window {
			window = now
			s.endWindow(ctx)
		}
	}
}

// heard takes the plan that is decided, as an asking sent at a moment has found it.
func (s *steering) heard(sent time.Duration, decided controlplane.Plan) {
	if decided.Number == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.follower.LatestVersion() == decided.Number {
		s.follower.Renew(sent)
		return
	}
	p, err := readPlan(decided.Content)
	if err != nil {
		s.n.cfg.Logger.Warn().Str("part", "plan").Uint64("plan", decided.Number).Err(err).Msg("not understood: the one before holds until it runs out")
		return
	}
	if s.follower.Apply(sent, p); s.follower.LatestVersion() != p.Version || len(p.Moves) == 0 {
		return
	}
	if s.history = append(s.history, Decision{p.Version, time.Now(), p.Moves}); len(s.history) > historyMost {
		s.history = slices.Clone(s.history[1:])
	}
	for _, m := range p.Moves {
		s.n.cfg.Logger.Info().Str("part", "plan").Uint64("plan", p.Version).Int64("destination", m.Destination).Str("place", m.Place).Str("from", m.From).
			Str("kind", m.Kind).Str("why", m.Why).Msg("traffic moves")
	}
}

// begins says that a life has begun: plans that do not count it are not for it.
func (s *steering) begins(since uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.follower = plan.NewFollower(s.n.cfg.Zone)
	s.follower.MinState = since
}

func readPlan(b []byte) (*plan.Plan, error) {
	var p plan.Plan
	if err := gob.NewDecoder(bytes.NewReader(b)).Decode(&p); err != nil {
		return nil, fmt.Errorf("node: plan: %w", err)
	}
	return &p, nil
}

// endWindow sends what was seen up, and plans where this leads.
func (s *steering) endWindow(ctx context.Context) {
	mine, state := s.n.latest()
	if mine.Number == 0 {
		return
	}
	now := s.n.now()
	leads := s.n.server.Handle(controlplane.Request{}).Leader == s.n.cfg.Name
	s.mu.Lock()
	r := s.report
	maps.DeleteFunc(r.Paths, func(p plan.Path, _ plan.Tally) bool { return !s.lists(p) }) // of a list that is over
	maps.DeleteFunc(s.runs, func(p plan.Path, _ plan.LossStreak) bool { return !s.lists(p) })
	r.Lost = s.runs.EndWindow(r.Paths)
	s.fresh()
	s.shedder.EndWindow()
	r.Observer, r.Obeys = mine.String(), s.follower.ActiveVersion(now)
	reports := s.others // those of this window: whoever gathers, or leads, later does not begin with old ones
	s.others = map[string]plan.Report{}
	if !leads {
		s.planner = nil
		clear(s.zones)
	}
	s.mu.Unlock()
	gatherer := "" // the first of this zone's, by name
	for _, name := range state.Names() {
		if m := state.Members[name]; m.Alive && m.Zone == s.n.cfg.Zone {
			gatherer = name
			break
		}
	}
	if gatherer != s.n.cfg.Name {
		if m := state.Members[gatherer]; m != nil {
			s.send(ctx, m.Address, "Plan.Report", r)
		}
	} else {
		reports[r.Observer] = r
		sum := plan.Merge(s.n.cfg.Zone, slices.Collect(maps.Values(reports)))
		if leads {
			s.mu.Lock()
			s.zones[sum.Place] = sum
			s.mu.Unlock()
		} else if leader := state.Members[s.n.client.Leader()]; leader != nil {
			s.send(ctx, leader.Address, "Plan.Summary", sum)
		}
	}
	if leads {
		s.step(ctx, state)
	}
}

// send tells somebody, without waiting for it.
func (s *steering) send(ctx context.Context, address, method string, what any) {
	s.n.tasks.Go(func() error {
		call, cancel := context.WithTimeout(ctx, s.cfg.Window)
		defer cancel()
		_ = s.n.peers.At(address).Call(call, method, what, new(bool)) // what is not heard is missed in its window
		return nil
	})
}

// step plans and has it decided.
func (s *steering) step(ctx context.Context, state *controlplane.State) {
	in := plan.Input{Zones: map[string]plan.Summary{}, Members: map[string]int{}, State: state.Version, Frozen: state.Plan.Frozen, Evacuate: map[string]bool{}}
	for _, place := range state.Plan.Evacuating {
		in.Evacuate[place] = true
	}
	for _, name := range state.Names() {
		if m := state.Members[name]; m.Alive {
			in.Members[m.Zone]++
		}
	}
	now := s.n.now()
	s.mu.Lock()
	in.Elapsed, s.stepped = min(now-s.stepped, 2*s.cfg.Window), now
	in.Capacity = s.sites
	in.Zones, s.zones = s.zones, map[string]plan.Summary{}
	began := s.planner == nil || s.from != state.Plan.Number
	var from *plan.Plan
	if began {
		if state.Plan.Number > 0 {
			var err error
			if from, err = readPlan(state.Plan.Content); err != nil {
				from = &plan.Plan{Version: state.Plan.Number}
			}
		}
		s.planner, s.from = plan.NewPlanner(s.cfg.Planner, s.cfg.Topology, from), state.Plan.Number
		in.Elapsed = s.cfg.Window
	}
	next, changed := s.planner.Step(in)
	s.mu.Unlock()
	s.note(plan.RecordedWindow{Input: in, Places: s.cfg.Topology, Config: s.cfg.Planner, Begin: from, Began: began}, next, changed)
	if !changed {
		return
	}
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(next); err != nil || b.Len() > planMost {
		s.n.cfg.Logger.Error().Str("part", "plan").Int("bytes", b.Len()).Err(err).Msg("a plan that can't be proposed")
		return
	}
	r, err := s.n.decide(ctx, controlplane.Command{Kind: controlplane.SetPlan, From: state.Plan.Number, Number: next.Version, Content: b.Bytes()})
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || r.Refused != "" { // it may be decided yet: from what is, with the next window
		s.planner = nil
	} else {
		s.from = next.Version
	}
}

// note writes a window to the record, if there is one.
func (s *steering) note(w plan.RecordedWindow, next *plan.Plan, changed bool) {
	if s.cfg.RecordFile == "" {
		return
	}
	if changed {
		w.Plan = next
	}
	if s.record == nil {
		f, err := os.Create(s.cfg.RecordFile)
		if err != nil {
			s.n.cfg.Logger.Warn().Str("part", "plan").Err(err).Msg("no record is kept")
			s.cfg.RecordFile = ""
			return
		}
		s.file, s.record = f, plan.NewRecorder(f, recordMost)
	}
	if err := s.record.Write(w); err != nil {
		s.n.cfg.Logger.Warn().Str("part", "plan").Err(err).Msg("the record ends here")
		s.cfg.RecordFile = ""
	}
}

// planRPC is what members tell each other of traffic.
type planRPC struct{ n *Node }

// Report takes what a member of this zone has seen.
func (p planRPC) Report(r plan.Report, _ *bool) error {
	if s := p.n.steering; s != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.others[r.Observer] = r
	}
	return nil
}

// Summary takes what a zone has seen.
func (p planRPC) Summary(z plan.Summary, _ *bool) error {
	if s := p.n.steering; s != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.zones[z.Place] = z
	}
	return nil
}

// PlanStatus is what a member knows of where traffic goes.
type PlanStatus struct {
	Name       string                        `json:"name"`
	Zone       string                        `json:"zone"`
	Obeys      uint64                        `json:"obeys"` // 0: the rule without a plan
	Plan       *plan.Plan                    `json:"plan"`  // the one that is decided, as far as this member knows
	Evacuating []string                      `json:"evacuating"`
	Frozen     bool                          `json:"frozen"`
	Ordered    uint64                        `json:"ordered"`
	Sites      map[int64]map[string]float64  `json:"sites"` // calls a second, by the list
	Targets    map[int64]map[string]planGoal `json:"targets"`
	History    []Decision                    `json:"history"`
}

// planGoal is a target as JSON can say it.
type planGoal struct {
	Rate  float64 `json:"per_second"` // of this member; 0 with Free
	Free  bool    `json:"free"`       // no bound but the partner's
	Trial bool    `json:"trial"`
}

// Plan tells it.
func (s statusRPC) Plan(_ bool, out *PlanStatus) error {
	st := s.n.steering
	if st == nil {
		return errNoPlaces
	}
	_, state := s.n.latest()
	st.mu.Lock()
	defer st.mu.Unlock()
	*out = PlanStatus{
		Name: s.n.cfg.Name, Zone: s.n.cfg.Zone, Obeys: st.follower.ActiveVersion(s.n.now()), Evacuating: state.Plan.Evacuating, Frozen: state.Plan.Frozen,
		Ordered: state.Plan.Ordered, Sites: st.sites, Targets: map[int64]map[string]planGoal{}, History: slices.Clone(st.history),
	}
	if state.Plan.Number > 0 {
		p, err := readPlan(state.Plan.Content)
		if err != nil {
			return err
		}
		out.Plan = p
	}
	for d, by := range st.targets {
		out.Targets[d] = map[string]planGoal{}
		for z, t := range by {
			g := planGoal{Rate: t.Rate, Trial: t.Trial}
			if t.Rate > 1e12 {
				g.Rate, g.Free = 0, true
			}
			out.Targets[d][z] = g
		}
	}
	return nil
}
