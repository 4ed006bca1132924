package controlplane

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"mulleinbeam/internal/routing/wal/fsys"
)

// A leader ends a life only when whatever it, or a leader before it, has answered is over.
func TestLeases(t *testing.T) {
	l := Leases{Lease: time.Second, Margin: 200 * time.Millisecond}
	a := Incarnation{"a", 1}
	if l.MayFence(time.Hour, a) || l.Renew(0, a) {
		t.Error("something is given or ended without leading")
	}
	l.Elected(10 * time.Second)
	if l.MayFence(11*time.Second, a) {
		t.Error("ended while the leader before may have given a lease")
	}
	l.Renew(11*time.Second, a)
	for at, want := range map[time.Duration]bool{12*time.Second + 199*time.Millisecond: false, 12*time.Second + 200*time.Millisecond: true} {
		m := l
		m.ending = maps.Clone(l.ending)
		if got := m.MayFence(at, a); got != want {
			t.Errorf("at %v: %v", at, got)
		}
	}
	l.MayFence(13*time.Second, a)
	if l.Renew(13*time.Second, a) {
		t.Error("a lease is given to a life whose end is asked for")
	}
}

func decide(t *testing.T, s *State, want error, c Command) {
	t.Helper()
	if err := s.Apply(s.Version+1, c); !errors.Is(err, want) {
		t.Errorf("%+v: %v, want %v", c, err, want)
	}
}

// Lives only grow, over a lost folder too; what an ended one owed is one life's at a time, whoever dies or returns.
func TestLives(t *testing.T) {
	s := NewState()
	join := func(name string, had uint64, token string, fenced bool) Command {
		return Command{Kind: Join, Life: Incarnation{name, had}, Whole: had > 0, Token: token, Fenced: fenced}
	}
	for _, name := range []string{"a", "b", "c"} {
		decide(t, s, nil, join(name, 0, name+"1", false))
	}
	a1, b1, c1 := Incarnation{"a", 1}, Incarnation{"b", 1}, Incarnation{"c", 1}
	decide(t, s, nil, Command{Kind: SetReplicas, Life: a1, From: s.Members["a"].Changed, Set: []string{"b", "c"}})
	decide(t, s, ErrConflict, Command{Kind: SetReplicas, Life: a1, From: 1, Set: []string{"b"}})
	decide(t, s, ErrNameInUse, join("a", 0, "other", false))
	decide(t, s, nil, Command{Kind: Fence, Life: a1})
	decide(t, s, nil, Command{Kind: AssignTakeover, Life: a1, Taker: b1})
	decide(t, s, ErrConflict, Command{Kind: AssignTakeover, Life: a1, Taker: c1})
	decide(t, s, nil, Command{Kind: Fence, Life: b1}) // before it was done
	decide(t, s, ErrConflict, Command{Kind: CompleteTakeover, Life: a1, Taker: b1})
	decide(t, s, nil, Command{Kind: AssignTakeover, Life: a1, Taker: c1})
	decide(t, s, nil, Command{Kind: CompleteTakeover, Life: a1, Taker: c1})
	if s.CurrentOwner(a1) != c1 || s.CurrentOwner(b1) != (Incarnation{}) {
		t.Errorf("held by %v, %v", s.CurrentOwner(a1), s.CurrentOwner(b1))
	}
	decide(t, s, nil, join("b", 1, "b2", false)) // with its folder: what its first life owed is its second's
	decide(t, s, nil, Command{Kind: CompleteTakeover, Life: b1, Taker: Incarnation{"b", 2}})
	decide(t, s, nil, join("a", 0, "a2", false)) // without
	if m := s.Members["a"]; m.Life != 2 || !m.Lost || s.CurrentOwner(b1) != (Incarnation{"b", 2}) {
		t.Errorf("a is %+v, b's first life is held by %v", m, s.CurrentOwner(b1))
	}
	decide(t, s, ErrConflict, Command{Kind: Remove, Life: c1})
	decide(t, s, nil, join("gone", 0, "g", false))
	gone := Incarnation{"gone", 1}
	decide(t, s, nil, Command{Kind: Fence, Life: gone})
	decide(t, s, nil, Command{Kind: AssignTakeover, Life: gone, Taker: c1})
	decide(t, s, nil, Command{Kind: CompleteTakeover, Life: gone, Taker: c1})
	decide(t, s, nil, Command{Kind: Remove, Life: gone})
	decide(t, s, nil, join("gone", 1, "g2", false)) // with its folder, of which somebody has taken over what was owed
	if s.CurrentOwner(gone) != c1 || slices.ContainsFunc(s.Jobs, func(j *TakeoverTask) bool { return j.Life == gone && !j.Done }) {
		t.Errorf("held by %v, takeovers %v", s.CurrentOwner(gone), s.Jobs)
	}
	decide(t, s, nil, Command{Kind: Fence, Life: Incarnation{"gone", 2}})
	s.Jobs[len(s.Jobs)-1].Done = true // nobody had a copy
	decide(t, s, nil, Command{Kind: Remove, Life: Incarnation{"gone", 2}})
	decide(t, s, nil, join("gone", 0, "g3", false)) // another machine under its name
	if m := s.Members["gone"]; m.Life != 3 {
		t.Errorf("life %d begins behind two others", m.Life)
	}
	decide(t, s, nil, Command{Kind: Fence, Life: Incarnation{"gone", 3}})
	decide(t, s, nil, Command{Kind: AssignTakeover, Life: Incarnation{"gone", 3}, Taker: c1})
	decide(t, s, nil, Command{Kind: CompleteTakeover, Life: Incarnation{"gone", 3}, Taker: c1})
	decide(t, s, nil, Command{Kind: Remove, Life: Incarnation{"gone", 3}})
	if rank := s.RankReplicas("a", nil); !slices.Equal(rank, s.RankReplicas("a", func(string) bool { return true })) || len(rank) != 2 {
		t.Errorf("ranking %v", rank)
	}
}

