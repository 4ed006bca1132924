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

// Setup configures a Fleet.
type Setup struct {
	Members  int
	Founders int // the first members, initial voters of the control plane; 0 means 3, or all if there are fewer
	Copies   int // 0 means 2
	Zones    int // assigned to members in rotation; 0 means 2
	Alone    []string
	Extra    string // additional lines of [cluster]
	Program  []string
	Env      []string
	Dir      string
	Seed     uint64
	Direct   bool   // no fault proxies between members
	Off      bool   // no [cluster] table; the baseline of cost measurements
	Settings string // additional tables
	Amend    func(configuration map[string]any)
	Body     int64   // bytes of a message; 0 means 200
	Sites    int     // partners of the destination, one per zone; 0 means one partner in a zone of its own
	Relays   int     // number of control plane relays; voters do not use them
	Cores    float64 // processor cores of a member; 0 means one
	MemoryMB int     // memory limit of a member; 0 means the laboratory's default
	Paths    bool    // each member reaches the partners through its own fault proxies
}

// Member is a forwarder process with its directory.
type Member struct {
	*lab.Forwarder
	Name    string
	Links   string // address on which it accepts connections of other members
	Dir     string
	paused  bool
	running bool
}

// State returns the path of the member's state folder.
func (m *Member) State() string { return filepath.Join(m.Dir, "state") }

// Fleet runs member processes with the fault proxies between them, partners and a discovery agent. One checker
// observes all clients, arrivals and delivery reports.
type Fleet struct {
	Setup
	Partner  *lab.Endpoint // the first of Partners
	Partners []*lab.Endpoint
	Agent    *lab.Agent
	Check    *lab.Checker
	Members  []*Member

	proxies         map[[2]int]*FaultProxy
	relays          []*relayProcess
	paths           map[[2]int]*FaultProxy // by member and partner
	agents          []*lab.Agent           // of the members, if Paths is set
	mu              sync.Mutex
	events          []string
	began           time.Time
	lastMessage     int
	checkedReports  int                   // delivery reports that the checker has processed
	checkedArrivals map[*lab.Endpoint]int // arrivals that the checker has processed
}

// openedFleets counts the fleets that this process has opened.
var openedFleets atomic.Uint64

// Group is the destination of the partners.
const Group = 7

// Open prepares a fleet without starting its members. A nil partner stands for one that answers 200 at once.
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
		checkedArrivals: map[*lab.Endpoint]int{},
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
	fleet := openedFleets.Add(1)
	host := func(i int) string { // a separate address, so that other connections and listeners take no port on it
		return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%64, (uint64(os.Getpid()/64)+fleet)%256, i+1)
	}
	for i := range s.Members {
		links, err := net.Listen("tcp", host(i)+":0")
		if err != nil {
			return nil, err
		}
		defer links.Close() // kept open until the member has chosen its client port, which could otherwise be the same
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

// agentOf returns the discovery agent of a member. With Paths, the agent announces the member's fault proxies.
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

// settings returns the [cluster] settings of a member as TOML.
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

// Event records an event with the time since the fleet was opened.
func (f *Fleet) Event(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, fmt.Sprintf("%9.3f ", time.Since(f.began).Seconds())+fmt.Sprintf(format, args...))
}

// Events returns the recorded events in order.
func (f *Fleet) Events() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.events...)
}

// Start starts members concurrently and waits until each of them serves.
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

// All returns the indexes of all members.
func (f *Fleet) All() (all []int) {
	for i := range f.Members {
		all = append(all, i)
	}
	return all
}

// Kill ends a member with SIGKILL.
func (f *Fleet) Kill(i int) error {
	m := f.Members[i]
	f.Event("n%d: SIGKILL", i)
	if !m.running {
		return nil
	}
	m.running = false
	if m.paused {
		m.paused = false
	}
	_ = m.End(syscall.SIGKILL)
	return nil
}

