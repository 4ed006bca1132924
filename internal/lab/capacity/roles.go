package capacity

import (
	"fmt"
	"math"
)

// Row compares one resource need of one role at the planned size with its budget.
type Row struct {
	Role, What, Unit string
	Value            Estimate
	Budget           float64
	BudgetOf         string   // what sets the budget
	Mechanism        string   // the package and type that implement it; empty if none does
	Uses             []string // names of the series that the value is derived from
}

// Ratio returns the value divided by the budget.
func (r Row) Ratio() float64 { return r.Value.Value / r.Budget }

// Verdict reports whether the budget is met at the planned size.
func (r Row) Verdict() string {
	switch {
	case r.Mechanism == "":
		return "no mechanism"
	case r.Ratio() > 1:
		return "over by " + significant(r.Ratio())
	case r.Value.High > r.Budget:
		return "holds, not surely"
	}
	return "holds"
}

// evaluation collects the rows computed from the fits of a measurement.
type evaluation struct {
	measurement Measurement
	fits        map[string]Fit
	rows        []Row
	err         error
}

// at returns the estimate of a series at a size.
func (e *evaluation) at(name string, size float64) Estimate {
	f, known := e.fits[name]
	if !known {
		s, some := e.measurement.series(name)
		if !some {
			e.fail(fmt.Errorf("capacity: series %s was not measured", name))
			return Estimate{}
		}
		var err error
		if f, err = s.Fit(); err != nil {
			e.fail(err)
			return Estimate{}
		}
		e.fits[name] = f
	}
	return f.Estimate(size)
}

func (e *evaluation) fail(err error) {
	if e.err == nil {
		e.err = err
	}
}

func (e *evaluation) add(r Row, uses ...string) {
	r.Uses = uses
	e.rows = append(e.rows, r)
}

// Rows evaluates every role. It fails if a series is missing or cannot be fitted.
func (m Measurement) Rows(a Assumptions) ([]Row, error) {
	e := &evaluation{measurement: m, fits: map[string]Fit{}}
	e.forwarder(a)
	e.backlog(a)
	e.member(a)
	e.leader(a)
	e.relay(a)
	e.fleet(a)
	return e.rows, e.err
}

// forwarder adds the rows of the message path without a backlog.
func (e *evaluation) forwarder(a Assumptions) {
	const role = "forwarder: accept and send"
	endpoints := a.Destinations * a.EndpointsPerTarget
	work := e.at("held.accept", 1000).Plus(e.at("submit", endpoints))
	e.add(Row{Role: role, What: "decisions and journal for its events", Unit: "cores", Value: work.Times(a.EventsPerForwarder), Budget: 1,
		BudgetOf: "one core", Mechanism: "`routing.Router`, `mulleinbeam.Decider`, `wal.Log`"}, "held.accept", "submit")
	const list = "forwarder: list and module"
	e.add(Row{Role: list, What: "memory with every destination listed", Unit: "B", Value: e.at("list.memory", endpoints), Budget: a.ControlMemory,
		BudgetOf: "control-memory", Mechanism: "`mulleinbeam.Decider`"}, "list.memory")
	e.add(Row{Role: list, What: "applying a complete list again, in the router's goroutine", Unit: "s", Value: e.at("list.learn", endpoints), Budget: a.RouterStall,
		BudgetOf: "router-stall", Mechanism: "`routing.Router.Learn`"}, "list.learn")
}

// backlog adds the rows of the messages a forwarder holds and of the replica of its journal.
func (e *evaluation) backlog(a Assumptions) {
	const held = "forwarder: held backlog"
	e.add(Row{Role: held, What: "memory", Unit: "B", Value: e.at("held.memory", a.Backlog), Budget: a.ControlMemory, BudgetOf: "control-memory, the goal of issue 34",
		Mechanism: "`routing.Router`, `wal.Log`"}, "held.memory")
	e.add(Row{Role: held, What: "its events with that backlog", Unit: "cores", Value: e.at("held.accept", a.Backlog).Times(a.EventsPerForwarder), Budget: 1,
		BudgetOf: "one core", Mechanism: "`mulleinbeam.Decider`"}, "held.accept")
	const journal = "forwarder: journal"
	e.add(Row{Role: journal, What: "disk for the backlog", Unit: "B", Value: e.at("held.disk", a.Backlog), Budget: a.DiskBytes, BudgetOf: "disk-bytes",
		Mechanism: "`wal/store.Store`"}, "held.disk")
	e.add(Row{Role: journal, What: "start with the backlog", Unit: "s", Value: e.at("held.start", a.Backlog), Budget: a.StartWithin, BudgetOf: "start-within",
		Mechanism: "`wal.Open`, `routing.Router.resume`"}, "held.start")
	const replica = "replica of another's journal"
	e.add(Row{Role: replica, What: "memory", Unit: "B", Value: e.at("replica.memory", a.Backlog), Budget: a.ControlMemory, BudgetOf: "control-memory",
		Mechanism: "`replication.Replica`"}, "replica.memory")
	e.add(Row{Role: replica, What: "a snapshot using a whole link", Unit: "s", Value: e.at("replica.bytes", a.Backlog).Times(1 / a.LinkBytes), Budget: a.ForceWithin,
		BudgetOf: "a takeover within 4 s", Mechanism: "`replication.Owner`"}, "replica.bytes")
}