// group is founders whose messages a test carries.
type group struct {
	t     *testing.T
	names []string
	cores map[string]*Core
	disks map[string]*fsys.Mem
	keeps map[string]*RaftStore
	queue []raftpb.Message
	down  map[string]bool
	loses func() bool       // a message on its way; nil is never
	first []string          // that the settings name; nil is names
	saw   map[uint64]string // what was decided at each version, by whoever applied it first
}

func newGroup(t *testing.T, names ...string) *group {
	g := &group{t: t, names: names, saw: map[uint64]string{}, cores: map[string]*Core{}, disks: map[string]*fsys.Mem{}, keeps: map[string]*RaftStore{}, down: map[string]bool{}}
	for _, name := range g.names {
		g.disks[name] = fsys.NewMem()
		g.open(name)
	}
	g.meet()
	return g
}

func (g *group) open(name string) {
	if g.first == nil {
		g.first = g.names
	}
	k, d, err := OpenRaftStore(g.disks[name], func(s string) { g.t.Error(s) })
	if err != nil {
		g.t.Fatal(err)
	}
	var founders []Voter
	for _, n := range g.first {
		founders = append(founders, Voter{Name: n})
	}
	c, err := NewCore(name, founders, d)
	if err != nil {
		g.t.Fatal(err)
	}
	g.cores[name], g.keeps[name] = c, k
}

// meet has blank founders ask the others, as a server does; all hear with their lease who the founders are.
func (g *group) meet() {
	for _, name := range g.names {
		c := g.cores[name]
		for _, other := range g.names {
			if l := g.cores[other]; !g.down[other] && !g.down[name] && l.Leads() {
				c.UpdateVoters(l.State().Founders, l.State().Council)
			}
		}
		var all []VoterStatus
		for _, f := range c.Voters() {
			if other := g.cores[f.Name]; f.Name != name && !g.down[f.Name] && !g.down[name] && c.VotingSuspended() {
				other.YieldLeadership(ID(name), c.LastIndex())
				all = append(all, other.Status())
			}
		}
		if err := c.Rejoin(all); err != nil {
			g.t.Fatal(err)
		}
	}
}

