//go:build cluster

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rs/zerolog"

	"mulleinbeam/internal/cluster/controlplane"
	"mulleinbeam/internal/cluster/node"
	"mulleinbeam/internal/cluster/plan"
	"mulleinbeam/internal/lab/cluster"
	"mulleinbeam/internal/routing/wal/fsys"
	"mulleinbeam/internal/routing/wal/store"
	"mulleinbeam/internal/settings"
)

const clustered = true

func handOver([]string) error { return nil } // it is this program already

// openFleet opens this forwarder's part in a fleet.
func openFleet(own settings.File, cfg config, logger zerolog.Logger) (fleet, error) {
	c := own.Cluster
	founders, err := c.VoterList()
	if err != nil {
		return nil, err
	}
	relays, err := c.RelayList()
	if err != nil {
		return nil, err
	}
	setup := node.Config{
		Name: cfg.Name, Zone: c.Zone, Region: c.Region, Listen: c.Listen, DialAddresses: c.DialAddresses, Copies: c.Copies, ReplicaSpace: int64(c.ReplicaSpace),
		Timing:         controlplane.Timing{Tick: time.Duration(c.Tick), Lease: time.Duration(c.Lease), Margin: time.Duration(c.Margin)},
		ReplicaTimeout: time.Duration(c.ReplicaTimeout), AllowUnreplicated: map[string]bool{}, Folder: filepath.Clean(cfg.State), CheckInterval: time.Duration(c.CheckInterval),
		Durability: store.SyncNever, Logger: logger, GossipInterval: time.Duration(c.GossipInterval), CatchUpRate: int64(c.CatchUpRate),
		ObservationHalfLife: time.Duration(c.ObservationHalfLife),
	}
	for _, f := range founders {
		setup.Founders = append(setup.Founders, controlplane.Voter{Name: f.Name, Address: f.Address})
	}
	for _, r := range relays {
		setup.Relays = append(setup.Relays, controlplane.Relay{Zone: r.Zone, Address: r.Address})
	}
	for _, class := range c.AllowUnreplicated {
		setup.AllowUnreplicated[class] = true
	}
	for _, class := range cfg.Settings.Classes {
		setup.DedupWindow = max(setup.DedupWindow, class.DeliveryTimeout)
	}
	if own.Bodies != nil {
		setup.DedupWindow = max(setup.DedupWindow, time.Duration(own.Bodies.MaxTimeLeft))
	}
	if own.Journal != nil && own.Journal.Durability != settings.DurabilityNone {
		setup.Durability = store.SyncBatch
	}
	if setup.Locality = places(own.Place); setup.Locality != nil {
		for _, class := range cfg.Settings.Classes {
			setup.Locality.Worth[class.Name] = class.Worth
		}
	}
	return node.Open(setup)
}

// places puts the settings in the planner's terms.
func places(p *settings.Place) *node.LocalityConfig {
	if p == nil {
		return nil
	}
	crossing := func(c settings.Crossing) plan.Link {
		return plan.Link{Delay: time.Duration(c.Delay), Price: c.Price, Capacity: c.Capacity}
	}
	out := &node.LocalityConfig{
		Topology: plan.Topology{Region: p.Regions, Within: crossing(p.Within), Across: crossing(p.Across), Pairs: map[[2]string]plan.Link{}},
		Planner:  plan.Defaults(), Window: time.Duration(p.Window), MaxMembers: p.MaxMembers, RecordFile: p.RecordFile,
		Worth: map[string]float64{},
	}
	out.Planner.Hold, out.Planner.Reserve = time.Duration(p.Hold), p.Reserve
	for _, c := range p.Crossings {
		out.Topology.Pairs[[2]string{c.From, c.To}] = crossing(c.Crossing)
	}
	return out
}

func demoFleet(ctx context.Context, program []string, out io.Writer) error {
	return cluster.Demo{Program: program, Out: out}.Run(ctx)
}

// clusterCmd looks at a fleet through any of its members.
type clusterCmd struct {
	Members  membersCmd  `cmd:"" help:"Who belongs, in which life, and who keeps counted copies for whom."`
	Copies   copiesCmd   `cmd:"" help:"The copies that one member keeps, and how far its own keepers are."`
	Lives    livesCmd    `cmd:"" help:"Lives that have ended, and who took over what they owed."`
	Facts    factsCmd    `cmd:"" help:"What one member knows of partners by others' words and its own, and what it heeds."`
	Drain    drainCmd    `cmd:"" help:"Have a member keep no copies any more, before it goes."`
	Return   returnCmd   `cmd:"" help:"Take a drain back."`
	Remove   removeCmd   `cmd:"" help:"Have a member that has ended belong no longer."`
	Founders foundersCmd `cmd:"" help:"Who holds the council, who leads it, and who learns before it votes."`
	Found    foundCmd    `cmd:"" help:"Take a member into the council: it learns first, and votes once it has all that is decided."`
	Unfound  unfoundCmd  `cmd:"" help:"Let a founder go from the council, while a majority of the others can be reached."`
	Rebuild  rebuildCmd  `cmd:"" help:"Make a dead founder's folder the beginning of a new council, after a majority is lost for good."`
}

