package cluster

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"mulleinbeam/internal/cluster/controlplane"
	"mulleinbeam/internal/cluster/replication"
	"mulleinbeam/internal/lab/explore"
	"mulleinbeam/internal/routing/wal"
)

// Fault is a defect that the model contains on purpose, to test that the exploration finds it.
type Fault string

// The faults.
const (
	AckBeforeStored   Fault = "acknowledged before stored"
	TakenBeforeFenced Fault = "taken over before fenced"
	NoLeaseLook       Fault = "no lease look before the first byte"
	BehindCounts      Fault = "a keeper that is behind is counted"
	MergeNever        Fault = "the merge prefers never begun"
	DropsEnded        Fault = "catch-up drops an ended id"
)

// ModelSetup bounds the events of a model.
type ModelSetup struct {
	Messages []string // class of each message: unsafe or safe
	Copies   int
	Kills    int  // at most this many; so for the fields below
	Lost     int  // folders lost by processes that are down
	Rolled   int  // rollbacks of a replica store on disk by its last record
	Expired  int  // leases that expire while their process is alive
	Drops    int  // lost batches or acknowledgements
	Repeats  int  // repeated submissions of an ID at another forwarder
	Owned    bool // folders are lost one at a time, so that every accepted message has a copy
	Whole    bool // sending, storing and acknowledging a batch is one move; otherwise other moves may come in between
	Fault    Fault
}

// Model models three forwarders and a control plane that decides at once. It runs the program's own code for the control plane's State,
// for Owner, Store, Takeover and the merge of replicas, and for the records and replicas of the journal. The router is reduced to
// accepting a message, answering its client, starting its call and completing it, under the same conditions as in the router.
type Model struct {
	Setup    ModelSetup
	Council  *controlplane.State
	Lease    map[string]bool // whether the current incarnation holds its lease, by name
	Procs    []*process
	Net      []packet
	Messages []*messageState
	Wrong    string // the rule that a move has broken; empty if none
	version  uint64
}

// messageState is the true state of a message, independent of what the forwarders know.
type messageState struct {
	Class   string
	Told    bool // its client was answered 202
	Handed  bool
	Where   controlplane.Incarnation // incarnation that it was first submitted to
	Effects int
	Ends    map[string]bool
}

// packet is a batch or an acknowledgement in transit.
type packet struct {
	From, To int
	Batch    *replication.Batch
	Ack      *replication.Ack
	Life     controlplane.Incarnation // incarnation whose batch this is or acknowledges
}

// process is one forwarder.
type process struct {
	Name    string
	Up      bool
	Paused  bool // the process is suspended and does not notice
	Begun   bool // its incarnation has joined
	Life    uint64
	Folder  stateFolder
	Owner   *replication.Owner
	Shelf   *replication.Store
	Shelves uint64
	Thawed  bool
	View    *controlplane.State
	Held    map[string]*heldMessage // by id
	Past    map[string]bool
	Take    *replication.Takeover
	Content replication.Content
	Mark    uint64
	Unkept  []replication.DiskRecord // acknowledged but not on disk, under AckBeforeStored
}

// stateFolder is the stored state of a process, which survives a crash.
type stateFolder struct {
	Life uint64
	Log  *wal.ReplicaState // state that the records of the journal add up to
	Kept []replication.DiskRecord
	Next uint64
}

// heldMessage is a message as the router holds it.
type heldMessage struct {
	Seq               uint64
	Accept, Started   uint64 // log indexes of the accept and start records
	Begun, Out, Ended bool
	Told              bool
	Adopting          string // incarnation whose takeover is not complete yet; the message must not be sent
	Away              bool
	MayRun            bool
}

var epoch = time.Unix(1_700_000_000, 0)