// run lets so many ticks pass and carries what is said.
func (g *group) run(ticks int) {
	for range ticks {
		for _, name := range g.names {
			if !g.down[name] {
				g.cores[name].Tick()
			}
		}
		for busy := true; busy; {
			busy = false
			for _, name := range g.names {
				c := g.cores[name]
				for !g.down[name] && c.HasReady() {
					busy = true
					step, done, err := c.Ready()
					if err != nil {
						g.t.Fatal(err)
					}
					if err := g.keeps[name].Save(step.Persist); err != nil {
						g.t.Fatal(err)
					}
					g.queue = append(g.queue, step.Send...)
					done()
					for _, a := range step.Applied {
						said := fmt.Sprintf("%d %+v", a.Ticket, a.Command)
						if was, seen := g.saw[a.Version]; seen && was != said {
							g.t.Fatalf("%s applied %s at %d, another %s", name, said, a.Version, was)
						}
						g.saw[a.Version] = said
					}
				}
			}
			queue := g.queue
			g.queue = nil
			for _, m := range queue {
				lost := g.loses != nil && g.loses()
				for _, name := range g.names {
					if m.Type == raftpb.MsgSnap && ID(name) == m.From {
						g.cores[name].SnapshotSent(m.To, !lost)
					}
				}
				if lost {
					continue
				}
				for _, name := range g.names {
					if ID(name) == m.To && !g.down[name] {
						g.cores[name].Receive(m)
					}
				}
			}
		}
	}
}

func (g *group) leader() *Core {
	for range 40 {
		for _, name := range g.names {
			if c := g.cores[name]; !g.down[name] && c.Leads() {
				return c
			}
		}
		g.run(5)
		g.meet()
	}
	g.t.Fatal("nobody leads")
	return nil
}

func (g *group) join(name string) {
	var err error
	for range 20 { // a leader that is about to hand over takes nothing
		if err = g.leader().Propose(rand.Uint64(), Command{Kind: Join, Life: Incarnation{Name: name}, Token: name}); err == nil {
			g.run(3)
			return
		}
		g.run(3)
	}
	g.t.Fatal(err)
}

// What was decided outlasts every founder's restart, a snapshot, and one founder's folder, which says nothing until it has met all
// others and has what they know.
func TestCouncilOutlastsItsFolders(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	for i := range snapshotEvery + 50 { // the log is shortened on the way
		g.join(fmt.Sprint("m", i%9))
	}
	for round, name := range []string{"b", "a", "c"} {
		g.down[name] = true
		g.join(fmt.Sprint("x", round))
		if round == 1 {
			g.disks[name] = fsys.NewMem() // its folder is lost
		}
		g.open(name)
		if round == 1 && !g.cores[name].VotingSuspended() {
			t.Error("a founder with an empty folder may vote")
		}
		g.down[name] = false
		for range 12 {
			g.run(5)
			g.meet()
		}
		if g.cores[name].VotingSuspended() {
			t.Errorf("%s: still silent", name)
		}
	}
	want := g.leader().State()
	for _, name := range g.names {
		if s := g.cores[name].State(); s.Version != want.Version || len(s.Members) != len(want.Members) || len(s.Members) != 12 {
			t.Errorf("%s: version %d with %d members, the leader %d with %d", name, s.Version, len(s.Members), want.Version, len(want.Members))
		}
	}
}

// change has the leader change the founders, and waits until that is so.
func (g *group) change(name string, on bool) {
	g.t.Helper()
	for range 60 {
		l := g.leader()
		at := slices.IndexFunc(l.Voters(), func(f Voter) bool { return f.Name == name })
		if on && at >= 0 && !l.Voters()[at].Learns || !on && at < 0 {
			return
		}
		if !on || at < 0 || len(l.CaughtUpLearners()) > 0 {
			if err := l.ChangeVoters(rand.Uint64(), Voter{Name: name}, on); errors.Is(err, ErrNoMajority) {
				g.t.Fatal(err)
			}
		}
		g.run(3)
		g.meet()
	}
	g.t.Fatalf("%s: never %v", name, on)
}

