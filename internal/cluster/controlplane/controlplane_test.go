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

// A leader may fence an incarnation only after every lease that it or an earlier leader has granted is over.
func TestLeases(t *testing.T) {
	l := Leases{Lease: time.Second, Margin: 200 * time.Millisecond}
	a := Incarnation{"a", 1}
	if l.MayFence(time.Hour, a) || l.Renew(0, a) {
		t.Error("a lease was granted or fencing allowed without leadership")
	}
	l.Elected(10 * time.Second)
	if l.MayFence(11*time.Second, a) {
		t.Error("fencing allowed while a lease of the previous leader may be valid")
	}
	l.Renew(11*time.Second, a)
	for at, want := range map[time.Duration]bool{12*time.Second + 199*time.Millisecond: false, 12*time.Second + 200*time.Millisecond: true} {
		m := l
		m.fencing = maps.Clone(l.fencing)
		if got := m.MayFence(at, a); got != want {
			t.Errorf("at %v: %v", at, got)
		}
	}
	l.MayFence(13*time.Second, a)
	if l.Renew(13*time.Second, a) {
		t.Error("a lease was granted to an incarnation whose fencing is proposed")
	}
}

func checkApply(t *testing.T, s *State, want error, c Command) {
	t.Helper()
	if err := s.Apply(s.Version+1, c); !errors.Is(err, want) {
		t.Errorf("%+v: %v, want %v", c, err, want)
	}
}

// Epochs only grow, even if the folder is lost, and the messages of a fenced incarnation have one owner at a time,
// whichever members are fenced or come back.
func TestIncarnations(t *testing.T) {
	s := NewState()
	join := func(name string, had uint64, token string, fenced bool) Command {
		return Command{Kind: Join, Life: Incarnation{name, had}, Whole: had > 0, Token: token, Fenced: fenced}
	}
	for _, name := range []string{"a", "b", "c"} {
		checkApply(t, s, nil, join(name, 0, name+"1", false))
	}
	a1, b1, c1 := Incarnation{"a", 1}, Incarnation{"b", 1}, Incarnation{"c", 1}
	checkApply(t, s, nil, Command{Kind: SetReplicas, Life: a1, From: s.Members["a"].Changed, Set: []string{"b", "c"}})
	checkApply(t, s, ErrConflict, Command{Kind: SetReplicas, Life: a1, From: 1, Set: []string{"b"}})
	checkApply(t, s, ErrNameInUse, join("a", 0, "other", false))
	checkApply(t, s, nil, Command{Kind: Fence, Life: a1})
	checkApply(t, s, nil, Command{Kind: AssignTakeover, Life: a1, Taker: b1})
	checkApply(t, s, ErrConflict, Command{Kind: AssignTakeover, Life: a1, Taker: c1})
	checkApply(t, s, nil, Command{Kind: Fence, Life: b1}) // before the takeover is completed
	checkApply(t, s, ErrConflict, Command{Kind: CompleteTakeover, Life: a1, Taker: b1})
	checkApply(t, s, nil, Command{Kind: AssignTakeover, Life: a1, Taker: c1})
	checkApply(t, s, nil, Command{Kind: CompleteTakeover, Life: a1, Taker: c1})
	if s.CurrentOwner(a1) != c1 || s.CurrentOwner(b1) != (Incarnation{}) {
		t.Errorf("owners %v, %v", s.CurrentOwner(a1), s.CurrentOwner(b1))
	}
	checkApply(t, s, nil, join("b", 1, "b2", false)) // with its folder: its second incarnation takes over from its first
	checkApply(t, s, nil, Command{Kind: CompleteTakeover, Life: b1, Taker: Incarnation{"b", 2}})
	checkApply(t, s, nil, join("a", 0, "a2", false)) // without its folder
	if m := s.Members["a"]; m.Life != 2 || !m.Lost || s.CurrentOwner(b1) != (Incarnation{"b", 2}) {
		t.Errorf("a is %+v, b's first incarnation is owned by %v", m, s.CurrentOwner(b1))
	}
	checkApply(t, s, ErrConflict, Command{Kind: Remove, Life: c1})
	checkApply(t, s, nil, join("gone", 0, "g", false))
	gone := Incarnation{"gone", 1}
	checkApply(t, s, nil, Command{Kind: Fence, Life: gone})
	checkApply(t, s, nil, Command{Kind: AssignTakeover, Life: gone, Taker: c1})
	checkApply(t, s, nil, Command{Kind: CompleteTakeover, Life: gone, Taker: c1})
	checkApply(t, s, nil, Command{Kind: Remove, Life: gone})
	checkApply(t, s, nil, join("gone", 1, "g2", false)) // with its folder, whose messages another member has taken over
	if s.CurrentOwner(gone) != c1 || slices.ContainsFunc(s.Jobs, func(j *TakeoverTask) bool { return j.Life == gone && !j.Done }) {
		t.Errorf("owner %v, tasks %v", s.CurrentOwner(gone), s.Jobs)
	}
	checkApply(t, s, nil, Command{Kind: Fence, Life: Incarnation{"gone", 2}})
	s.Jobs[len(s.Jobs)-1].Done = true // no member had a copy
	checkApply(t, s, nil, Command{Kind: Remove, Life: Incarnation{"gone", 2}})
	checkApply(t, s, nil, join("gone", 0, "g3", false)) // another machine under the same name
	if m := s.Members["gone"]; m.Life != 3 {
		t.Errorf("epoch %d after two others", m.Life)
	}
	checkApply(t, s, nil, Command{Kind: Fence, Life: Incarnation{"gone", 3}})
	checkApply(t, s, nil, Command{Kind: AssignTakeover, Life: Incarnation{"gone", 3}, Taker: c1})
	checkApply(t, s, nil, Command{Kind: CompleteTakeover, Life: Incarnation{"gone", 3}, Taker: c1})
	checkApply(t, s, nil, Command{Kind: Remove, Life: Incarnation{"gone", 3}})
	if rank := s.RankReplicas("a", nil); !slices.Equal(rank, s.RankReplicas("a", func(string) bool { return true })) || len(rank) != 2 {
		t.Errorf("ranking %v", rank)
	}
}

