//go:build cluster

package main

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"mulleinbeam/internal/cluster/controlplane"
	"mulleinbeam/internal/cluster/node"
	"mulleinbeam/internal/cluster/plan"
)

// planCmd contains the commands that show or change where traffic goes, through any member.
type planCmd struct {
	Show     planShowCmd    `cmd:"" help:"Show the plan in force: quotas, unhealthy locations, forwarders whose own network is bad."`
	Why      planWhyCmd     `cmd:"" help:"Show where a destination's traffic goes, and why."`
	History  planHistoryCmd `cmd:"" help:"Show which traffic was moved, when and why, as one member received it."`
	Freeze   planFreezeCmd  `cmd:"" help:"Keep the plan as it is."`
	Thaw     planThawCmd    `cmd:"" help:"Undo a freeze."`
	Evacuate evacuateCmd    `cmd:"" help:"Move all traffic away from a zone without overloading the others; first prints what would not fit."`
	Return   planReturnCmd  `cmd:"" help:"Undo an evacuation."`
}

func (a memberFlags) plan() (node.PlanStatus, error) { return query(a, node.GetPlan) }

// routeType tells whether a quota is for traffic within a zone or across zones.
func routeType(g plan.Quota) string {
	if g.From == g.To {
		return "near"
	}
	return "across"
}

// siteRows returns a table of the plan's sites for which include returns true.
func siteRows(p *plan.Plan, include func(plan.Site) bool) [][]string {
	rows := [][]string{{""}, {"DESTINATION", "PLACE", "PHASE", "FOR", "SLOW", "FOUND", "CUT FROM", "WHY"}}
	for _, x := range p.Sites {
		if include(x) {
			rows = append(rows, []string{
				fmt.Sprint(x.Destination), x.Place, x.Phase.String(), x.Since.Round(time.Second).String(), fmt.Sprintf("%.2f", x.Slow),
				fmt.Sprintf("%.2f", x.Found), fmt.Sprint(x.Cut), x.Why,
			})
		}
	}
	return rows
}

type planShowCmd struct{ memberFlags }

// Run prints the plan.
func (c planShowCmd) Run(io streams) error {
	s, err := c.plan()
	if err != nil {
		return err
	}
	if s.Plan == nil {
		return c.print(io, s, [][]string{{"no plan is in force: traffic stays near, and goes across only within each forwarder's share of the reserve"}})
	}
	rows := [][]string{{fmt.Sprintf("plan %d, holds for %v; %s follows %d; frozen %v, evacuating %v, sick %v", s.Plan.Version, s.Plan.Hold, s.Name, s.Obeys, s.Frozen, s.Evacuating, s.Plan.Sick)},
		{""}, {"DESTINATION", "FROM", "TO", "ROUTE", "PER SECOND", "SHARE", "TRIAL"}}
	for _, g := range s.Plan.Grants {
		rows = append(rows, []string{fmt.Sprint(g.Destination), g.From, g.To, routeType(g), fmt.Sprintf("%.1f", g.Rate), fmt.Sprintf("%.2f", g.Share), fmt.Sprint(g.Trial)})
	}
	unhealthy := func(x plan.Site) bool { return x.Phase != plan.Open || x.Slow < 1 || x.Found < 1 || len(x.Cut) > 0 }
	return c.print(io, s, append(rows, siteRows(s.Plan, unhealthy)...))
}

type planWhyCmd struct {
	memberFlags
	Destination int64 `arg:"" help:"The destination's number."`
}

// Run prints the plan, the quotas and the moves of one destination.
func (c planWhyCmd) Run(io streams) error {
	s, err := c.plan()
	if err != nil {
		return err
	}
	rows := [][]string{{"PLACE", "CAPACITY", fmt.Sprintf("%s MAY SEND", s.Name)}}
	for _, z := range slices.Sorted(maps.Keys(s.Sites[c.Destination])) {
		allowed := "nothing"
		if t, found := s.Targets[c.Destination][z]; found {
			if allowed = fmt.Sprintf("%.2f a second", t.Rate); t.Free {
				allowed = "whatever the destination accepts"
			}
			if t.Trial {
				allowed += ", on trial"
			}
		}
		rows = append(rows, []string{z, fmt.Sprintf("%.1f a second", s.Sites[c.Destination][z]), allowed})
	}
	if s.Plan != nil {
		rows = append(rows, []string{""}, []string{"FROM", "TO", "PER SECOND", "SHARE"})
		for _, g := range s.Plan.Grants {
			if g.Destination == c.Destination {
				rows = append(rows, []string{g.From, g.To, fmt.Sprintf("%.1f", g.Rate), fmt.Sprintf("%.2f", g.Share)})
			}
		}
		rows = append(rows, siteRows(s.Plan, func(x plan.Site) bool { return x.Destination == c.Destination })...)
	}
	rows = append(rows, []string{""})
	rows = append(rows, moveRows(s, c.Destination)...)
	return c.print(io, s, rows)
}