// member adds the rows of a forwarder's control client, which keeps the committed state and receives its changes.
func (e *evaluation) member(a Assumptions) {
	const role = "forwarder: control client"
	mean, busiest := a.changeRates()
	e.add(Row{Role: role, What: "memory of the committed state", Unit: "B", Value: e.at("state.memory", a.Forwarders), Budget: a.ControlMemory,
		BudgetOf: "control-memory", Mechanism: "`controlplane.View`"}, "state.memory")
	change := e.at("change.bytes", a.Forwarders)
	e.add(Row{Role: role, What: "committed changes received, on an ordinary day", Unit: "B/s", Value: change.Times(mean), Budget: a.ControlBytes,
		BudgetOf: "control-bytes", Mechanism: "`changelog.Log`, `changelog.Replica`"}, "change.bytes")
	e.add(Row{Role: role, What: "committed changes received, in the busiest hour", Unit: "B/s", Value: change.Times(busiest), Budget: a.ControlBytes,
		BudgetOf: "control-bytes", Mechanism: "`changelog.Log`, `changelog.Replica`"}, "change.bytes")
	work := e.at("change.learn", a.Forwarders).Plus(e.at("state.ranking", a.Forwarders))
	e.add(Row{Role: role, What: "applying them and ranking replicas, on an ordinary day", Unit: "cores", Value: work.Times(mean), Budget: a.ControlCores,
		BudgetOf: "control-cores", Mechanism: "`controlplane.State.With`, `controlplane.State.RankReplicas`"}, "change.learn", "state.ranking")
	e.add(Row{Role: role, What: "applying them and ranking replicas, in the busiest hour", Unit: "cores", Value: work.Times(busiest), Budget: a.ControlCores,
		BudgetOf: "control-cores", Mechanism: "`controlplane.State.With`, `controlplane.State.RankReplicas`"}, "change.learn", "state.ranking")
	e.add(Row{Role: role, What: "a snapshot at its start, on its average day", Unit: "B/s", Budget: a.ControlBytes, BudgetOf: "control-bytes",
		Value:     e.at("snapshot.bytes", a.Forwarders).Times(a.RestartsPerDay / a.Forwarders / (24 * 3600)),
		Mechanism: "`changelog.Log`, in pieces"}, "snapshot.bytes")
	e.add(Row{Role: role, What: "lease renewals", Unit: "B/s", Value: e.at("link.renewal.bytes", 1000).Times(a.RenewalsPerSecond), Budget: a.ControlBytes,
		BudgetOf: "control-bytes", Mechanism: "`controlplane.Client`"}, "link.renewal.bytes")
	const configuration = "distribution of configuration"
	e.add(Row{Role: configuration, What: "entries of an ordinary day", Unit: "B/s", Budget: a.ControlBytes, BudgetOf: "control-bytes",
		Value: exactEstimate(a.ChangesPerDay * a.EntryBytes / (24 * 3600)), Mechanism: "`controlplane.State`, `changelog.Log`"})
	e.add(Row{Role: configuration, What: "a changed entry applied, on an ordinary day, every destination being an entry", Unit: "cores",
		Value: e.at("config.learn", a.Destinations).Times(a.ChangesPerDay / (24 * 3600)), Budget: a.ControlCores, BudgetOf: "control-cores",
		Mechanism: "`controlplane.State.With`, `entry.Active`"}, "config.learn")
	inBusiest := math.Min(a.BusiestSecondChanges, a.RenewalsPerSecond) // a renewal returns all changes since the previous one together
	e.add(Row{Role: configuration, What: "the same in the busiest second", Unit: "cores", Value: e.at("config.learn", a.Destinations).Times(inBusiest), Budget: 1,
		BudgetOf: "one core", Mechanism: "`controlplane.State.With`, `entry.Active`"}, "config.learn")
	e.add(Row{Role: configuration, What: "memory at a member, every destination being an entry", Unit: "B", Value: e.at("config.memory", a.Destinations),
		Budget: a.ControlMemory, BudgetOf: "control-memory", Mechanism: "`controlplane.State`, `entry.Active`"}, "config.memory")
	e.add(Row{Role: configuration, What: "changes of the busiest second, applied by each voter", Unit: "cores",
		Value: e.at("config.apply", a.Destinations).Times(a.BusiestSecondChanges), Budget: 1, BudgetOf: "one goroutine", Mechanism: "`controlplane.State.Apply`"}, "config.apply")
}

