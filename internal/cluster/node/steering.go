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

// Steers traffic between zones: connects package plan with a clock, links and the router. Each member reports what it
// observed in a window to one member of its zone, which sends a summary to the leader of the control plane. The leader
// makes a plan and proposes it; members receive the committed plan with their lease renewals.

const (
	steeringInterval = 100 * time.Millisecond
	burstTime        = 750 * time.Millisecond // a zone's token bucket holds at most this time's worth of calls, and may owe as many
	maxHistory       = 256                    // decisions
	maxPlanBytes     = 4 << 20                // of an encoded plan
	maxRecordBytes   = 64 << 20               // of the planner's record file
)

// LocalityConfig configures locality-aware steering.
type LocalityConfig struct {
	Topology   plan.Topology
	Planner    plan.Config
	Window     time.Duration
	RecordFile string             // file to which the leader's planner records its input; "" records nothing
	MaxMembers int                // largest number of forwarders in the fleet
	Worth      map[string]float64 // of a message, by class; decides what is shed first
}

// steering implements routing.Steering: it controls by the plan where calls may go, and gathers reports of demand and
// outcomes.
type steering struct {
	n   *Node
	cfg LocalityConfig

	mu          sync.Mutex
	follower    *plan.Follower
	shedder     *plan.Shedder
	report      plan.Report
	streaks     plan.LossStreaks
	capacities  map[int64]map[string]float64 // calls per second by destination and zone
	targets     map[int64]map[string]plan.Target
	targetsAt   time.Duration         // when targets were last refreshed
	tokens      map[plan.Path]float64 // calls that may be sent now
	history     []Decision
	reports     map[string]plan.Report  // of this zone's members, by observer, if this member gathers them
	summaries   map[string]plan.Summary // of zones, if this member leads the control plane
	steppedAt   time.Duration           // when the planner last ran
	planner     *plan.Planner
	plannedFrom uint64 // number of the plan that the planner started from or had committed last
	recorder    *plan.Recorder
	recordFile  *os.File

	delaysMu sync.Mutex // separate from mu, so that a sample never waits for it
	delays   schedulingDelays
}

// Decision holds the moves of a plan and the time when this member received it.
type Decision struct {
	Plan  uint64      `json:"plan"`
	Heard time.Time   `json:"heard"`
	Moves []plan.Move `json:"moves"`
}

func newSteering(n *Node, cfg LocalityConfig) *steering {
	s := &steering{
		n: n, cfg: cfg, follower: plan.NewFollower(n.cfg.Zone), shedder: plan.NewShedder(cfg.Worth), targets: map[int64]map[string]plan.Target{}, tokens: map[plan.Path]float64{},
		reports: map[string]plan.Report{}, summaries: map[string]plan.Summary{}, streaks: plan.LossStreaks{},
	}
	s.startWindow()
	return s
}

// startWindow starts a report for a new window. s.mu is held, or s is not shared yet.
func (s *steering) startWindow() {
	s.report = plan.Report{Place: s.n.cfg.Zone, Span: s.cfg.Window, Demand: map[int64]float64{}, Paths: map[plan.Path]plan.Tally{}}
}

// Admit counts a submitted message and reports whether the plan has room for it.
func (s *steering) Admit(destination int64, class string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Demand[destination]++
	return s.shedder.Admit(destination, class, s.follower.AdmittedShare(s.n.now(), destination))
}

// CallEnded records the outcome of a call.
func (s *steering) CallEnded(destination int64, zone string, out mb.Outcome, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := plan.Path{Destination: destination, To: zone}
	tally := s.report.Paths[at]
	now := s.n.now()
	s.delaysMu.Lock()
	delayed := s.delays.within(now-took, now)
	s.delaysMu.Unlock()
	recordCall(&tally, out, took, delayed)
	s.report.Paths[at] = tally
}

// recordCall records a call that took so long; for the delayed part of that time, this process was not scheduled.
func recordCall(tally *plan.Tally, out mb.Outcome, took, delayed time.Duration) {
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
		if delayed <= took/2 { // otherwise the timeout says nothing about the destination
			tally.Late++
		}
	}
}

// LimitReported records a rate limit that an answer reported.
func (s *steering) LimitReported(destination int64, zone string, rate float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.report.Limits == nil {
		s.report.Limits = map[plan.Path]float64{}
	}
	s.report.Limits[plan.Path{Destination: destination, To: zone}] = rate
}