// group is a set of voters whose messages the test delivers.
type group struct {
	t          *testing.T
	names      []string
	cores      map[string]*Core
	disks      map[string]*fsys.Mem
	stores     map[string]*RaftStore
	queue      []raftpb.Message
	down       map[string]bool
	drops      func() bool       // drops a message in transit; nil drops none
	configured []string          // names in the settings; nil means names
	appliedAt  map[uint64]string // the command applied at each version, by the first voter that applied it
}

func newGroup(t *testing.T, names ...string) *group {
	g := &group{t: t, names: names, appliedAt: map[uint64]string{}, cores: map[string]*Core{}, disks: map[string]*fsys.Mem{}, stores: map[string]*RaftStore{}, down: map[string]bool{}}
	for _, name := range g.names {
		g.disks[name] = fsys.NewMem()
		g.open(name)
	}
	g.rejoin()
	return g
}

func (g *group) open(name string) {
	if g.configured == nil {
		g.configured = g.names
	}
	raftStore, d, err := OpenRaftStore(g.disks[name], func(s string) { g.t.Error(s) })
	if err != nil {
		g.t.Fatal(err)
	}
	var voters []Voter
	for _, n := range g.configured {
		voters = append(voters, Voter{Name: n})
	}
	c, err := NewCore(name, voters, d)
	if err != nil {
		g.t.Fatal(err)
	}
	g.cores[name], g.stores[name] = c, raftStore
}

// rejoin runs the rejoin protocol of blank voters like a server does, and tells all members who the voters are.
func (g *group) rejoin() {
	for _, name := range g.names {
		c := g.cores[name]
		for _, other := range g.names {
			if l := g.cores[other]; !g.down[other] && !g.down[name] && l.Leads() {
				c.UpdateVoters(l.State().Founders, l.State().Council)
			}
		}
		var all []VoterStatus
		for _, v := range c.Voters() {
			if other := g.cores[v.Name]; v.Name != name && !g.down[v.Name] && !g.down[name] && c.VotingSuspended() {
				other.YieldLeadership(ID(name), c.LastIndex())
				all = append(all, other.Status())
			}
		}
		if err := c.Rejoin(all); err != nil {
			g.t.Fatal(err)
		}
	}
}

