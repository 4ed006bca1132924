package cluster

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"mulleinbeam/internal/cluster/controlplane"
	"mulleinbeam/internal/cluster/node"
	"mulleinbeam/internal/lab"
)

// Setup is a fleet.
type Setup struct {
	Members  int
	Founders int // the first of them; 0 is 3, or all there are. They begin the council; it may have others later
	Copies   int // 0 is 2
	Zones    int // that members take in turn; 0 is 2
	Alone    []string
	Extra    string // further lines of [cluster]
	Program  []string
	Env      []string
	Dir      string
	Seed     uint64
	Direct   bool   // no fault proxies between members
	Off      bool   // no [cluster] at all: what it costs is measured against this
	Settings string // further tables
	Amend    func(configuration map[string]any)
	Body     int64   // bytes of a message; 0 is 200
	Sites    int     // partners of the one destination, one in each of so many zones; 0 is one in a zone of its own
	Relays   int     // of the control plane; voters use none
	Cores    float64 // of a member's processor; 0 is one
	MemoryMB int     // of a member; 0 is the laboratory's default
	Paths    bool    // members reach partners through fault proxies of their own
}

// Member is one process with its folder.
type Member struct {
	*lab.Forwarder
	Name    string
	Links   string // where its links listen
	Dir     string
	stopped bool
	running bool
}

// State is its state folder.
func (m *Member) State() string { return filepath.Join(m.Dir, "state") }

// Fleet is the processes with what lies between them, one partner, an agent and clients that are seen by one checker.
type Fleet struct {
	Setup
	Partner  *lab.Endpoint // the first of
	Partners []*lab.Endpoint
	Agent    *lab.Agent
	Check    *lab.Checker
	Members  []*Member

	proxies map[[2]int]*FaultProxy
	relays  []*relayProcess
	paths   map[[2]int]*FaultProxy // of a member to a partner
	agents  []*lab.Agent           // of members that have paths
	mu      sync.Mutex
	events  []string
	began   time.Time
	next    int
	told    int                   // notices that the checker has seen,
	saw     map[*lab.Endpoint]int // and arrivals
}

// fleets counts those that this process has opened.
var fleets atomic.Uint64

// Group is the partner's destination.
const Group = 7