// exactEstimate returns an estimate without an error interval, for a value that follows from assumptions alone.
func exactEstimate(v float64) Estimate { return Estimate{v, v, v} }

// leader adds the rows of the leading voter without relays.
func (e *evaluation) leader(a Assumptions) {
	const role = "leader of the control plane, without relays"
	mean, busiest := a.changeRates()
	change := e.at("change.bytes", a.Forwarders)
	e.add(Row{Role: role, What: "committed changes sent, in the busiest hour", Unit: "B/s", Value: change.Times(busiest * a.Forwarders), Budget: a.LinkBytes,
		BudgetOf: "link-bytes", Mechanism: "`controlplane.Server`, `changelog.Log`"}, "change.bytes")
	reading := e.at("change.encode", a.Forwarders)
	e.add(Row{Role: role, What: "reading and encoding them, on an ordinary day", Unit: "cores", Value: reading.Times(mean * a.Forwarders), Budget: 1,
		BudgetOf: "one goroutine", Mechanism: "`controlplane.Server`, `changelog.Log`"}, "change.encode")
	e.add(Row{Role: role, What: "reading and encoding them, in the busiest hour", Unit: "cores", Value: reading.Times(busiest * a.Forwarders), Budget: 1,
		BudgetOf: "one goroutine", Mechanism: "`controlplane.Server`, `changelog.Log`"}, "change.encode")
	e.add(Row{Role: role, What: "one change until every member has received it", Unit: "s", Budget: a.ForceWithin, BudgetOf: "force-within",
		Value:     reading.Times(a.Forwarders).Plus(exactEstimate(1 / a.RenewalsPerSecond)),
		Mechanism: "`controlplane.Server`, with each renewal"}, "change.encode")
	snapshots := a.Forwarders / a.Voters
	e.add(Row{Role: "voters of the control plane, without relays", What: "a snapshot for every forwarder at once, on their links", Unit: "s",
		Value: e.at("snapshot.bytes", a.Forwarders).Times(snapshots / a.LinkBytes), Budget: a.ReconnectWithin, BudgetOf: "reconnect-within",
		Mechanism: "`changelog.Log`, in pieces"}, "snapshot.bytes")
	e.add(Row{Role: "voters of the control plane, without relays", What: "a snapshot for every forwarder at once, read and encoded on all their cores", Unit: "s",
		Value: e.at("snapshot.encode", a.Forwarders).Times(snapshots / a.ServerCores), Budget: a.ReconnectWithin, BudgetOf: "reconnect-within",
		Mechanism: "`changelog.Log`, in pieces"}, "snapshot.encode")
	renewals := a.Forwarders * a.RenewalsPerSecond
	e.add(Row{Role: role, What: "lease renewals in its goroutine", Unit: "cores", Value: e.at("leader.renewal", a.Forwarders).Times(renewals), Budget: 1,
		BudgetOf: "one goroutine", Mechanism: "`controlplane.Leases`"}, "leader.renewal")
	e.add(Row{Role: role, What: "lease renewals over its links", Unit: "cores", Value: e.at("link.renewal", 1000).Times(renewals), Budget: a.ServerCores,
		BudgetOf: "server-cores", Mechanism: "`links.Serve`"}, "link.renewal")
	e.add(Row{Role: role, What: "processor time when idle", Unit: "cores", Value: e.at("leader.idle", a.Forwarders), Budget: 1, BudgetOf: "one goroutine",
		Mechanism: "`controlplane.Server`"}, "leader.idle")
	e.add(Row{Role: role, What: "committed changes in the busiest hour", Unit: "cores", Value: e.at("leader.change", a.Forwarders).Times(busiest), Budget: 1,
		BudgetOf: "one goroutine", Mechanism: "`controlplane.Server`"}, "leader.change")
	e.add(Row{Role: role, What: "all forwarders join", Unit: "s", Value: e.at("joins", a.Forwarders), Budget: a.ReconnectWithin, BudgetOf: "reconnect-within",
		Mechanism: "`controlplane.Server`"}, "joins")
}