// Stop shuts a member down with SIGTERM.
func (f *Fleet) Stop(i int) error {
	f.Event("n%d: SIGTERM", i)
	f.Members[i].running = false
	return f.Members[i].End(syscall.SIGTERM)
}

// Pause suspends a member with SIGSTOP until Wake.
func (f *Fleet) Pause(i int) error {
	f.Event("n%d: SIGSTOP", i)
	f.Members[i].paused = true
	return f.Members[i].Signal(syscall.SIGSTOP)
}

// Wake resumes a paused member.
func (f *Fleet) Wake(i int) error {
	f.Event("n%d: SIGCONT", i)
	f.Members[i].paused = false
	return f.Members[i].Signal(syscall.SIGCONT)
}

// LoseFolder deletes the state folder of a member that does not run.
func (f *Fleet) LoseFolder(i int) error {
	f.Event("n%d: folder lost", i)
	return errors.Join(os.RemoveAll(f.Members[i].State()), os.MkdirAll(f.Members[i].State(), 0o700))
}

// SaveFolder copies the state folder of a member that does not run, for RollBack.
func (f *Fleet) SaveFolder(i int) error {
	m := f.Members[i]
	return errors.Join(os.RemoveAll(m.Dir+"/saved"), os.CopyFS(m.Dir+"/saved", os.DirFS(m.State())))
}

// RollBack restores the state folder that SaveFolder copied.
func (f *Fleet) RollBack(i int) error {
	m := f.Members[i]
	f.Event("n%d: folder rolled back", i)
	return errors.Join(os.RemoveAll(m.State()), os.CopyFS(m.State(), os.DirFS(m.Dir+"/saved")))
}

// Damage flips a bit in the middle of the largest file of replicas of a member that does not run.
func (f *Fleet) Damage(i int) error {
	f.Event("n%d: replicas damaged", i)
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
		return errors.Join(err, fmt.Errorf("cluster: n%d has no replicas: %q", i, path))
	}
	file, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	at := len(held) / 2
	_, err = file.WriteAt([]byte{held[at] ^ 1}, int64(at))
	return errors.Join(err, file.Close())
}

// Proxy returns the fault proxy for connections that one member makes to another.
func (f *Fleet) Proxy(from, to int) *FaultProxy { return f.proxies[[2]int{from, to}] }

// Stall silently blocks data from one member to another, or lifts the block: requests on connections of the sender and
// responses on connections of the receiver.
func (f *Fleet) Stall(from, to int, on bool) {
	f.Event("link n%d to n%d: stalled %v", from, to, on)
	f.proxies[[2]int{from, to}].Set(There, Way{Stall: on})
	f.proxies[[2]int{to, from}].Set(Back, Way{Stall: on})
}

// Split partitions a group of members from all others: connections are reset in both directions and new ones refused,
// until Heal.
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

// Cut resets the connections between two members in both directions and refuses new ones.
func (f *Fleet) Cut(a, b int) {
	f.Event("links n%d and n%d: cut", a, b)
	f.proxies[[2]int{a, b}].Refuse(true, true)
	f.proxies[[2]int{b, a}].Refuse(true, true)
}

// CutPaths resets calls from members to partners' sites, or with silent stalls them, until Heal.
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

// Heal removes all faults of links and paths.
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

// Hand sends a new message to a member and records the answer to the client.
func (f *Fleet) Hand(i int, class string, left time.Duration) (id string, a lab.Answer) {
	f.mu.Lock()
	f.lastMessage++
	id = fmt.Sprintf("%s-%d", class, f.lastMessage)
	f.mu.Unlock()
	return id, f.HandAs(i, id, class, left)
}

// HandAs sends a message with a given id to a member and records the answer to the client.
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

// Look returns the status of a member.
func (f *Fleet) Look(i int) (node.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return node.GetStatus(ctx, f.Members[i].Links)
}

// Await polls the status of a member until holds returns true.
func (f *Fleet) Await(ctx context.Context, i int, what string, holds func(node.Status) bool) error {
	return await(ctx, f, i, what, node.GetStatus, holds)
}