// run advances a number of ticks and delivers the messages.
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
					if err := g.stores[name].Save(step.Persist); err != nil {
						g.t.Fatal(err)
					}
					g.queue = append(g.queue, step.Send...)
					done()
					for _, a := range step.Applied {
						command := fmt.Sprintf("%d %+v", a.Ticket, a.Command)
						if was, seen := g.appliedAt[a.Version]; seen && was != command {
							g.t.Fatalf("%s applied %s at %d, another %s", name, command, a.Version, was)
						}
						g.appliedAt[a.Version] = command
					}
				}
			}
			queue := g.queue
			g.queue = nil
			for _, m := range queue {
				lost := g.drops != nil && g.drops()
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
		g.rejoin()
	}
	g.t.Fatal("no leader was elected")
	return nil
}

func (g *group) join(name string) {
	var err error
	for range 20 { // a leader that is transferring leadership accepts no proposals
		if err = g.leader().Propose(rand.Uint64(), Command{Kind: Join, Life: Incarnation{Name: name}, Token: name}); err == nil {
			g.run(3)
			return
		}
		g.run(3)
	}
	g.t.Fatal(err)
}

// The committed state survives a restart of each voter, a snapshot, and the loss of one voter's folder. The voter
// without its folder must not vote until it has reached all others and has what they know.
func TestStateSurvivesRestartsAndLostFolder(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	for i := range entriesPerSnapshot + 50 { // the log is compacted meanwhile
		g.join(fmt.Sprint("m", i%9))
	}
	for round, name := range []string{"b", "a", "c"} {
		g.down[name] = true
		g.join(fmt.Sprint("x", round))
		if round == 1 {
			g.disks[name] = fsys.NewMem() // the folder is lost
		}
		g.open(name)
		if round == 1 && !g.cores[name].VotingSuspended() {
			t.Error("a voter with an empty folder may vote")
		}
		g.down[name] = false
		for range 12 {
			g.run(5)
			g.rejoin()
		}
		if g.cores[name].VotingSuspended() {
			t.Errorf("%s: still may not vote", name)
		}
	}
	want := g.leader().State()
	for _, name := range g.names {
		if s := g.cores[name].State(); s.Version != want.Version || len(s.Members) != len(want.Members) || len(s.Members) != 12 {
			t.Errorf("%s: version %d with %d members, the leader %d with %d", name, s.Version, len(s.Members), want.Version, len(want.Members))
		}
	}
}

// change makes the leader change the voters, and waits until the change is committed.
func (g *group) change(name string, on bool) {
	g.t.Helper()
	for range 60 {
		l := g.leader()
		at := slices.IndexFunc(l.Voters(), func(v Voter) bool { return v.Name == name })
		if on && at >= 0 && !l.Voters()[at].Learns || !on && at < 0 {
			return
		}
		if !on || at < 0 || len(l.CaughtUpLearners()) > 0 {
			if err := l.ChangeVoters(rand.Uint64(), Voter{Name: name}, on); errors.Is(err, ErrNoMajority) {
				g.t.Fatal(err)
			}
		}
		g.run(3)
		g.rejoin()
	}
	g.t.Fatalf("%s: never %v", name, on)
}

// A group grows from one voter to three, each of them is replaced by another, and one of the new ones loses its folder.
// All voters have to know what was committed before, and removed voters must not elect a leader any more.
func TestVoterChanges(t *testing.T) {
	g := newGroup(t)
	g.names, g.configured = []string{"a", "b", "c", "d", "e", "f"}, []string{"a"}
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
		g.down[name] = i > 0 // a leader transfers leadership first; the others are dead
		g.change(string(rune('d'+i)), true)
		g.change(name, false)
	}
	g.down["e"] = true
	g.join("without e")
	g.disks["e"] = fsys.NewMem()
	g.open("e")
	g.down["e"] = false
	g.rejoin()
	if !g.cores["e"].VotingSuspended() {
		t.Error("a voter that lost its folder may vote")
	}
	for range 12 {
		g.run(5)
		g.rejoin()
	}
	g.down["d"] = true // now e's vote is needed
	g.join("without d")
	for _, name := range []string{"e", "f"} {
		if s := g.cores[name].State(); len(s.Members) != 6 || len(s.Founders) != 3 {
			t.Errorf("%s: members %v, voters %v", name, s.Names(), s.Founders)
		}
	}
	g.down["a"], g.down["b"], g.down["c"], g.down["e"], g.down["f"] = false, false, false, true, true
	g.run(60)
	for _, name := range []string{"a", "b", "c"} {
		if g.cores[name].Leads() {
			t.Errorf("%s was elected by removed voters", name)
		}
	}
}