// Open lays a fleet out; Start starts its members. Partner may be nil for one that answers 200 at once.
func Open(s Setup, partner *lab.Endpoint) (*Fleet, error) {
	if s.Founders == 0 {
		s.Founders = min(3, s.Members)
	}
	if s.Copies == 0 {
		s.Copies = 2
	}
	if s.Zones == 0 {
		s.Zones = 2
	}
	if partner == nil {
		partner = &lab.Endpoint{Name: "p"}
	}
	partner.Group = Group
	f := &Fleet{
		Setup: s, Partner: partner, Partners: []*lab.Endpoint{partner}, Agent: &lab.Agent{}, Check: lab.NewChecker(), proxies: map[[2]int]*FaultProxy{}, paths: map[[2]int]*FaultProxy{}, began: time.Now(),
		saw: map[*lab.Endpoint]int{},
	}
	if s.Sites > 0 {
		partner.Name, partner.Zone = "p0", "z0"
		for i := 1; i < s.Sites; i++ {
			f.Partners = append(f.Partners, &lab.Endpoint{Name: fmt.Sprint("p", i), Zone: fmt.Sprint("z", i), Group: Group, Weight: partner.Weight, Handle: partner.Handle})
		}
	}
	for _, p := range f.Partners {
		if err := p.Listen(); err != nil {
			return nil, err
		}
	}
	f.Agent.Told = func(n lab.Notice) { f.Event("platform: %s %s", n.Message, n.Outcome) }
	if err := f.Agent.Listen(f.Partners...); err != nil {
		return nil, err
	}
	fleet := fleets.Add(1)
	host := func(i int) string { // of its own: no port there is taken by others' connections or listeners
		return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%64, (uint64(os.Getpid()/64)+fleet)%256, i+1)
	}
	for i := range s.Members {
		links, err := net.Listen("tcp", host(i)+":0")
		if err != nil {
			return nil, err
		}
		defer links.Close() // held until its member has chosen where it takes messages: else that could be the very same
		f.Members = append(f.Members, &Member{Name: fmt.Sprintf("n%d", i), Links: links.Addr().String(), Dir: filepath.Join(s.Dir, fmt.Sprintf("n%d", i))})
	}
	if err := f.openRelays(); err != nil {
		return nil, err
	}
	for i, from := range f.Members {
		for j, to := range f.Members {
			if i == j || s.Direct || s.Off {
				continue
			}
			r, err := NewFaultProxy("127.0.0.1:0", to.Links, s.Seed+uint64(i*1000+j))
			if err != nil {
				return nil, err
			}
			f.proxies[[2]int{i, j}] = r
		}
		if err := os.MkdirAll(from.Dir, 0o700); err != nil {
			return nil, err
		}
		from.Forwarder = &lab.Forwarder{
			Command: s.Program, Env: s.Env, Name: from.Name, Host: host(i), Settings: s.Settings + f.settings(i), Amend: s.Amend, DiskMB: 12, Slots: 16,
			Cores: s.Cores, MemoryMB: s.MemoryMB,
		}
		agent, err := f.agentOf(i)
		if err != nil {
			return nil, err
		}
		if err := from.Prepare(from.Dir, agent); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// agentOf is a member's: with paths one that says where its fault proxies are.
func (f *Fleet) agentOf(i int) (*lab.Agent, error) {
	if !f.Paths {
		return f.Agent, nil
	}
	at := map[string]string{}
	for k, p := range f.Partners {
		r, err := NewFaultProxy("127.0.0.1:0", p.Address(), f.Seed+uint64(i*1000+k)+500)
		if err != nil {
			return nil, err
		}
		f.paths[[2]int{i, k}], at[p.Address()] = r, r.Address()
	}
	agent, err := f.Agent.Beside(func(p *lab.Endpoint) string { return at[p.Address()] })
	f.agents = append(f.agents, agent)
	return agent, err
}

// settings is a member's own TOML.
func (f *Fleet) settings(i int) string {
	if f.Off {
		return ""
	}
	var b strings.Builder
	fmt.Fprintf(&b, "[cluster]\nlisten = %q\nzone = \"z%d\"\ncopies = %d\nfounders = [", f.Members[i].Links, i%f.Zones, f.Copies)
	for j := range f.Founders {
		fmt.Fprintf(&b, "\"n%d@%s\", ", j, f.Members[j].Links)
	}
	fmt.Fprintf(&b, "]\nalone = [")
	for _, class := range f.Alone {
		fmt.Fprintf(&b, "%q, ", class)
	}
	fmt.Fprintf(&b, "]\nrelays = [")
	for j, r := range f.relays {
		fmt.Fprintf(&b, "\"z%d@%s\", ", j%f.Zones, r.address)
	}
	fmt.Fprintf(&b, "]\n%s\n[cluster.via]\n", f.Extra)
	for j, to := range f.Members {
		if r := f.proxies[[2]int{i, j}]; r != nil {
			fmt.Fprintf(&b, "%q = %q\n", to.Links, r.Address())
		}
	}
	return b.String()
}

// Event books something that somebody saw.
func (f *Fleet) Event(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, fmt.Sprintf("%9.3f ", time.Since(f.began).Seconds())+fmt.Sprintf(format, args...))
}

// Events are all that was seen, in their order.
func (f *Fleet) Events() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.events...)
}

// Start starts members, side by side, and waits until each serves.
func (f *Fleet) Start(members ...int) error {
	errs := make([]error, len(members))
	var wg sync.WaitGroup
	for k, i := range members {
		wg.Go(func() {
			m := f.Members[i]
			m.Settings = f.Settings + f.settings(i) // fault proxies may have changed
			f.Event("n%d: started", i)
			if errs[k] = m.Forwarder.Start(); errs[k] == nil {
				m.running = true
			}
		})
	}
	wg.Wait()
	return errors.Join(errs...)
}

