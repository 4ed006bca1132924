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

const clusterBuild = true

func execClusterProgram([]string) error { return nil } // this is larkreach-cluster

// openFleet makes this forwarder a member of the fleet that the settings describe.
func openFleet(settingsFile settings.File, cfg config, logger zerolog.Logger) (fleet, error) {
	c := settingsFile.Cluster
	voters, err := c.Council()
	if err != nil {
		return nil, err
	}
	relays, err := c.RelayList()
	if err != nil {
		return nil, err
	}
	nodeConfig := node.Config{
		Name: cfg.Name, Zone: c.Zone, Region: c.Region, Listen: c.Listen, DialAddresses: c.Via, Copies: c.Copies, ReplicaSpace: int64(c.Space),
		Timing:         controlplane.Timing{Tick: time.Duration(c.Tick), Lease: time.Duration(c.Lease), Margin: time.Duration(c.Margin)},
		ReplicaTimeout: time.Duration(c.Patience), AllowUnreplicated: map[string]bool{}, Folder: filepath.Clean(cfg.StateDir), CheckInterval: time.Duration(c.Check),
		Durability: store.Process, Logger: logger, GossipInterval: time.Duration(c.Beat), CatchUpRate: int64(c.CatchUp),
		ObservationHalfLife: time.Duration(c.Believe),
	}
	for _, f := range voters {
		nodeConfig.Founders = append(nodeConfig.Founders, controlplane.Voter{Name: f.Name, Address: f.Address})
	}
	for _, r := range relays {
		nodeConfig.Relays = append(nodeConfig.Relays, controlplane.Relay{Zone: r.Zone, Address: r.Address})
	}
	for _, class := range c.Alone {
		nodeConfig.AllowUnreplicated[class] = true
	}
	for _, class := range cfg.Settings.Classes {
		nodeConfig.DedupWindow = max(nodeConfig.DedupWindow, class.DeliveryTimeout)
	}
	if settingsFile.Bodies != nil {
		nodeConfig.DedupWindow = max(nodeConfig.DedupWindow, time.Duration(settingsFile.Bodies.Longest))
	}
	if settingsFile.Journal != nil && settingsFile.Journal.Durability != settings.DurabilityNone {
		nodeConfig.Durability = store.Batch
	}
	if nodeConfig.Locality = localityConfig(settingsFile.Place); nodeConfig.Locality != nil {
		for _, class := range cfg.Settings.Classes {
			nodeConfig.Locality.Worth[class.Name] = class.Worth
		}
	}
	return node.Open(nodeConfig)
}

// localityConfig converts the settings for the planner. Without settings it returns nil.
func localityConfig(p *settings.Place) *node.LocalityConfig {
	if p == nil {
		return nil
	}
	link := func(c settings.Crossing) plan.Link {
		return plan.Link{Delay: time.Duration(c.Delay), Price: c.Price, Capacity: c.Capacity}
	}
	out := &node.LocalityConfig{
		Topology: plan.Topology{Region: p.Regions, Within: link(p.Within), Across: link(p.Across), Pairs: map[[2]string]plan.Link{}},
		Planner:  plan.Defaults(), Window: time.Duration(p.Window), MaxMembers: p.Members, RecordFile: p.Record,
		Worth: map[string]float64{},
	}
	out.Planner.Hold, out.Planner.Reserve = time.Duration(p.Hold), p.Reserve
	for _, c := range p.Crossings {
		out.Topology.Pairs[[2]string{c.From, c.To}] = link(c.Crossing)
	}
	return out
}

func demoFleet(ctx context.Context, program []string, out io.Writer) error {
	return cluster.Demo{Program: program, Out: out}.Run(ctx)
}

// clusterCmd contains the commands that show or change a fleet, through any of its members.
type clusterCmd struct {
	Members  membersCmd  `cmd:"" help:"List the members, their incarnations and their in-sync replicas."`
	Copies   copiesCmd   `cmd:"" help:"List the replicas that a member stores, and the replication progress of its own replicas."`
	Lives    livesCmd    `cmd:"" help:"List the incarnations that have ended, and the members that took over their messages."`
	Facts    factsCmd    `cmd:"" help:"Show a member's observations of destinations, its own and those of other members, and which of them it applies."`
	Drain    drainCmd    `cmd:"" help:"Stop storing replicas on a member, before it leaves."`
	Return   returnCmd   `cmd:"" help:"Undo a drain."`
	Remove   removeCmd   `cmd:"" help:"Remove a member that has ended from the fleet."`
	Founders foundersCmd `cmd:"" help:"List the voters and learners of the control plane, and its leader."`
	Found    foundCmd    `cmd:"" help:"Add a member to the control plane: it is a learner first, and votes once it has caught up."`
	Unfound  unfoundCmd  `cmd:"" help:"Remove a voter from the control plane, while a majority of the others can be reached."`
	Rebuild  rebuildCmd  `cmd:"" help:"Start a new control plane from the folder of a stopped voter, after a majority of the voters is lost for good."`
}