// NewModel returns a model of three joined forwarders in which the replicas of n0 are in sync.
func NewModel(s ModelSetup) *Model {
	m := &Model{Setup: s, Council: controlplane.NewState(), Lease: map[string]bool{}}
	for i := range 3 {
		p := &process{Name: fmt.Sprint("n", i), Up: true}
		p.Folder = stateFolder{Log: wal.NewReplicaState(), Next: 1}
		m.Procs = append(m.Procs, p)
		m.boot(p)
		m.join(p)
	}
	for _, class := range s.Messages {
		m.Messages = append(m.Messages, &messageState{Class: class, Ends: map[string]bool{}})
	}
	for _, p := range m.Procs {
		p.View = m.Council.Clone()
	}
	// assign the replicas of n0 first, so that the exploration does not spend moves on it
	rank := m.Council.RankReplicas("n0", nil)[:s.Copies-1]
	m.decide(controlplane.Command{Kind: controlplane.SetReplicas, Life: controlplane.Incarnation{Name: "n0", Number: 1}, From: m.Council.Members["n0"].Changed, Set: rank})
	for _, p := range m.Procs {
		p.View = m.Council.Clone()
	}
	o := m.Procs[0].Owner
	o.SetReplicas(rank, nil)
	for _, name := range rank {
		k := m.proc(name)
		for range 3 {
			if o.NeedsSnapshot(name) {
				o.Snapshot(name, nil)
			}
			if b, some := o.Next(name, 0); some {
				keep, ack := k.Shelf.Append(b, 0)
				k.Folder.keep(keep)
				o.HandleAck(name, ack)
			}
		}
	}
	return m
}

func (m *Model) proc(name string) *process {
	for _, p := range m.Procs {
		if p.Name == name {
			return p
		}
	}
	return nil
}

func (m *Model) decide(c controlplane.Command) error {
	m.version++
	return m.Council.Apply(m.version, c)
}

// keep stores the records that a replica store writes to disk.
func (f *stateFolder) keep(list []replication.DiskRecord) {
	for _, k := range list {
		if k.Reset {
			f.Kept = slices.DeleteFunc(f.Kept, func(x replication.DiskRecord) bool { return x.Life == k.Life })
			if k.Index == 0 {
				continue
			}
		}
		if k.Delete {
			f.Kept = slices.DeleteFunc(f.Kept, func(x replication.DiskRecord) bool {
				return x.Life == k.Life && x.Message == k.Message && x.PastID == k.PastID
			})
			k.Delete, k.Message, k.Payload = false, 0, nil
		}
		f.Kept = append(f.Kept, k)
	}
}

// boot starts a process from its folder.
func (m *Model) boot(p *process) {
	p.Up, p.Begun, p.Thawed, p.Take, p.Owner, p.Paused = true, false, false, nil, nil, false
	p.Shelves++
	p.Shelf = replication.NewStore(p.Shelves*10 + 1)
	for _, k := range p.Folder.Kept {
		p.Shelf.Restore(k)
	}
	p.Held, p.Past, p.Unkept, p.Content = map[string]*heldMessage{}, map[string]bool{}, nil, replication.Content{}
	if p.View == nil {
		p.View = controlplane.NewState()
	}
	for _, x := range p.Folder.Log.Messages() {
		x.SettleInFlight()
		h := &heldMessage{Seq: x.Seq, Away: true, MayRun: x.MayHaveRun, Begun: x.Attempts > 0}
		if x.Owner != "" {
			h.Adopting = controlplane.Incarnation{Name: x.Owner, Number: x.Incarnation}.String()
		}
		p.Held[x.ID] = h
	}
}

// join joins a process to the cluster as a new incarnation.
func (m *Model) join(p *process) {
	c := controlplane.Command{Kind: controlplane.Join, Life: controlplane.Incarnation{Name: p.Name, Number: p.Folder.Life}, Whole: p.Folder.Life > 0, Fenced: true,
		Token: fmt.Sprint(p.Name, p.Shelves), Zone: "z" + p.Name}
	if m.decide(c) != nil {
		return
	}
	p.Life, p.Begun = m.Council.Members[p.Name].Life, true
	p.Owner = replication.NewOwner(m.incarnation(p))
	p.View = m.Council.Clone()
	m.Lease[p.Name] = true
	had := p.Folder.Life
	before := controlplane.Incarnation{Name: p.Name, Number: had}
	mine := had == 0
	// does in one step what Node.reclaim does
	if job := m.Council.TakeoverTask(before); had > 0 && job != nil && !job.Done && job.Taker == m.incarnation(p) {
		content := m.gather(p, job.Life, job.Keepers)
		m.adopt(p, job.Life, content, true)
		mine = m.decide(controlplane.Command{Kind: controlplane.CompleteTakeover, Life: before, Taker: m.incarnation(p)}) == nil
	} else if job != nil {
		mine = m.Council.CurrentOwner(before) == m.incarnation(p)
	}
	p.View = m.Council.Clone()
	for _, id := range slices.Sorted(maps.Keys(p.Held)) {
		h := p.Held[id]
		x := p.Folder.Log.Message(h.Seq)
		keep := mine
		if x.Owner != "" {
			keep = keep && m.Council.CurrentOwner(controlplane.Incarnation{Name: x.Owner, Number: x.Incarnation}) == m.incarnation(p)
		}
		if h.Adopting, h.Away = "", false; !keep {
			m.complete(p, id, true)
			p.Past[id] = true
		}
	}
	p.Folder.Life, p.Thawed = p.Life, true
}