// All are all members' numbers.
func (f *Fleet) All() (all []int) {
	for i := range f.Members {
		all = append(all, i)
	}
	return all
}

// Kill ends a member at once.
func (f *Fleet) Kill(i int) error {
	m := f.Members[i]
	f.Event("n%d: SIGKILL", i)
	if !m.running {
		return nil
	}
	m.running = false
	if m.stopped {
		m.stopped = false
	}
	_ = m.End(syscall.SIGKILL)
	return nil
}

// Stop has a member end by itself.
func (f *Fleet) Stop(i int) error {
	f.Event("n%d: SIGTERM", i)
	f.Members[i].running = false
	return f.Members[i].End(syscall.SIGTERM)
}

// Pause stops a member where it is; Wake lets it go on.
func (f *Fleet) Pause(i int) error {
	f.Event("n%d: SIGSTOP", i)
	f.Members[i].stopped = true
	return f.Members[i].Signal(syscall.SIGSTOP)
}

// Wake lets a paused member go on.
func (f *Fleet) Wake(i int) error {
	f.Event("n%d: SIGCONT", i)
	f.Members[i].stopped = false
	return f.Members[i].Signal(syscall.SIGCONT)
}

// LoseFolder takes a dead member's folder away.
func (f *Fleet) LoseFolder(i int) error {
	f.Event("n%d: folder lost", i)
	return errors.Join(os.RemoveAll(f.Members[i].State()), os.MkdirAll(f.Members[i].State(), 0o700))
}

// SaveFolder keeps a dead member's folder as it is now, for RollBack.
func (f *Fleet) SaveFolder(i int) error {
	m := f.Members[i]
	return errors.Join(os.RemoveAll(m.Dir+"/saved"), os.CopyFS(m.Dir+"/saved", os.DirFS(m.State())))
}

// RollBack puts a dead member's folder back to what SaveFolder kept.
func (f *Fleet) RollBack(i int) error {
	m := f.Members[i]
	f.Event("n%d: folder rolled back", i)
	return errors.Join(os.RemoveAll(m.State()), os.CopyFS(m.State(), os.DirFS(m.Dir+"/saved")))
}

// Damage flips a bit in the middle of what a dead member's folder of copies holds.
func (f *Fleet) Damage(i int) error {
	f.Event("n%d: copies damaged", i)
	var path string
	var held []byte
	err := filepath.WalkDir(filepath.Join(f.Members[i].State(), "copies"), func(p string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		b, err := os.ReadFile(p)
		if used := bytes.TrimRight(b, "\x00"); err == nil && len(used) > len(held) {
			path, held = p, b[:len(used)]
		}
		return err
	})
	if err != nil || path == "" {
		return errors.Join(err, fmt.Errorf("cluster: n%d has no copies: %q", i, path))
	}
	file, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	at := len(held) / 2
	_, err = file.WriteAt([]byte{held[at] ^ 1}, int64(at))
	return errors.Join(err, file.Close())
}

// Proxy is what carries the connections that one member makes to another.
func (f *Fleet) Proxy(from, to int) *FaultProxy { return f.proxies[[2]int{from, to}] }

// Stall has nothing pass from one member to another, without a word, until it is taken back: neither what it sends on its own
// connections nor what it answers on the other's.
func (f *Fleet) Stall(from, to int, on bool) {
	f.Event("link n%d to n%d: stalled %v", from, to, on)
	f.proxies[[2]int{from, to}].Set(There, Way{Stall: on})
	f.proxies[[2]int{to, from}].Set(Back, Way{Stall: on})
}