// relay adds the rows of the relays between members and voters, and of the leader behind them.
func (e *evaluation) relay(a Assumptions) {
	const leader, role = "leader of the control plane, behind relays", "relay"
	members, incarnations := a.perRelay()
	renewals := a.Forwarders * a.RenewalsPerSecond
	_, busiest := a.changeRates()
	e.add(Row{Role: leader, What: "lease renewals in batches", Unit: "cores", Value: e.at("batch.renewal", incarnations).Times(renewals), Budget: 1,
		BudgetOf: "one goroutine", Mechanism: "`relay.Core`, `controlplane.Leases`"}, "batch.renewal")
	change := e.at("change.encode", a.Forwarders)
	e.add(Row{Role: leader, What: "committed changes of the busiest hour, read and encoded for the relays", Unit: "cores", Value: change.Times(busiest * a.Relays),
		Budget: 1, BudgetOf: "one goroutine", Mechanism: "`controlplane.Server`, `changelog.Log`"}, "change.encode")
	e.add(Row{Role: role, What: "its members' renewals", Unit: "cores", Value: e.at("relay.renewal", incarnations).Times(members * a.RenewalsPerSecond),
		Budget: a.ServerCores, BudgetOf: "server-cores", Mechanism: "`relay.Server`"}, "relay.renewal")
	e.add(Row{Role: role, What: "committed changes of the busiest hour, read and encoded for its members", Unit: "cores", Value: change.Times(busiest * members),
		Budget: a.ServerCores, BudgetOf: "server-cores", Mechanism: "`relay.Core`, `changelog.Mirror`"}, "change.encode")
	e.add(Row{Role: role, What: "one change until every member has received it", Unit: "s", Budget: a.ForceWithin, BudgetOf: "force-within",
		Value:     change.Times(a.Relays + members).Plus(exactEstimate(1/a.RenewalsPerSecond + 1/a.BatchesPerSecond)),
		Mechanism: "`relay.Server`, with each renewal"}, "change.encode")
	e.add(Row{Role: role, What: "a snapshot for each of its members at once, on its link", Unit: "s", Value: e.at("snapshot.bytes", a.Forwarders).Times(members / a.LinkBytes),
		Budget: a.ReconnectWithin, BudgetOf: "reconnect-within", Mechanism: "`changelog.Mirror`, in pieces"}, "snapshot.bytes")
	e.add(Row{Role: role, What: "a snapshot for each of its members at once, or the joins of all forwarders, read and encoded on all its cores", Unit: "s", Budget: a.ReconnectWithin,
		Value: e.at("snapshot.encode", a.Forwarders).Times(members / a.ServerCores), BudgetOf: "reconnect-within",
		Mechanism: "`changelog.Mirror`, in pieces"}, "snapshot.encode")
}

// fleet adds the rows of planning, aggregation, observations of destinations and operators' commands.
func (e *evaluation) fleet(a Assumptions) {
	e.add(Row{Role: "planner", What: "one window for all destinations", Unit: "s", Value: e.at("plan.window", a.Destinations), Budget: a.PlanWindow,
		BudgetOf: "plan-window", Mechanism: "`plan.Planner`"}, "plan.window")
	e.add(Row{Role: "planner", What: "a plan for all destinations", Unit: "B", Value: e.at("plan.bytes", a.Destinations), Budget: a.PlanBytes,
		BudgetOf: "plan-bytes", Mechanism: "`plan.Plan`"}, "plan.bytes")
	e.add(Row{Role: "zone aggregator", What: "merging its members' reports on all destinations", Unit: "s", Budget: a.PlanWindow, BudgetOf: "plan-window",
		Value:     e.at("plan.merge", a.Destinations).Times(a.Forwarders / a.Zones / a.MembersPerAggregation),
		Mechanism: "`plan.Merge`"}, "plan.merge")
	e.add(Row{Role: "zone aggregator", What: "one member's reports", Unit: "B/s", Value: e.at("plan.report.bytes", a.Destinations).Times(1 / a.PlanWindow),
		Budget: a.ControlBytes, BudgetOf: "control-bytes", Mechanism: "`plan.Report`"}, "plan.report.bytes")
	down := a.Destinations * a.DownShare
	e.add(Row{Role: "observations of destinations", What: "bytes that a member sends", Unit: "B/s", Value: e.at("observations.bytes", down), Budget: a.ControlBytes,
		BudgetOf: "control-bytes", Mechanism: "`observation.Gossip`"}, "observations.bytes")
	e.add(Row{Role: "observations of destinations", What: "a member's store and gossip", Unit: "cores", Value: e.at("observations.cpu", down), Budget: a.ControlCores,
		BudgetOf: "control-cores", Mechanism: "`observation.Store`"}, "observations.cpu")
	e.add(Row{Role: "operators' commands", What: "answer to `cluster members`", Unit: "s", Value: e.at("state.encode", a.Forwarders).Plus(e.at("state.decode", a.Forwarders)),
		Budget: a.ForceWithin, BudgetOf: "force-within", Mechanism: "`node.Status`"}, "state.encode", "state.decode")
}