func (m *Model) incarnation(p *process) controlplane.Incarnation {
	return controlplane.Incarnation{Name: p.Name, Number: p.Life}
}

// mayAct reports what a node reports as MayAct.
func (m *Model) mayAct(p *process) bool { return p.Up && p.Begun && p.Thawed && m.Lease[p.Name] }

// write journals a record, appends it to the owner's log and returns its index there.
func (p *process) write(payload []byte) uint64 {
	_ = p.Folder.Log.Apply(payload)
	if p.Owner == nil {
		return 0
	}
	return p.Owner.Append(payload)
}

// complete completes a message in the journal.
func (m *Model) complete(p *process, id string, known bool) {
	h := p.Held[id]
	p.write(wal.CompletedRecord(h.Seq, known, true, epoch))
	delete(p.Held, id)
	if known {
		p.Past[id] = true
	}
}

// gather fences an incarnation and merges its reachable replicas.
func (m *Model) gather(p *process, incarnation controlplane.Incarnation, replicas []string) replication.Content {
	var out replication.Content
	for _, name := range replicas {
		k := m.proc(name)
		if !k.Up {
			continue
		}
		k.Shelf.Fence(incarnation)
		if h := k.Shelf.Replica(incarnation); h != nil && h.LastIndex > 0 {
			c := replication.ContentOf(h.Content, 0)
			if m.Setup.Fault == MergeNever && out.Messages != nil {
				for seq, x := range c.Messages {
					if old := out.Messages[seq]; old != nil && !old.MayHaveRun {
						if _, o := old.InFlight(); !o && old.Attempts == 0 {
							c.Messages[seq] = old
							continue
						}
					}
					if x.Attempts == 0 {
						out.Messages[seq] = x
					}
				}
			}
			out = replication.Merge(out, c)
		}
	}
	return out
}

// adopt adds the messages of a fenced incarnation; those already held here are updated from the replicas.
func (m *Model) adopt(p *process, incarnation controlplane.Incarnation, c replication.Content, own bool) {
	for _, id := range slices.Sorted(maps.Keys(c.Past)) {
		if h := p.Held[id]; h != nil && own {
			m.complete(p, id, true)
		}
		p.Past[id] = true
		if p.Owner != nil {
			p.Owner.Append(wal.CompletedIDRecord(c.Past[id]))
		}
	}
	for _, x := range c.Ordered() {
		if p.Past[x.ID] {
			continue
		}
		if h := p.Held[x.ID]; h != nil {
			h.MayRun = h.MayRun || x.MayHaveRun || x.Attempts > 0
			continue
		}
		y := *x
		y.Seq, y.Owner, y.Incarnation = p.Folder.Next, incarnation.Name, incarnation.Number
		p.Folder.Next++
		y.SettleInFlight()
		for _, r := range wal.MessageRecords(&y) {
			p.write(r)
		}
		p.Held[y.ID] = &heldMessage{Seq: y.Seq, Away: true, Adopting: incarnation.String(), MayRun: y.MayHaveRun, Begun: y.Attempts > 0}
	}
	if p.Owner != nil {
		p.Mark = p.Owner.LastIndex()
	}
}