// Split cuts a group of members off from all others, both ways, with resets; Heal takes all faults of links back.
func (f *Fleet) Split(group ...int) {
	f.Event("split: %v from the rest", group)
	in := map[int]bool{}
	for _, i := range group {
		in[i] = true
	}
	for pair, r := range f.proxies {
		if in[pair[0]] != in[pair[1]] {
			r.Refuse(true, true)
		}
	}
}

// Cut resets the links between two members, both ways, and lets no new ones come up.
func (f *Fleet) Cut(a, b int) {
	f.Event("links n%d and n%d: cut", a, b)
	f.proxies[[2]int{a, b}].Refuse(true, true)
	f.proxies[[2]int{b, a}].Refuse(true, true)
}

// CutPaths has calls of members to partners' sites reset, or wait without a word, until Heal.
func (f *Fleet) CutPaths(members, sites []int, silent bool) {
	f.Event("paths of %v to %v: cut, silent %v", members, sites, silent)
	for _, i := range members {
		for _, k := range sites {
			if r := f.paths[[2]int{i, k}]; silent {
				r.Set(There, Way{Stall: true})
			} else {
				r.Refuse(true, true)
			}
		}
	}
}

// Heal takes all faults of links and paths back.
func (f *Fleet) Heal() {
	f.Event("links healed")
	for _, all := range []map[[2]int]*FaultProxy{f.proxies, f.paths} {
		for _, r := range all {
			r.Set(There, Way{})
			r.Set(Back, Way{})
			r.Refuse(false, false)
		}
	}
}

// Hand hands a message in at a member, and books what its client heard.
func (f *Fleet) Hand(i int, class string, left time.Duration) (id string, a lab.Answer) {
	f.mu.Lock()
	f.next++
	id = fmt.Sprintf("%s-%d", class, f.next)
	f.mu.Unlock()
	return id, f.HandAs(i, id, class, left)
}

// HandAs hands a message of a given id in.
func (f *Fleet) HandAs(i int, id, class string, left time.Duration) lab.Answer {
	h := lab.Handover{ID: id, Key: "key-" + id, Class: class, Destination: Group, Left: left, Body: lab.Content{Seed: uint64(len(id)), Size: cmp.Or(f.Body, 200)}}
	c, err := lab.Dial(f.Members[i].Address())
	if err != nil {
		return lab.Answer{Err: err}
	}
	defer c.Close()
	a := c.Hand(h, nil)
	f.Event("client: %s at n%d: %d", id, i, a.Status)
	f.Check.Handed(h, a)
	return a
}

// Look asks a member what it knows.
func (f *Fleet) Look(i int) (node.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return node.GetStatus(ctx, f.Members[i].Links)
}

// Await looks at a member until something holds of it.
func (f *Fleet) Await(ctx context.Context, i int, what string, holds func(node.Status) bool) error {
	return await(ctx, f, i, what, node.GetStatus, holds)
}

// Order has the council decide something, whichever member passes it on.
func (f *Fleet) Order(ctx context.Context, c controlplane.Command) error {
	for {
		var r controlplane.Response
		err := ctx.Err()
		for i := 0; i < len(f.Members) && err == nil; i++ {
			if !f.Members[i].running {
				continue
			}
			call, cancel := context.WithTimeout(ctx, 2*time.Second)
			r, err = node.SendCommand(call, f.Members[i].Links, c)
			cancel()
			if err == nil && r.Refused == "" {
				return nil
			}
			if err != nil && ctx.Err() == nil {
				err = nil // the next one
			}
		}
		if err != nil || !lab.Sleep(ctx, 10*time.Millisecond) {
			return errors.Join(err, ctx.Err(), errors.New(r.Refused))
		}
	}
}

// await looks at a member until something holds of it. It ends only with the member, or with who waits.
func await[T any](ctx context.Context, f *Fleet, i int, what string, look func(ctx context.Context, address string) (T, error), holds func(T) bool) error {
	for {
		call, cancel := context.WithTimeout(ctx, 2*time.Second)
		s, err := look(call, f.Members[i].Links)
		cancel()
		if err == nil && holds(s) {
			return nil
		}
		if !lab.Sleep(ctx, 10*time.Millisecond) {
			return fmt.Errorf("n%d: no %s: %w; last %+v %v", i, what, ctx.Err(), s, err)
		}
	}
}