// Voters are added and removed while messages get lost and voters crash in a third of the steps. No two voters may
// apply different commands at one version, and at the end all have to agree.
func TestVoterChangesUnderFaults(t *testing.T) {
	for seed := range uint64(15) {
		rng := rand.New(rand.NewPCG(seed, 9))
		g := newGroup(t)
		g.names, g.configured = []string{"a", "b", "c", "d", "e"}, []string{"a", "b", "c"}
		for _, name := range g.names {
			g.disks[name] = fsys.NewMem()
			g.open(name)
		}
		g.rejoin()
		g.drops = func() bool { return rng.IntN(10) == 0 }
		for step := range 60 {
			name := g.names[rng.IntN(len(g.names))]
			if rng.IntN(3) == 0 { // crashes and comes back with its folder
				g.down[name] = true
				g.run(rng.IntN(15))
				g.open(name)
				g.down[name] = false
			}
			for _, other := range g.names {
				if l := g.cores[other]; l.Leads() {
					target := g.names[rng.IntN(len(g.names))]
					on := rng.IntN(2) == 0
					if learners := l.CaughtUpLearners(); len(learners) > 0 {
						target, on = learners[0].Name, true
					}
					if !on || len(l.CaughtUpLearners()) > 0 || !slices.ContainsFunc(l.Voters(), func(x Voter) bool { return x.Name == target }) {
						_ = l.ChangeVoters(rand.Uint64(), Voter{Name: target}, on)
					}
					_ = l.Propose(rand.Uint64(), Command{Kind: Join, Life: Incarnation{Name: fmt.Sprint(step)}, Token: "t"})
				}
			}
			g.run(rng.IntN(8))
			g.rejoin()
		}
		g.drops = nil
		g.join("last")
		for range 6 {
			g.rejoin()
			g.run(6)
		}
		l := g.leader()
		for _, v := range l.Voters() {
			if s := g.cores[v.Name].State(); s.Version != l.State().Version || s.Members["last"] == nil {
				t.Fatalf("seed %d: %s at %d, the leader at %d", seed, v.Name, s.Version, l.State().Version)
			}
		}
	}
}

// A majority is lost for good: the operator's rebuild keeps what the last voter knows.
func TestRebuild(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	g.join("m")
	g.join("n")
	before := g.cores["a"].State().Version
	if err := g.stores["a"].Close(); err != nil {
		t.Fatal(err)
	}
	raftStore, stored, err := OpenRaftStore(g.disks["a"], func(s string) { t.Error(s) })
	if err != nil {
		t.Fatal(err)
	}
	newState, err := Rebuild(stored, []string{"a", "d", "e"})
	if err == nil {
		err = raftStore.Replace(newState)
	}
	if err != nil {
		t.Fatal(err)
	}
	if err := raftStore.Close(); err != nil {
		t.Fatal(err)
	}
	g.names = []string{"a", "d", "e"}
	g.configured, g.appliedAt = nil, map[uint64]string{}
	for _, name := range g.names { // the operator copies the folder to the other voters
		g.disks[name] = g.disks["a"].Crash(fsys.LoseNothing, rand.New(rand.NewPCG(1, 1)))
		g.open(name)
	}
	g.join("o")
	s := g.leader().State()
	if len(s.Members) != 3 || s.Members["m"] == nil || s.Version < before+1000 {
		t.Errorf("%d members at version %d, before %d", len(s.Members), s.Version, before)
	}
}