// Moves returns all moves that are possible in the current state.
func (m *Model) Moves() []explore.Move[*Model] {
	var out []explore.Move[*Model]
	add := func(name string, do func(*Model)) { out = append(out, explore.Move[*Model]{Name: name, Do: do}) }
	for i, p := range m.Procs {
		if !p.Up {
			add(p.Name+" restarts", func(m *Model) { m.boot(m.Procs[i]); m.join(m.Procs[i]) })
			if m.Setup.Lost > 0 {
				add(p.Name+" loses its folder", func(m *Model) {
					m.Setup.Lost--
					m.Procs[i].Folder = stateFolder{Log: wal.NewReplicaState(), Next: 1}
				})
			}
			if m.Setup.Rolled > 0 && len(p.Folder.Kept) > 0 {
				add(p.Name+"'s copies are rolled back", func(m *Model) {
					m.Setup.Rolled--
					p := m.Procs[i]
					p.Folder.Kept = p.Folder.Kept[:len(p.Folder.Kept)-1]
				})
			}
			continue
		}
		m.movesOf(i, p, add)
	}
	for n, k := range m.Net {
		if m.Procs[k.To].Paused {
			continue
		}
		add(fmt.Sprintf("n%d receives from n%d", k.To, k.From), func(m *Model) { m.deliver(n) })
		if m.Setup.Drops > 0 {
			add(fmt.Sprintf("lost, from n%d to n%d", k.From, k.To), func(m *Model) {
				m.Setup.Drops--
				k := m.Net[n]
				m.Net = slices.Delete(m.Net, n, n+1)
				if k.Batch != nil {
					m.unanswered(k.From, k.To, k.Batch.Life)
				} else {
					m.unanswered(k.To, k.From, k.Life)
				}
			})
		}
	}
	m.controlPlaneMoves(add)
	return out
}

func (m *Model) unanswered(owner, replica int, incarnation controlplane.Incarnation) {
	if p := m.Procs[owner]; p.Up && p.Owner != nil && p.Owner.Incarnation() == incarnation {
		p.Owner.HandleNoAck(m.Procs[replica].Name)
	}
}

func (m *Model) movesOf(i int, p *process, add func(string, func(*Model))) {
	if m.Setup.Kills > 0 {
		add("kill "+p.Name, func(m *Model) {
			m.Setup.Kills--
			p := m.Procs[i]
			p.Up, p.Begun, p.Thawed = false, false, false
			m.Net = slices.DeleteFunc(m.Net, func(k packet) bool {
				if k.To != i && k.From != i {
					return false
				}
				if k.Batch != nil {
					m.unanswered(k.From, k.To, k.Batch.Life)
				} else {
					m.unanswered(k.To, k.From, k.Life)
				}
				return true
			})
		})
	}
	if m.Setup.Expired > 0 && m.Lease[p.Name] && i == 0 {
		add(p.Name+" is suspended until its lease has expired", func(m *Model) {
			m.Setup.Expired--
			m.Lease[p.Name], m.Procs[i].Paused = false, true
		})
	}
	if p.Paused {
		add(p.Name+" resumes", func(m *Model) { m.Procs[i].Paused = false })
		return
	}
	if p.Begun && !m.Council.Alive(m.incarnation(p)) && !m.Lease[p.Name] {
		add(p.Name+" learns that its incarnation is fenced", func(m *Model) {
			p := m.Procs[i]
			for _, h := range p.Held {
				h.Away, h.Out = true, false
			}
			p.Thawed, p.Take = false, nil
			m.join(p)
		})
	}
	if !p.Begun || p.Owner == nil {
		return
	}
	for n, f := range m.Messages {
		m.messageMoves(i, p, n, f, add)
	}
	if m.mayAct(p) && (i == 0 || p.Owner.LastIndex() > 1) { // forwarders with nothing to replicate are left out
		member := m.Council.Members[p.Name]
		for _, name := range append(slices.Clone(member.Keepers), m.wantedReplicas(p)...) {
			if (p.Owner.CaughtUp(name) || m.Setup.Fault == BehindCounts) && !slices.Contains(member.Keepers, name) && len(member.Keepers) < m.Setup.Copies {
				add(p.Name+" counts "+name, func(m *Model) { m.countReplica(m.Procs[i], name) })
			}
		}
		if len(m.Net) < 2 {
			m.sendMoves(i, p, add)
		}
	}
	if m.mayAct(p) {
		m.takeoverMoves(i, p, add)
	}
}

func (m *Model) wantedReplicas(p *process) (out []string) {
	for _, name := range m.Council.RankReplicas(p.Name, func(name string) bool { return m.proc(name).Up }) {
		if !slices.Contains(m.Council.Members[p.Name].Keepers, name) && len(out) < m.Setup.Copies-1 {
			out = append(out, name)
		}
	}
	return out
}