// memberFlags names the member to query.
type memberFlags struct {
	At   string `name:"at" required:"" placeholder:"HOST:PORT" help:"Cluster address ([cluster] listen) of any member."`
	JSON bool   `name:"json" help:"Print JSON."`
}

// requestTimeout bounds a request to a member.
const requestTimeout = 3 * time.Second

// query sends a request to the member and waits for the answer up to requestTimeout.
func query[T any](a memberFlags, request func(ctx context.Context, address string) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	return request(ctx, a.At)
}

func (a memberFlags) status() (node.Status, error) { return query(a, node.GetStatus) }

// refusedError is the reason for which the control plane refused a command.
type refusedError string

func (r refusedError) Error() string { return string(r) }

// sendCommand has the control plane commit a command.
func (a memberFlags) sendCommand(cmd controlplane.Command) error {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	r, err := node.SendCommand(ctx, a.At, cmd)
	if err == nil && r.Refused != "" {
		err = refusedError(r.Refused)
	}
	return err
}

// print prints rows as a table, or a value as JSON.
func (a memberFlags) print(io streams, v any, rows [][]string) error {
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

type membersCmd struct{ memberFlags }

// Run prints the members.
func (c membersCmd) Run(io streams) error {
	s, err := c.status()
	if err != nil {
		return err
	}
	rows := [][]string{{"NAME", "INCARNATION", "STATE", "ZONE", "REGION", "ADDRESS", "REPLICAS"}}
	for _, name := range s.State.Names() {
		m := s.State.Members[name]
		state := "alive"
		switch {
		case !m.Alive:
			state = "ended"
		case m.Leaving:
			state = "draining"
		}
		if silentFor, unheard := s.Unheard[name]; unheard && m.Alive {
			state += fmt.Sprintf(", suspected by %s for %.1f s", s.Name, silentFor)
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

type copiesCmd struct{ memberFlags }

// Run prints the replicas.
func (c copiesCmd) Run(io streams) error {
	s, err := c.status()
	if err != nil {
		return err
	}
	rows := [][]string{{"REPLICA OF", "UP TO", "MESSAGES", "ENDED IDS", "UNKNOWN RECORDS", "CLOCK"}}
	for _, k := range s.Copies {
		rows = append(rows, []string{
			k.Life.String(), fmt.Sprint(k.Has), fmt.Sprint(k.Messages), fmt.Sprint(k.Past), fmt.Sprint(k.Unknown), fmt.Sprintf("%+.1f ms", k.SkewMS),
		})
	}
	rows = append(rows, []string{""}, []string{"REPLICAS OF " + s.Life.String(), "HAS", "OF", "IN SYNC", "UNREACHABLE", "FULL"})
	for _, k := range s.Keepers {
		rows = append(rows, []string{
			k.Name, fmt.Sprint(k.Has), fmt.Sprint(k.Of), fmt.Sprint(k.Counts), fmt.Sprintf("%.1f s", k.Missed), fmt.Sprint(k.Refuses),
		})
	}
	return c.print(io, s, rows)
}

type livesCmd struct{ memberFlags }

// Run prints the ended incarnations.
func (c livesCmd) Run(io streams) error {
	s, err := c.status()
	if err != nil {
		return err
	}
	rows := [][]string{{"INCARNATION", "ENDED AT", "REPLICAS", "TAKEN OVER BY", "DONE"}}
	for _, j := range s.State.Jobs {
		successor := "none yet"
		if j.Taker.Number > 0 {
			successor = j.Taker.String()
		}
		rows = append(rows, []string{j.Life.String(), fmt.Sprint(j.At), strings.Join(j.Keepers, ","), successor, fmt.Sprint(j.Done)})
	}
	return c.print(io, s.State.Jobs, rows)
}

type factsCmd struct{ memberFlags }

// Run prints the observations.
func (c factsCmd) Run(io streams) error {
	s, err := query(c.memberFlags, node.GetObservations)
	if err != nil {
		return err
	}
	rows := [][]string{{"DESTINATION", "ENDPOINT", "OBSERVATION", "ORIGIN", "AGE", "LEFT", "PER SECOND"}}
	for _, f := range s.Facts {
		row := []string{fmt.Sprint(f.Destination), f.Endpoint, f.Kind.String(), controlplane.Incarnation{Name: f.Origin, Number: f.Life}.String(), formatDuration(f.Age), "", ""}
		if f.Left > 0 {
			row[5] = formatDuration(f.Left)
		}
		if f.Rate > 0 {
			row[6] = fmt.Sprintf("%.1f", f.Rate)
		}
		rows = append(rows, row)
	}
	rows = append(rows, []string{""}, []string{"APPLIED", "ENDPOINT", "WAIT", "SLOW START", "LIMIT", "TRUST"})
	for _, l := range s.Heeded {
		rows = append(rows, []string{fmt.Sprint(l.Destination), string(l.Endpoint), formatDuration(l.Wait), fmt.Sprint(l.Guard), fmt.Sprintf("%.1f", l.Limit), fmt.Sprintf("%.2f", l.Trust)})
	}
	rows = append(rows, []string{""}, []string{"OWN", "RECEIVED", "REDUNDANT", "OLD", "BOUNDED", "INVALID"})
	n := s.Counts
	rows = append(rows, []string{fmt.Sprint(n.Own), fmt.Sprint(n.News), fmt.Sprint(n.Redundant), fmt.Sprint(n.Old), fmt.Sprint(n.Bounded), fmt.Sprint(n.Absurd)})
	return c.print(io, s, rows)
}

func formatDuration(d time.Duration) string { return d.Round(100 * time.Millisecond).String() }

type named struct {
	memberFlags
	Name string `arg:"" help:"The member."`
}

// sendMemberCommand has the control plane commit a command about the member.
func (n named) sendMemberCommand(io streams, cmd controlplane.Command, message string) error {
	cmd.Life.Name = n.Name
	if err := n.sendCommand(cmd); err != nil {
		return err
	}
	fmt.Fprintf(io.out, "%s %s\n", n.Name, message)
	return nil
}

type drainCmd struct{ named }

// Run drains the member.
func (c drainCmd) Run(io streams) error {
	return c.sendMemberCommand(io, controlplane.Command{Kind: controlplane.Drain, On: true}, "stores no new replicas; other members are chosen instead")
}

type returnCmd struct{ named }

// Run undoes a drain.
func (c returnCmd) Run(io streams) error {
	return c.sendMemberCommand(io, controlplane.Command{Kind: controlplane.Drain}, "stores replicas again")
}

type removeCmd struct{ named }

// Run removes the member.
func (c removeCmd) Run(io streams) error {
	return c.sendMemberCommand(io, controlplane.Command{Kind: controlplane.Remove}, "is no longer a member")
}

type foundersCmd struct{ memberFlags }

// Run prints the voters and learners.
func (c foundersCmd) Run(io streams) error {
	s, err := c.status()
	if err != nil {
		return err
	}
	rows := [][]string{{"NAME", "ADDRESS", "VOTER", "LEADER"}}
	for _, f := range s.Founders {
		rows = append(rows, []string{f.Name, f.Address, fmt.Sprint(!f.Learns), fmt.Sprint(f.Name == s.Leader)})
	}
	return c.print(io, s.Founders, rows)
}

type foundCmd struct{ named }

// Run adds a voter.
func (c foundCmd) Run(io streams) error {
	return c.sendMemberCommand(io, controlplane.Command{Kind: controlplane.ChangeVoters, On: true}, "is a learner, and votes once it has caught up (cluster founders)")
}

type unfoundCmd struct{ named }

// Run removes a voter.
func (c unfoundCmd) Run(io streams) error {
	return c.sendMemberCommand(io, controlplane.Command{Kind: controlplane.ChangeVoters}, "is no longer a voter; remove it from the settings of all members")
}

type rebuildCmd struct {
	Folder   string   `arg:"" help:"The state folder of a voter whose process has ended: the most up to date one of those left."`
	Founders []string `arg:"" help:"The voters of the new control plane, by name, including the owner of this folder."`
	Force    bool     `name:"force" help:"Make the change. Without this flag the command only prints what it would do."`
}

// Run rewrites the control plane state in the folder.
func (c rebuildCmd) Run(io streams) error {
	raftStore, stored, err := controlplane.OpenRaftStore(fsys.Dir(filepath.Join(c.Folder, node.ControlPlaneDir)), func(line string) { fmt.Fprintln(io.err, line) })
	if err != nil {
		return err
	}
	defer raftStore.Close()
	rebuilt, err := controlplane.Rebuild(stored, c.Founders)
	if err != nil {
		return err
	}
	fmt.Fprintf(io.out, "term %d, version %d becomes the start of a control plane of %s at version %d\n",
		stored.Hard.Term, max(stored.Hard.Commit, stored.Snapshot.Metadata.Index), strings.Join(c.Founders, ", "), rebuilt.Snapshot.Metadata.Index)
	if !c.Force {
		fmt.Fprintln(io.out, "nothing was changed; use --force to apply it. Voters of the old control plane must never start again with the control plane state in their old folders.")
		return nil
	}
	return raftStore.Replace(rebuilt)
}