// at names the member that is asked.
type at struct {
	At   string `name:"at" required:"" placeholder:"HOST:PORT" help:"The links' address ([cluster] listen) of any member."`
	JSON bool   `name:"json" help:"Print JSON."`
}

const lookFor = 3 * time.Second

// ask asks the member, for so long at the most.
func ask[T any](a at, look func(ctx context.Context, address string) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(context.Background(), lookFor)
	defer cancel()
	return look(ctx, a.At)
}

func (a at) look() (node.Status, error) { return ask(a, node.GetStatus) }

// refused is a command that the council would not have.
type refused string

func (r refused) Error() string { return string(r) }

// decide has the council decide something.
func (a at) decide(cmd controlplane.Command) error {
	ctx, cancel := context.WithTimeout(context.Background(), lookFor)
	defer cancel()
	r, err := node.SendCommand(ctx, a.At, cmd)
	if err == nil && r.Refused != "" {
		err = refused(r.Refused)
	}
	return err
}

// print prints rows as a table, or a value as JSON.
func (a at) print(io streams, v any, rows [][]string) error {
	if a.JSON {
		e := json.NewEncoder(io.out)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	w := tabwriter.NewWriter(io.out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

type membersCmd struct{ at }

// Run prints the members.
func (c membersCmd) Run(io streams) error {
	s, err := c.look()
	if err != nil {
		return err
	}
	rows := [][]string{{"NAME", "LIFE", "STATE", "ZONE", "REGION", "ADDRESS", "KEEPERS"}}
	for _, name := range s.State.Names() {
		m := s.State.Members[name]
		state := "alive"
		switch {
		case !m.Alive:
			state = "ended"
		case m.Leaving:
			state = "draining"
		}
		if away, unheard := s.Unheard[name]; unheard && m.Alive {
			state += fmt.Sprintf(", suspected by %s for %.1f s", s.Name, away)
		}
		if m.Lost {
			state += ", folder lost"
		}
		rows = append(rows, []string{
			name, fmt.Sprint(m.Life), state, m.Zone, m.Region, m.Address, strings.Join(m.Keepers, ","),
		})
	}
	return c.print(io, s.State.Members, rows)
}

type copiesCmd struct{ at }

// Run prints the copies.
func (c copiesCmd) Run(io streams) error {
	s, err := c.look()
	if err != nil {
		return err
	}
	rows := [][]string{{"KEPT FOR", "UP TO", "MESSAGES", "ENDED IDS", "UNKNOWN RECORDS", "CLOCK"}}
	for _, k := range s.Copies {
		rows = append(rows, []string{
			k.Life.String(), fmt.Sprint(k.Has), fmt.Sprint(k.Messages), fmt.Sprint(k.Past), fmt.Sprint(k.Unknown), fmt.Sprintf("%+.1f ms", k.SkewMS),
		})
	}
	rows = append(rows, []string{""}, []string{"KEEPER OF " + s.Life.String(), "HAS", "OF", "COUNTS", "OUT OF REACH", "FULL"})
	for _, k := range s.Keepers {
		rows = append(rows, []string{
			k.Name, fmt.Sprint(k.Has), fmt.Sprint(k.Of), fmt.Sprint(k.Counts), fmt.Sprintf("%.1f s", k.Missed), fmt.Sprint(k.Refuses),
		})
	}
	return c.print(io, s, rows)
}

type livesCmd struct{ at }

// Run prints the ended lives.
func (c livesCmd) Run(io streams) error {
	s, err := c.look()
	if err != nil {
		return err
	}
	rows := [][]string{{"LIFE", "ENDED AT", "KEEPERS", "TAKER", "DONE"}}
	for _, j := range s.State.Jobs {
		taker := "nobody yet"
		if j.Taker.Number > 0 {
			taker = j.Taker.String()
		}
		rows = append(rows, []string{j.Life.String(), fmt.Sprint(j.At), strings.Join(j.Keepers, ","), taker, fmt.Sprint(j.Done)})
	}
	return c.print(io, s.State.Jobs, rows)
}

type factsCmd struct{ at }

// Run prints the facts.
func (c factsCmd) Run(io streams) error {
	s, err := ask(c.at, node.GetObservations)
	if err != nil {
		return err
	}
	rows := [][]string{{"DESTINATION", "ROUTE", "FACT", "ORIGIN", "AGE", "LEFT", "PER SECOND"}}
	for _, f := range s.Facts {
		row := []string{fmt.Sprint(f.Destination), f.Endpoint, f.Kind.String(), controlplane.Incarnation{Name: f.Origin, Number: f.Life}.String(), short(f.Age), "", ""}
		if f.Left > 0 {
			row[5] = short(f.Left)
		}
		if f.Rate > 0 {
			row[6] = fmt.Sprintf("%.1f", f.Rate)
		}
		rows = append(rows, row)
	}
	rows = append(rows, []string{""}, []string{"HEEDED", "ROUTE", "WAIT", "CARE", "LIMIT", "BELIEVED"})
	for _, l := range s.Heeded {
		rows = append(rows, []string{fmt.Sprint(l.Destination), string(l.Endpoint), short(l.Wait), fmt.Sprint(l.Guard), fmt.Sprintf("%.1f", l.Limit), fmt.Sprintf("%.2f", l.Trust)})
	}
	rows = append(rows, []string{""}, []string{"TOLD", "HEARD", "KNOWN TO ENOUGH", "OLD", "BOUNDED", "ABSURD"})
	n := s.Counts
	rows = append(rows, []string{fmt.Sprint(n.Own), fmt.Sprint(n.News), fmt.Sprint(n.Redundant), fmt.Sprint(n.Old), fmt.Sprint(n.Bounded), fmt.Sprint(n.Absurd)})
	return c.print(io, s, rows)
}

func short(d time.Duration) string { return d.Round(100 * time.Millisecond).String() }

type named struct {
	at
	Name string `arg:"" help:"The member."`
}

// order has the council decide something of a member.
func (n named) order(io streams, cmd controlplane.Command, done string) error {
	cmd.Life.Name = n.Name
	if err := n.decide(cmd); err != nil {
		return err
	}
	fmt.Fprintf(io.out, "%s %s\n", n.Name, done)
	return nil
}

type drainCmd struct{ named }

// Run drains.
func (c drainCmd) Run(io streams) error {
	return c.order(io, controlplane.Command{Kind: controlplane.Drain, On: true}, "keeps no new copies; others are chosen in its place")
}

type returnCmd struct{ named }

// Run takes a drain back.
func (c returnCmd) Run(io streams) error {
	return c.order(io, controlplane.Command{Kind: controlplane.Drain}, "keeps copies again")
}

type removeCmd struct{ named }

// Run removes.
func (c removeCmd) Run(io streams) error {
	return c.order(io, controlplane.Command{Kind: controlplane.Remove}, "belongs no longer")
}

type foundersCmd struct{ at }

// Run prints the founders.
func (c foundersCmd) Run(io streams) error {
	s, err := c.look()
	if err != nil {
		return err
	}
	rows := [][]string{{"NAME", "ADDRESS", "VOTES", "LEADS"}}
	for _, f := range s.Founders {
		rows = append(rows, []string{f.Name, f.Address, fmt.Sprint(!f.Learns), fmt.Sprint(f.Name == s.Leader)})
	}
	return c.print(io, s.Founders, rows)
}

type foundCmd struct{ named }

// Run takes a member in.
func (c foundCmd) Run(io streams) error {
	return c.order(io, controlplane.Command{Kind: controlplane.ChangeVoters, On: true}, "learns what the council has decided, and votes then (cluster founders)")
}

type unfoundCmd struct{ named }

// Run lets a founder go.
func (c unfoundCmd) Run(io streams) error {
	return c.order(io, controlplane.Command{Kind: controlplane.ChangeVoters}, "is no founder any more; take it out of everybody's settings")
}

type rebuildCmd struct {
	Folder   string   `arg:"" help:"The state folder of a founder whose process has ended: of those left, the one that knows most."`
	Founders []string `arg:"" help:"The new council's founders, by name; this folder's among them."`
	Force    bool     `name:"force" help:"Do it. Without this only what would be done is printed."`
}

// Run rebuilds.
func (c rebuildCmd) Run(io streams) error {
	keeper, kept, err := controlplane.OpenRaftStore(fsys.Dir(filepath.Join(c.Folder, node.ControlPlaneDir)), func(line string) { fmt.Fprintln(io.err, line) })
	if err != nil {
		return err
	}
	defer keeper.Close()
	fresh, err := controlplane.Rebuild(kept, c.Founders)
	if err != nil {
		return err
	}
	fmt.Fprintf(io.out, "term %d, version %d becomes the beginning of a council of %s at version %d\n",
		kept.Hard.Term, max(kept.Hard.Commit, kept.Snapshot.Metadata.Index), strings.Join(c.Founders, ", "), fresh.Snapshot.Metadata.Index)
	if !c.Force {
		fmt.Fprintln(io.out, "nothing was changed; --force does it. Founders of the old council must never start again with their old folders' council.")
		return nil
	}
	return keeper.Replace(fresh)
}