// countReplica has the control plane add a replica to the counted ones; replicas that are down are removed.
func (m *Model) countReplica(p *process, name string) {
	member := m.Council.Members[p.Name]
	var set []string
	for _, k := range member.Keepers {
		if m.proc(k).Up && len(set) < m.Setup.Copies-2 {
			set = append(set, k)
		}
	}
	set = append(set, name)
	if m.decide(controlplane.Command{Kind: controlplane.SetReplicas, Life: m.incarnation(p), From: member.Changed, Set: set}) == nil {
		p.Owner.SetReplicas(set, nil)
		p.View = m.Council.Clone()
	}
}

// sendMoves adds the moves that send batches to replicas.
func (m *Model) sendMoves(i int, p *process, add func(string, func(*Model))) {
	member := m.Council.Members[p.Name]
	for _, name := range append(slices.Clone(member.Keepers), m.wantedReplicas(p)...) {
		if known := slices.Contains(p.Owner.Replicas(), name); known && !p.Owner.Due(name) {
			continue
		}
		add(p.Name+" sends to "+name, func(m *Model) {
			p := m.Procs[i]
			member := m.Council.Members[p.Name]
			p.Owner.SetReplicas(member.Keepers, m.wantedReplicas(p))
			if p.Owner.NeedsSnapshot(name) {
				p.Owner.Snapshot(name, m.snapshot(p))
			}
			for range 8 { // the position probe, the pieces of a snapshot, records
				b, some := p.Owner.Next(name, 0)
				if !some {
					return
				}
				m.Net = append(m.Net, packet{From: i, To: m.index(name), Batch: &b, Life: b.Life})
				if !m.Setup.Whole || !m.proc(name).Up || m.proc(name).Paused {
					return
				}
				m.deliver(len(m.Net) - 1)
				if len(m.Net) > 0 {
					m.deliver(len(m.Net) - 1)
				}
				if p.Owner.NeedsSnapshot(name) {
					p.Owner.Snapshot(name, m.snapshot(p))
				}
			}
		})
	}
}

func (m *Model) index(name string) int {
	return slices.IndexFunc(m.Procs, func(p *process) bool { return p.Name == name })
}

func (m *Model) snapshot(p *process) (records [][]byte) {
	for _, x := range p.Folder.Log.Messages() {
		records = append(records, wal.MessageRecords(x)...)
	}
	if m.Setup.Fault != DropsEnded {
		for _, id := range slices.Sorted(maps.Keys(p.Past)) {
			records = append(records, wal.CompletedIDRecord(wal.CompletedID{ID: id, Delivered: true, At: epoch}))
		}
	}
	return records
}

// deliver delivers a packet to its receiver.
func (m *Model) deliver(n int) {
	k := m.Net[n]
	m.Net = slices.Delete(m.Net, n, n+1)
	p := m.Procs[k.To]
	if k.Ack != nil {
		if p.Up && p.Owner != nil && p.Owner.Incarnation() == k.Life {
			p.Owner.HandleAck(m.Procs[k.From].Name, *k.Ack)
		}
		return
	}
	if !p.Up {
		m.unanswered(k.From, k.To, k.Batch.Life)
		return
	}
	keep, ack := p.Shelf.Append(*k.Batch, 0)
	if m.Setup.Fault == AckBeforeStored {
		p.Unkept = append(p.Unkept, keep...) // never written to disk
	} else {
		p.Folder.keep(keep)
	}
	m.Net = append(m.Net, packet{From: k.To, To: k.From, Ack: &ack, Life: k.Batch.Life})
}