// A council grows from one founder to three, each of them is replaced by another, and one of the new ones loses its folder: what was
// decided before is known to all, and who was let go decides nothing any more.
func TestFoundersChange(t *testing.T) {
	g := newGroup(t)
	g.names, g.first = []string{"a", "b", "c", "d", "e", "f"}, []string{"a"}
	for _, name := range g.names {
		g.disks[name] = fsys.NewMem()
		g.open(name)
	}
	g.join("first")
	for _, name := range []string{"b", "c"} {
		g.change(name, true)
	}
	for i, name := range []string{"a", "b", "c"} {
		g.join("before " + name)
		g.down[name] = i > 0 // one that leads hands that on; the others are dead
		g.change(string(rune('d'+i)), true)
		g.change(name, false)
	}
	g.down["e"] = true
	g.join("without e")
	g.disks["e"] = fsys.NewMem()
	g.open("e")
	g.down["e"] = false
	g.meet()
	if !g.cores["e"].VotingSuspended() {
		t.Error("a founder that lost its folder may vote")
	}
	for range 12 {
		g.run(5)
		g.meet()
	}
	g.down["d"] = true // e has to vote now
	g.join("without d")
	for _, name := range []string{"e", "f"} {
		if s := g.cores[name].State(); len(s.Members) != 6 || len(s.Founders) != 3 {
			t.Errorf("%s: members %v, founders %v", name, s.Names(), s.Founders)
		}
	}
	g.down["a"], g.down["b"], g.down["c"], g.down["e"], g.down["f"] = false, false, false, true, true
	g.run(60)
	for _, name := range []string{"a", "b", "c"} {
		if g.cores[name].Leads() {
			t.Errorf("%s leads those who were let go", name)
		}
	}
}

// Founders are taken in and let go while messages get lost and founders die with a third of their steps: no two ever apply different
// commands at one version, and in the end all agree.
func TestFoundersChangeUnderFaults(t *testing.T) {
	for seed := range uint64(15) {
		rng := rand.New(rand.NewPCG(seed, 9))
		g := newGroup(t)
		g.names, g.first = []string{"a", "b", "c", "d", "e"}, []string{"a", "b", "c"}
		for _, name := range g.names {
			g.disks[name] = fsys.NewMem()
			g.open(name)
		}
		g.meet()
		g.loses = func() bool { return rng.IntN(10) == 0 }
		for step := range 60 {
			name := g.names[rng.IntN(len(g.names))]
			if rng.IntN(3) == 0 { // dies and comes back with its folder
				g.down[name] = true
				g.run(rng.IntN(15))
				g.open(name)
				g.down[name] = false
			}
			for _, other := range g.names {
				if l := g.cores[other]; l.Leads() {
					f := g.names[rng.IntN(len(g.names))]
					on := rng.IntN(2) == 0
					if level := l.CaughtUpLearners(); len(level) > 0 {
						f, on = level[0].Name, true
					}
					if !on || len(l.CaughtUpLearners()) > 0 || !slices.ContainsFunc(l.Voters(), func(x Voter) bool { return x.Name == f }) {
						_ = l.ChangeVoters(rand.Uint64(), Voter{Name: f}, on)
					}
					_ = l.Propose(rand.Uint64(), Command{Kind: Join, Life: Incarnation{Name: fmt.Sprint(step)}, Token: "t"})
				}
			}
			g.run(rng.IntN(8))
			g.meet()
		}
		g.loses = nil
		g.join("last")
		for range 6 {
			g.meet()
			g.run(6)
		}
		l := g.leader()
		for _, f := range l.Voters() {
			if s := g.cores[f.Name].State(); s.Version != l.State().Version || s.Members["last"] == nil {
				t.Fatalf("seed %d: %s at %d, the leader at %d", seed, f.Name, s.Version, l.State().Version)
			}
		}
	}
}

// A majority lost for good: the operator's rebuild keeps what the last founder knows.
func TestRebuild(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	g.join("m")
	g.join("n")
	before := g.cores["a"].State().Version
	if err := g.keeps["a"].Close(); err != nil {
		t.Fatal(err)
	}
	k, kept, err := OpenRaftStore(g.disks["a"], func(s string) { t.Error(s) })
	if err != nil {
		t.Fatal(err)
	}
	fresh, err := Rebuild(kept, []string{"a", "d", "e"})
	if err == nil {
		err = k.Replace(fresh)
	}
	if err != nil {
		t.Fatal(err)
	}
	if err := k.Close(); err != nil {
		t.Fatal(err)
	}
	g.names = []string{"a", "d", "e"}
	g.first, g.saw = nil, map[uint64]string{}
	for _, name := range g.names { // the operator copies the folder to the other founders
		g.disks[name] = g.disks["a"].Crash(fsys.LoseProcess, rand.New(rand.NewPCG(1, 1)))
		g.open(name)
	}
	g.join("o")
	s := g.leader().State()
	if len(s.Members) != 3 || s.Members["m"] == nil || s.Version < before+1000 {
		t.Errorf("%d members at version %d, before %d", len(s.Members), s.Version, before)
	}
}