// refreshTargets computes where calls may go now and refills the token buckets. s.mu is held.
func (s *steering) refreshTargets(now time.Duration) {
	span := min(now-s.targetsAt, burstTime).Seconds()
	s.targetsAt = now
	fallback := plan.FallbackConfig{MaxForwarders: s.cfg.MaxMembers, Reserve: s.cfg.Planner.Reserve}
	maps.DeleteFunc(s.targets, func(d int64, _ map[string]plan.Target) bool { return s.capacities[d] == nil })
	maps.DeleteFunc(s.tokens, func(at plan.Path, _ float64) bool { return !s.listed(at) })
	for d, capacity := range s.capacities {
		zones := slices.Collect(maps.Keys(capacity))
		allowed := map[string]plan.Target{}
		for _, t := range s.follower.Targets(now, d, capacity, s.cfg.Topology.SortByCost(s.n.cfg.Zone, zones), fallback) {
			allowed[t.Zone] = t
			at := plan.Path{Destination: d, To: t.Zone}
			s.tokens[at] = min(max(1, t.Rate*burstTime.Seconds()), s.tokens[at]+t.Rate*span)
		}
		s.targets[d] = allowed
	}
}

// listed reports whether a destination has endpoints in a zone. s.mu is held.
func (s *steering) listed(p plan.Path) bool {
	_, listed := s.capacities[p.Destination][p.To]
	return listed
}

// Access returns whether a call to a zone may start now. Calls to zones without listed endpoints, as far as is known
// here, are not restricted.
func (s *steering) Access(destination int64, zone string) routing.Access {
	s.mu.Lock()
	defer s.mu.Unlock()
	path := plan.Path{Destination: destination, To: zone}
	if !s.listed(path) {
		return routing.Free
	}
	target, allowed := s.targets[destination][zone]
	switch {
	case !allowed || s.tokens[path] < 1:
		return routing.Barred
	case target.Trial:
		return routing.Trial
	}
	return routing.Free
}

// Allows reports whether the present targets allow any calls to a zone.
func (s *steering) Allows(destination int64, zone string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := s.n.now(); now-s.targetsAt > 3*steeringInterval { // this process was stopped, and its plan may have expired
		s.refreshTargets(now)
	}
	_, allowed := s.targets[destination][zone]
	return allowed || !s.listed(plan.Path{Destination: destination, To: zone})
}

// ReserveCall reserves a call to a zone and reports whether it may start.
func (s *steering) ReserveCall(destination int64, zone string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.listed(plan.Path{Destination: destination, To: zone}) {
		return true
	}
	t, allowed := s.targets[destination][zone]
	at := plan.Path{Destination: destination, To: zone}
	minTokens := 1.0
	if !t.Trial { // the module decides on several calls at once: all of them may start, and later calls wait longer
		minTokens = min(1, 1-t.Rate*burstTime.Seconds())
	}
	if !allowed || s.tokens[at] < minTokens {
		return false
	}
	s.tokens[at]--
	return true
}

// watchDelays records the times when this process is not scheduled, until ctx ends.
func (s *steering) watchDelays(ctx context.Context) {
	tick := time.NewTicker(delayTick)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			s.delaysMu.Lock()
			s.delays.sample(s.n.now())
			s.delaysMu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// run refreshes targets and ends windows until ctx ends.
func (s *steering) run(ctx context.Context) {
	ticker := time.NewTicker(steeringInterval)
	defer ticker.Stop()
	defer func() {
		if s.recordFile != nil {
			_ = s.recordFile.Close()
		}
	}()
	window := s.n.now()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		now := s.n.now()
		capacities := s.n.router.ZoneCapacities()
		s.mu.Lock()
		s.capacities = capacities
		s.refreshTargets(now)
		s.mu.Unlock()
		s.n.router.RefreshAccess()
		if now-window >= s.cfg.Window {
			window = now
			s.endWindow(ctx)
		}
	}
}

// applyPlan applies the committed plan that was found by a lease renewal sent at the given time.
func (s *steering) applyPlan(sent time.Duration, committed controlplane.Plan) {
	if committed.Number == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.follower.LatestVersion() == committed.Number {
		s.follower.Renew(sent)
		return
	}
	p, err := decodePlan(committed.Content)
	if err != nil {
		s.n.cfg.Logger.Warn().Str("part", "plan").Uint64("plan", committed.Number).Err(err).Msg("decoding the plan failed; the previous plan applies until it expires")
		return
	}
	if s.follower.Apply(sent, p); s.follower.LatestVersion() != p.Version || len(p.Moves) == 0 {
		return
	}
	if s.history = append(s.history, Decision{p.Version, time.Now(), p.Moves}); len(s.history) > maxHistory {
		s.history = slices.Clone(s.history[1:])
	}
	for _, m := range p.Moves {
		s.n.cfg.Logger.Info().Str("part", "plan").Uint64("plan", p.Version).Int64("destination", m.Destination).Str("place", m.Place).Str("from", m.From).
			Str("kind", m.Kind).Str("why", m.Why).Msg("traffic moves")
	}
}