// messageMoves adds the moves of one message at one forwarder.
func (m *Model) messageMoves(i int, p *process, n int, f *messageState, add func(string, func(*Model))) {
	id := fmt.Sprint("m", n)
	h := p.Held[id]
	strict := f.Class != "safe"
	if h == nil {
		first := i == 0 && !f.Handed
		// at any other forwarder the client itself would cause the duplicate
		again := f.Handed && m.Setup.Repeats > 0 && m.tookOver(p) && f.Where.Number == 1 && len(f.Ends) > 0
		if (first || again) && m.mayAct(p) && !p.Past[id] {
			add("client submits "+id+" to "+p.Name, func(m *Model) {
				p, f := m.Procs[i], m.Messages[n]
				if f.Handed {
					m.Setup.Repeats--
				}
				if !f.Handed {
					f.Handed, f.Where = true, m.incarnation(p)
				}
				x := &wal.Message{Seq: p.Folder.Next, ID: id, Class: f.Class, Deadline: epoch}
				p.Folder.Next++
				h := &heldMessage{Seq: x.Seq, Accept: p.write(wal.MessageRecords(x)[0])}
				p.Held[id] = h
			})
		}
		return
	}
	if !h.Told && h.Accept > 0 && !h.Away && p.Owner.HighWatermark() >= h.Accept {
		add(p.Name+" answers 202 for "+id, func(m *Model) { m.Procs[i].Held[id].Told = true; m.Messages[n].Told = true })
	}
	if h.Away || h.Adopting != "" {
		return
	}
	acts := m.mayAct(p)
	canSend := !h.Out && !(f.Class == "unsafe" && h.MayRun)
	switch {
	case canSend && h.Started == 0 && acts:
		add(p.Name+" starts "+id, func(m *Model) {
			p := m.Procs[i]
			h := p.Held[id]
			h.Started = p.write(wal.StartedRecord(h.Seq, epoch, "z"))
		})
	case canSend && h.Started > 0 && (!strict || p.Owner.HighWatermark() >= h.Started) && (acts || m.Setup.Fault == NoLeaseLook):
		add(p.Name+" writes the first byte of "+id, func(m *Model) {
			h := m.Procs[i].Held[id]
			h.Out, h.Begun = true, true
			m.Messages[n].Effects++
			for j, other := range m.Procs {
				if x := other.Held[id]; j != i && x != nil && !x.Away && x.Adopting == "" && m.mayAct(other) {
					m.Wrong = fmt.Sprintf("%s sends %s, which %s owns", m.Procs[i].Name, id, other.Name)
				}
			}
		})
	case h.Out && acts:
		add(p.Name+" receives 200 for "+id, func(m *Model) {
			m.Messages[n].Ends["delivered"] = true
			m.complete(m.Procs[i], id, true)
		})
	case f.Class == "unsafe" && h.MayRun && !h.Out && acts:
		add(p.Name+" abandons "+id+", which may have run", func(m *Model) {
			m.Messages[n].Ends["abandoned"] = true
			m.complete(m.Procs[i], id, true)
		})
	}
}

// tookOver reports whether a forwarder has completed the takeover of n0's first incarnation.
func (m *Model) tookOver(p *process) bool {
	j := m.Council.TakeoverTask(controlplane.Incarnation{Name: "n0", Number: 1})
	return p.Name != "n0" && j != nil && j.Done && j.Taker == m.incarnation(p) && p.Take == nil
}

// takeoverMoves adds the next step of a takeover.
func (m *Model) takeoverMoves(i int, p *process, add func(string, func(*Model))) {
	if p.Take == nil {
		for _, j := range m.Council.Jobs {
			if !j.Done && j.Taker == m.incarnation(p) {
				incarnation := j.Life
				add(p.Name+" starts the takeover of "+incarnation.String()+" as its successor", func(m *Model) {
					p := m.Procs[i]
					p.Take, p.View = replication.NewTakeover(incarnation, m.incarnation(p)), m.Council.Clone()
				})
			}
		}
		return
	}
	name := map[replication.TakeoverStep]string{
		replication.Gather: "gathers", replication.Stage: "stages", replication.Replicate: "waits for replication", replication.Commit: "asks the control plane", replication.Activate: "activates",
		replication.Discard: "discards", replication.Done: "is done",
	}[p.Take.Step()]
	if p.Take.Step() == replication.Replicate && len(p.Owner.InSync()) > 0 && p.Owner.HighWatermark() < p.Mark {
		return // blocked until the mark is replicated, or until this incarnation is fenced
	}
	add(p.Name+": takeover: "+name, func(m *Model) { m.takeoverStep(m.Procs[i]) })
}