// AwaitPlan looks at where a member sees traffic go until something holds of it.
func (f *Fleet) AwaitPlan(ctx context.Context, i int, what string, holds func(node.PlanStatus) bool) error {
	return await(ctx, f, i, what, node.GetPlan, holds)
}

// AwaitFacts looks at what a member knows of partners until something holds of it.
func (f *Fleet) AwaitFacts(ctx context.Context, i int, what string, holds func(node.ObservationStatus) bool) error {
	return await(ctx, f, i, what, node.GetObservations, holds)
}

// AwaitCopied waits until each of the members may act, speaks in the council if it is a founder, and has as many counted keepers as the
// members that run allow, who say themselves that they have all that it has.
func (f *Fleet) AwaitCopied(ctx context.Context, members ...int) error {
	running := 0
	for _, m := range f.Members {
		if m.running {
			running++
		}
	}
	for _, i := range members {
		err := f.Await(ctx, i, "copies that count", func(s node.Status) bool {
			level := 0
			for _, k := range s.Keepers {
				if k.Counts && k.Has == k.Of && k.Missed == 0 && f.has(k.Name, s.Life, k.Of) {
					level++
				}
			}
			return s.MayAct && !s.Silent && level >= min(f.Copies, running)-1
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// has says whether a member has the copy of a life up to an index.
func (f *Fleet) has(name string, life controlplane.Incarnation, index uint64) bool {
	for i, m := range f.Members {
		if m.Name != name {
			continue
		}
		s, err := f.Look(i)
		if err != nil {
			return false
		}
		for _, c := range s.Copies {
			if c.Life == life && c.Has >= index {
				return true
			}
		}
	}
	return false
}

// AwaitDone waits until the council knows that whatever a member's life owed belongs to somebody.
func (f *Fleet) AwaitDone(ctx context.Context, at int, name string, life uint64) error {
	return f.Await(ctx, at, "taker of "+name, func(s node.Status) bool {
		for _, j := range s.State.Jobs {
			if j.Life.Name == name && j.Life.Number == life {
				return j.Done
			}
		}
		return false
	})
}

// AwaitSettled waits until nothing is held at the members that run, and nobody has a notice to tell.
func (f *Fleet) AwaitSettled(members ...int) error {
	for _, i := range members {
		if err := f.Members[i].AwaitCounter("in", "held", 0); err != nil {
			return err
		}
		for told := false; !told; {
			line, err := f.Members[i].Counters("notices")
			if err != nil {
				return err
			}
			told = line["handed_back"]+line["given_up"] == line["acknowledged"]
		}
	}
	return nil
}

// Life is the number of a member's present life, as it knows it.
func (f *Fleet) Life(i int) (uint64, error) {
	s, err := f.Look(i)
	return s.Life.Number, err
}

// Broken holds what all sides saw against the rules.
func (f *Fleet) Broken() []string {
	notices := f.Agent.Notices()
	for _, p := range f.Partners {
		arrivals := p.Arrivals()
		f.Check.Saw(notices[f.told:], arrivals[f.saw[p]:])
		f.told, f.saw[p] = len(notices), len(arrivals)
	}
	return f.Check.Broken()
}

// Close ends everything.
func (f *Fleet) Close() {
	for _, m := range f.Members {
		if m.running {
			if m.stopped {
				_ = m.Signal(syscall.SIGCONT)
			}
			m.Forwarder.Kill()
		}
	}
	for _, all := range []map[[2]int]*FaultProxy{f.proxies, f.paths} {
		for _, r := range all {
			r.Close()
		}
	}
	for _, r := range f.relays {
		r.kill()
	}
	for _, a := range append(f.agents, f.Agent) {
		a.Close()
	}
	for _, p := range f.Partners {
		p.Close()
	}
}