// startIncarnation discards the plan when an incarnation starts: plans for an older state of the fleet do not include
// it.
func (s *steering) startIncarnation(since uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.follower = plan.NewFollower(s.n.cfg.Zone)
	s.follower.MinState = since
}

func decodePlan(b []byte) (*plan.Plan, error) {
	var p plan.Plan
	if err := gob.NewDecoder(bytes.NewReader(b)).Decode(&p); err != nil {
		return nil, fmt.Errorf("node: plan: %w", err)
	}
	return &p, nil
}

// endWindow sends the window's report on, and makes a plan if this member leads the control plane.
func (s *steering) endWindow(ctx context.Context) {
	current, state := s.n.currentState()
	if current.Number == 0 {
		return
	}
	now := s.n.now()
	leads := s.n.server.Handle(controlplane.Request{}).Leader == s.n.cfg.Name
	s.mu.Lock()
	r := s.report
	maps.DeleteFunc(r.Paths, func(p plan.Path, _ plan.Tally) bool { return !s.listed(p) }) // of endpoints that are no longer listed
	maps.DeleteFunc(s.streaks, func(p plan.Path, _ plan.LossStreak) bool { return !s.listed(p) })
	r.Lost = s.streaks.EndWindow(r.Paths)
	s.startWindow()
	s.shedder.EndWindow()
	r.Observer, r.Obeys = current.String(), s.follower.ActiveVersion(now)
	reports := s.reports // cleared each window, so that a later gatherer or leader does not start with old reports
	s.reports = map[string]plan.Report{}
	if !leads {
		s.planner = nil
		clear(s.summaries)
	}
	s.mu.Unlock()
	gatherer := "" // the first alive member of this zone by name
	for _, name := range state.Names() {
		if m := state.Members[name]; m.Alive && m.Zone == s.n.cfg.Zone {
			gatherer = name
			break
		}
	}
	if gatherer != s.n.cfg.Name {
		if m := state.Members[gatherer]; m != nil {
			s.sendAsync(ctx, m.Address, "Plan.Report", r)
		}
	} else {
		reports[r.Observer] = r
		sum := plan.Merge(s.n.cfg.Zone, slices.Collect(maps.Values(reports)))
		if leads {
			s.mu.Lock()
			s.summaries[sum.Place] = sum
			s.mu.Unlock()
		} else if leader := state.Members[s.n.client.Leader()]; leader != nil {
			s.sendAsync(ctx, leader.Address, "Plan.Summary", sum)
		}
	}
	if leads {
		s.makePlan(ctx, state)
	}
}

// sendAsync sends a report or summary to a member without waiting for the call.
func (s *steering) sendAsync(ctx context.Context, address, method string, payload any) {
	s.n.tasks.Go(func() error {
		call, cancel := context.WithTimeout(ctx, s.cfg.Window)
		defer cancel()
		_ = s.n.peers.At(address).Call(call, method, payload, new(bool)) // a lost report is only missing from its window
		return nil
	})
}

// makePlan runs the planner and proposes the plan if it changed.
func (s *steering) makePlan(ctx context.Context, state *controlplane.State) {
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
	in.Elapsed, s.steppedAt = min(now-s.steppedAt, 2*s.cfg.Window), now
	in.Capacity = s.capacities
	in.Zones, s.summaries = s.summaries, map[string]plan.Summary{}
	began := s.planner == nil || s.plannedFrom != state.Plan.Number
	var from *plan.Plan
	if began {
		if state.Plan.Number > 0 {
			var err error
			if from, err = decodePlan(state.Plan.Content); err != nil {
				from = &plan.Plan{Version: state.Plan.Number}
			}
		}
		s.planner, s.plannedFrom = plan.NewPlanner(s.cfg.Planner, s.cfg.Topology, from), state.Plan.Number
		in.Elapsed = s.cfg.Window
	}
	next, changed := s.planner.Step(in)
	s.mu.Unlock()
	s.recordWindow(plan.RecordedWindow{Input: in, Places: s.cfg.Topology, Config: s.cfg.Planner, Begin: from, Began: began}, next, changed)
	if !changed {
		return
	}
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(next); err != nil || b.Len() > maxPlanBytes {
		s.n.cfg.Logger.Error().Str("part", "plan").Int("bytes", b.Len()).Err(err).Msg("plan cannot be proposed")
		return
	}
	r, err := s.n.propose(ctx, controlplane.Command{Kind: controlplane.SetPlan, From: state.Plan.Number, Number: next.Version, Content: b.Bytes()})
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || r.Refused != "" { // it may still be committed: the next window starts from the committed plan
		s.planner = nil
	} else {
		s.plannedFrom = next.Version
	}
}