// moveRows returns a table of the moves of a destination, or of all if it is 0.
func moveRows(s node.PlanStatus, destination int64) [][]string {
	rows := [][]string{{"RECEIVED", "PLAN", "DESTINATION", "PLACE", "FROM", "MOVE", "WHY"}}
	for _, d := range s.History {
		for _, m := range d.Moves {
			if destination == 0 || m.Destination == destination {
				rows = append(rows, []string{d.Heard.Format(time.TimeOnly), fmt.Sprint(d.Plan), fmt.Sprint(m.Destination), m.Place, m.From, m.Kind, m.Why})
			}
		}
	}
	return rows
}

type planHistoryCmd struct{ memberFlags }

// Run prints the moves of all destinations.
func (c planHistoryCmd) Run(io streams) error {
	s, err := c.plan()
	if err != nil {
		return err
	}
	return c.print(io, s.History, moveRows(s, 0))
}

// sendOrder has the control plane commit an operator's order if no other order came after expectedOrder.
func (a memberFlags) sendOrder(io streams, expectedOrder uint64, cmd controlplane.Command, message string) error {
	cmd.From = expectedOrder
	var conflict refusedError
	switch err := a.sendCommand(cmd); {
	case errors.As(err, &conflict):
		return fmt.Errorf("%w: another operator gave an order meanwhile, check the plan again", conflict)
	case err != nil:
		return err
	}
	fmt.Fprintln(io.out, message)
	return nil
}

// setFreeze freezes the plan or undoes a freeze.
func (a memberFlags) setFreeze(io streams, on bool, message string) error {
	s, err := a.plan()
	if err != nil {
		return err
	}
	return a.sendOrder(io, s.Ordered, controlplane.Command{Kind: controlplane.Freeze, On: on}, message)
}

type planFreezeCmd struct{ memberFlags }

// Run freezes the plan.
func (c planFreezeCmd) Run(io streams) error { return c.setFreeze(io, true, "the plan is frozen") }

type planThawCmd struct{ memberFlags }

// Run undoes a freeze.
func (c planThawCmd) Run(io streams) error {
	return c.setFreeze(io, false, "the plan is no longer frozen")
}

type evacuateCmd struct {
	memberFlags
	Place string `arg:"" help:"The zone."`
	Force bool   `name:"force" help:"Evacuate even if some traffic would have to be shed."`
}

// Run evacuates a zone.
func (c evacuateCmd) Run(io streams) error {
	s, err := c.plan()
	if err != nil {
		return err
	}
	if slices.Contains(s.Evacuating, c.Place) {
		return fmt.Errorf("%s is being evacuated already", c.Place)
	}
	if s.Plan == nil {
		return fmt.Errorf("no plan is in force: the spare capacity of the other zones is unknown")
	}
	needs, windows := s.Plan.Evacuation(plan.Defaults(), c.Place, s.Sites)
	shed := 0.0
	rows := [][]string{{"DESTINATION", "DEMAND", "SPARE", "SHED"}}
	for _, n := range needs {
		shed += n.Shed
		rows = append(rows, []string{fmt.Sprint(n.Destination), fmt.Sprintf("%.1f a second", n.Demand), fmt.Sprintf("%.1f", n.Spare), fmt.Sprintf("%.1f", n.Shed)})
	}
	if err := c.print(io, needs, rows); err != nil {
		return err
	}
	if shed > 0 && !c.Force {
		return fmt.Errorf("%.1f calls a second would exceed the capacity of the other zones and be refused; use --force to evacuate anyway", shed)
	}
	return c.sendOrder(io, s.Ordered, controlplane.Command{Kind: controlplane.Evacuate, Place: c.Place, On: true}, fmt.Sprintf("%s will be empty within %d windows", c.Place, windows+2))
}

type planReturnCmd struct {
	memberFlags
	Place string `arg:"" help:"The zone."`
}

// Run undoes an evacuation.
func (c planReturnCmd) Run(io streams) error {
	s, err := c.plan()
	if err != nil {
		return err
	}
	if !slices.Contains(s.Evacuating, c.Place) {
		return fmt.Errorf("%s is not being evacuated", c.Place)
	}
	return c.sendOrder(io, s.Ordered, controlplane.Command{Kind: controlplane.Evacuate, Place: c.Place}, c.Place+" takes traffic again")
}