// Order submits a command to the control plane through any running member and retries until it is decided.
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
				err = nil // try the next member
			}
		}
		if err != nil || !lab.Sleep(ctx, 10*time.Millisecond) {
			return errors.Join(err, ctx.Err(), errors.New(r.Refused))
		}
	}
}

// await polls a member until holds returns true or ctx ends.
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

// AwaitPlan polls the traffic plan of a member until holds returns true.
func (f *Fleet) AwaitPlan(ctx context.Context, i int, what string, holds func(node.PlanStatus) bool) error {
	return await(ctx, f, i, what, node.GetPlan, holds)
}

// AwaitFacts polls the observations that a member holds until holds returns true.
func (f *Fleet) AwaitFacts(ctx context.Context, i int, what string, holds func(node.ObservationStatus) bool) error {
	return await(ctx, f, i, what, node.GetObservations, holds)
}

// AwaitCopied waits until each of the members may act, votes if it is a voter, and has as many in-sync replicas as
// the number of running members allows. The replicas themselves must report that they hold all records.
func (f *Fleet) AwaitCopied(ctx context.Context, members ...int) error {
	running := 0
	for _, m := range f.Members {
		if m.running {
			running++
		}
	}
	for _, i := range members {
		err := f.Await(ctx, i, "in-sync replicas", func(s node.Status) bool {
			inSync := 0
			for _, k := range s.Keepers {
				if k.Counts && k.Has == k.Of && k.Missed == 0 && f.has(k.Name, s.Life, k.Of) {
					inSync++
				}
			}
			return s.MayAct && !s.Silent && inSync >= min(f.Copies, running)-1
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// has reports whether a member holds the replica of an incarnation up to an index.
func (f *Fleet) has(name string, incarnation controlplane.Incarnation, index uint64) bool {
	for i, m := range f.Members {
		if m.Name != name {
			continue
		}
		s, err := f.Look(i)
		if err != nil {
			return false
		}
		for _, c := range s.Copies {
			if c.Life == incarnation && c.Has >= index {
				return true
			}
		}
	}
	return false
}

// AwaitDone waits until the control plane records the takeover of a member's incarnation as done.
func (f *Fleet) AwaitDone(ctx context.Context, at int, name string, incarnation uint64) error {
	return f.Await(ctx, at, "takeover of "+name, func(s node.Status) bool {
		for _, j := range s.State.Jobs {
			if j.Life.Name == name && j.Life.Number == incarnation {
				return j.Done
			}
		}
		return false
	})
}

// AwaitSettled waits until the members hold no messages and all their delivery reports are acknowledged.
func (f *Fleet) AwaitSettled(members ...int) error {
	for _, i := range members {
		if err := f.Members[i].AwaitCounter("in", "held", 0); err != nil {
			return err
		}
		for reported := false; !reported; {
			line, err := f.Members[i].Counters("notices")
			if err != nil {
				return err
			}
			reported = line["handed_back"]+line["given_up"] == line["acknowledged"]
		}
	}
	return nil
}

// Life returns the number of a member's current incarnation as the member reports it.
func (f *Fleet) Life(i int) (uint64, error) {
	s, err := f.Look(i)
	return s.Life.Number, err
}

// Broken checks new arrivals and delivery reports and returns all violations found so far.
func (f *Fleet) Broken() []string {
	notices := f.Agent.Notices()
	for _, p := range f.Partners {
		arrivals := p.Arrivals()
		f.Check.Saw(notices[f.checkedReports:], arrivals[f.checkedArrivals[p]:])
		f.checkedReports, f.checkedArrivals[p] = len(notices), len(arrivals)
	}
	return f.Check.Broken()
}

// Close ends all processes, proxies, agents and partners.
func (f *Fleet) Close() {
	for _, m := range f.Members {
		if m.running {
			if m.paused {
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