// recordWindow writes a window to the record file, if one is configured.
func (s *steering) recordWindow(w plan.RecordedWindow, next *plan.Plan, changed bool) {
	if s.cfg.RecordFile == "" {
		return
	}
	if changed {
		w.Plan = next
	}
	if s.recorder == nil {
		f, err := os.Create(s.cfg.RecordFile)
		if err != nil {
			s.n.cfg.Logger.Warn().Str("part", "plan").Err(err).Msg("creating the planner's record file failed; nothing is recorded")
			s.cfg.RecordFile = ""
			return
		}
		s.recordFile, s.recorder = f, plan.NewRecorder(f, maxRecordBytes)
	}
	if err := s.recorder.Write(w); err != nil {
		s.n.cfg.Logger.Warn().Str("part", "plan").Err(err).Msg("writing the planner's record failed; recording stops")
		s.cfg.RecordFile = ""
	}
}

// planRPC receives reports and summaries of other members.
type planRPC struct{ n *Node }

// Report receives the report of a member of this zone.
func (p planRPC) Report(r plan.Report, _ *bool) error {
	if s := p.n.steering; s != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.reports[r.Observer] = r
	}
	return nil
}

// Summary receives the summary of a zone.
func (p planRPC) Summary(z plan.Summary, _ *bool) error {
	if s := p.n.steering; s != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.summaries[z.Place] = z
	}
	return nil
}

// PlanStatus is a member's view of the plan and of where it may send calls.
type PlanStatus struct {
	Name       string                          `json:"name"`
	Zone       string                          `json:"zone"`
	Obeys      uint64                          `json:"obeys"` // version of the plan in use; 0 means the fallback rule
	Plan       *plan.Plan                      `json:"plan"`  // the committed plan, as far as this member knows
	Evacuating []string                        `json:"evacuating"`
	Frozen     bool                            `json:"frozen"`
	Ordered    uint64                          `json:"ordered"`
	Sites      map[int64]map[string]float64    `json:"sites"` // capacity in calls per second by destination and zone
	Targets    map[int64]map[string]planTarget `json:"targets"`
	History    []Decision                      `json:"history"`
}

// planTarget is a target in a form that JSON can represent: it has no infinite rate.
type planTarget struct {
	Rate  float64 `json:"per_second"` // calls per second of this member; 0 if Free
	Free  bool    `json:"free"`       // limited by nothing but the destination itself
	Trial bool    `json:"trial"`
}

// Plan returns this member's view of the plan.
func (s statusRPC) Plan(_ bool, out *PlanStatus) error {
	st := s.n.steering
	if st == nil {
		return errNoLocality
	}
	_, state := s.n.currentState()
	st.mu.Lock()
	defer st.mu.Unlock()
	*out = PlanStatus{
		Name: s.n.cfg.Name, Zone: s.n.cfg.Zone, Obeys: st.follower.ActiveVersion(s.n.now()), Evacuating: state.Plan.Evacuating, Frozen: state.Plan.Frozen,
		Ordered: state.Plan.Ordered, Sites: st.capacities, Targets: map[int64]map[string]planTarget{}, History: slices.Clone(st.history),
	}
	if state.Plan.Number > 0 {
		p, err := decodePlan(state.Plan.Content)
		if err != nil {
			return err
		}
		out.Plan = p
	}
	for d, byZone := range st.targets {
		out.Targets[d] = map[string]planTarget{}
		for z, t := range byZone {
			g := planTarget{Rate: t.Rate, Trial: t.Trial}
			if t.Rate > 1e12 {
				g.Rate, g.Free = 0, true
			}
			out.Targets[d][z] = g
		}
	}
	return nil
}