func (m *Model) takeoverStep(p *process) {
	t := p.Take
	of := func(do func(id string, h *heldMessage)) {
		for _, id := range slices.Sorted(maps.Keys(p.Held)) {
			if h := p.Held[id]; h.Adopting == t.Ended.String() {
				do(id, h)
			}
		}
	}
	switch t.Step() {
	case replication.Gather:
		job := m.Council.TakeoverTask(t.Ended)
		if job == nil {
			t.Gathered(false)
			return
		}
		p.Content = m.gather(p, t.Ended, job.Keepers)
		t.Gathered(p.Content.Messages != nil)
	case replication.Stage:
		m.adopt(p, t.Ended, p.Content, false)
		t.Staged(true)
	case replication.Replicate:
		t.Replicated(true)
	case replication.Commit:
		t.Committed(true, m.decide(controlplane.Command{Kind: controlplane.CompleteTakeover, Life: t.Ended, Taker: t.Successor}) == nil)
		p.View = m.Council.Clone()
	case replication.Activate:
		of(func(_ string, h *heldMessage) { h.Adopting, h.Away = "", false })
		t.Activated(true)
	case replication.Discard:
		of(func(id string, _ *heldMessage) { m.complete(p, id, false) })
		t.Discarded()
	case replication.Done:
		p.Take, p.Content = nil, replication.Content{}
	}
}

// controlPlaneMoves adds the moves of the control plane's leader.
func (m *Model) controlPlaneMoves(add func(string, func(*Model))) {
	for _, name := range m.Council.Names() {
		member := m.Council.Members[name]
		p := m.proc(name)
		if !member.Alive {
			continue
		}
		gone := !p.Up || !m.Lease[name]
		if m.Setup.Fault == TakenBeforeFenced && name == "n0" && m.Setup.Expired > 0 {
			gone = true
		}
		if gone {
			add("the control plane fences "+name, func(m *Model) {
				if m.Setup.Fault == TakenBeforeFenced {
					m.Setup.Expired = 0
				} else {
					m.Lease[name] = false
				}
				_ = m.decide(controlplane.Command{Kind: controlplane.Fence, Life: controlplane.Incarnation{Name: name, Number: member.Life}})
			})
		}
	}
	for _, j := range m.Council.Jobs {
		if j.Done || j.Taker.Number > 0 {
			continue
		}
		best, most := "", uint64(0)
		for _, name := range j.Keepers {
			k := m.proc(name)
			if h := k.Shelf.Replica(j.Life); k.Up && k.Begun && m.Council.Alive(m.incarnation(k)) && h != nil && h.LastIndex > most {
				best, most = name, h.LastIndex
			}
		}
		if best != "" {
			incarnation := j.Life
			add("the control plane assigns the takeover of "+incarnation.String()+" to "+best, func(m *Model) {
				k := m.proc(best)
				k.Shelf.Fence(incarnation)
				_ = m.decide(controlplane.Command{Kind: controlplane.AssignTakeover, Life: incarnation, Taker: m.incarnation(k)})
			})
		}
	}
}

// Broken returns the rule that the current state breaks, or the empty string.
func (m *Model) Broken() string {
	if m.Wrong != "" {
		return m.Wrong
	}
	for n, f := range m.Messages {
		id := fmt.Sprint("m", n)
		if f.Class == "unsafe" && f.Effects > 1 {
			return id + " takes effect twice"
		}
		if f.Ends["delivered"] && f.Ends["abandoned"] && f.Effects == 0 {
			return id + " has two outcomes"
		}
		senders := 0
		for _, p := range m.Procs {
			if h := p.Held[id]; h != nil && p.Up && !h.Away && h.Adopting == "" && m.mayAct(p) {
				senders++
			}
		}
		if senders > 1 {
			return fmt.Sprintf("%d forwarders may send %s", senders, id)
		}
		if m.Setup.Owned && f.Told && len(f.Ends) == 0 && !m.owned(id) {
			return id + " was accepted and is not completed, but no folder holds it although a copy was kept"
		}
	}
	return ""
}

// owned reports whether any folder holds a message.
func (m *Model) owned(id string) bool {
	for _, p := range m.Procs {
		for _, x := range p.Folder.Log.Messages() {
			if x.ID == id {
				return true
			}
		}
		for _, k := range p.Folder.Kept {
			if len(k.Payload) > 0 && wal.ParseAcceptedID(k.Payload) == id {
				return true
			}
		}
	}
	return false
}
