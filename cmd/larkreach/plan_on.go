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

// planCmd looks at where traffic goes, and orders it, through any member.
type planCmd struct {
	Show     planShowCmd    `cmd:"" help:"The plan in force: grants, places that are not well, forwarders whose own network is bad."`
	Why      planWhyCmd     `cmd:"" help:"Where a destination's traffic goes, and why."`
	History  planHistoryCmd `cmd:"" help:"What was moved, when and on what evidence, as one member heard it."`
	Freeze   planFreezeCmd  `cmd:"" help:"Have the plan stay as it is."`
	Thaw     planThawCmd    `cmd:"" help:"Take a freeze back."`
	Evacuate evacuateCmd    `cmd:"" help:"Have a place empty of traffic, without pushing the others over; says beforehand why it can't."`
	Return   planReturnCmd  `cmd:"" help:"Take an evacuation back."`
}

func (a at) plan() (node.PlanStatus, error) { return ask(a, node.GetPlan) }

func way(g plan.Quota) string {
	if g.From == g.To {
		return "near"
	}
	return "across"
}

// sites are the rows of a plan's places that show says.
func sites(p *plan.Plan, show func(plan.Site) bool) [][]string {
	rows := [][]string{{""}, {"DESTINATION", "PLACE", "STANDS", "FOR", "SLOW", "FOUND", "CUT FROM", "WHY"}}
	for _, x := range p.Sites {
		if show(x) {
			rows = append(rows, []string{
				fmt.Sprint(x.Destination), x.Place, x.Phase.String(), x.Since.Round(time.Second).String(), fmt.Sprintf("%.2f", x.Slow),
				fmt.Sprintf("%.2f", x.Found), fmt.Sprint(x.Cut), x.Why,
			})
		}
	}
	return rows
}

type planShowCmd struct{ at }

// Run prints the plan.
func (c planShowCmd) Run(io streams) error {
	s, err := c.plan()
	if err != nil {
		return err
	}
	if s.Plan == nil {
		return c.print(io, s, [][]string{{"no plan is decided: near only, and across within each one's part of the reserve"}})
	}
	rows := [][]string{{fmt.Sprintf("plan %d, holds for %v; %s goes by %d; frozen %v, evacuating %v, sick %v", s.Plan.Version, s.Plan.Hold, s.Name, s.Obeys, s.Frozen, s.Evacuating, s.Plan.Sick)},
		{""}, {"DESTINATION", "FROM", "TO", "WAY", "PER SECOND", "SHARE", "TRIAL"}}
	for _, g := range s.Plan.Grants {
		rows = append(rows, []string{fmt.Sprint(g.Destination), g.From, g.To, way(g), fmt.Sprintf("%.1f", g.Rate), fmt.Sprintf("%.2f", g.Share), fmt.Sprint(g.Trial)})
	}
	ill := func(x plan.Site) bool { return x.Phase != plan.Open || x.Slow < 1 || x.Found < 1 || len(x.Cut) > 0 }
	return c.print(io, s, append(rows, sites(s.Plan, ill)...))
}

type planWhyCmd struct {
	at
	Destination int64 `arg:"" help:"The destination's number."`
}

// Run prints what is known of one destination.
func (c planWhyCmd) Run(io streams) error {
	s, err := c.plan()
	if err != nil {
		return err
	}
	rows := [][]string{{"PLACE", "TAKES", fmt.Sprintf("%s MAY SEND", s.Name)}}
	for _, z := range slices.Sorted(maps.Keys(s.Sites[c.Destination])) {
		may := "nothing"
		if t, some := s.Targets[c.Destination][z]; some {
			if may = fmt.Sprintf("%.2f a second", t.Rate); t.Free {
				may = "as the partner takes it"
			}
			if t.Trial {
				may += ", on trial"
			}
		}
		rows = append(rows, []string{z, fmt.Sprintf("%.1f a second", s.Sites[c.Destination][z]), may})
	}
	if s.Plan != nil {
		rows = append(rows, []string{""}, []string{"FROM", "TO", "PER SECOND", "SHARE"})
		for _, g := range s.Plan.Grants {
			if g.Destination == c.Destination {
				rows = append(rows, []string{g.From, g.To, fmt.Sprintf("%.1f", g.Rate), fmt.Sprintf("%.2f", g.Share)})
			}
		}
		rows = append(rows, sites(s.Plan, func(x plan.Site) bool { return x.Destination == c.Destination })...)
	}
	rows = append(rows, []string{""})
	rows = append(rows, moves(s, c.Destination)...)
	return c.print(io, s, rows)
}

func moves(s node.PlanStatus, of int64) [][]string {
	rows := [][]string{{"HEARD", "PLAN", "DESTINATION", "PLACE", "FROM", "MOVE", "WHY"}}
	for _, d := range s.History {
		for _, m := range d.Moves {
			if of == 0 || m.Destination == of {
				rows = append(rows, []string{d.Heard.Format(time.TimeOnly), fmt.Sprint(d.Plan), fmt.Sprint(m.Destination), m.Place, m.From, m.Kind, m.Why})
			}
		}
	}
	return rows
}

type planHistoryCmd struct{ at }

// Run prints moves.
func (c planHistoryCmd) Run(io streams) error {
	s, err := c.plan()
	if err != nil {
		return err
	}
	return c.print(io, s.History, moves(s, 0))
}

// order has the council decide an operator's order, as of what the operator has seen.
func (a at) order(io streams, seen uint64, cmd controlplane.Command, done string) error {
	cmd.From = seen
	var late refused
	switch err := a.decide(cmd); {
	case errors.As(err, &late):
		return fmt.Errorf("%w: another operator was quicker, look again", late)
	case err != nil:
		return err
	}
	fmt.Fprintln(io.out, done)
	return nil
}

// freeze orders that the plan stays as it is, or goes on.
func (a at) freeze(io streams, on bool, done string) error {
	s, err := a.plan()
	if err != nil {
		return err
	}
	return a.order(io, s.Ordered, controlplane.Command{Kind: controlplane.Freeze, On: on}, done)
}

type planFreezeCmd struct{ at }

// Run freezes.
func (c planFreezeCmd) Run(io streams) error { return c.freeze(io, true, "the plan stays as it is") }

type planThawCmd struct{ at }

// Run thaws.
func (c planThawCmd) Run(io streams) error { return c.freeze(io, false, "the plan goes on") }

type evacuateCmd struct {
	at
	Place string `arg:"" help:"The zone."`
	Force bool   `name:"force" help:"Do it though something would have to be shed."`
}

// Run evacuates.
func (c evacuateCmd) Run(io streams) error {
	s, err := c.plan()
	if err != nil {
		return err
	}
	if slices.Contains(s.Evacuating, c.Place) {
		return fmt.Errorf("%s is being evacuated already", c.Place)
	}
	if s.Plan == nil {
		return fmt.Errorf("no plan is in force: nobody knows what the others could take")
	}
	needs, windows := s.Plan.Evacuation(plan.Defaults(), c.Place, s.Sites)
	shed := 0.0
	rows := [][]string{{"DESTINATION", "GOES THERE", "OTHERS HAVE", "TO BE SHED"}}
	for _, n := range needs {
		shed += n.Shed
		rows = append(rows, []string{fmt.Sprint(n.Destination), fmt.Sprintf("%.1f a second", n.Demand), fmt.Sprintf("%.1f", n.Spare), fmt.Sprintf("%.1f", n.Shed)})
	}
	if err := c.print(io, needs, rows); err != nil {
		return err
	}
	if shed > 0 && !c.Force {
		return fmt.Errorf("%.1f calls a second would fit nowhere and be turned away; --force does it all the same", shed)
	}
	return c.order(io, s.Ordered, controlplane.Command{Kind: controlplane.Evacuate, Place: c.Place, On: true}, fmt.Sprintf("%s empties within %d windows", c.Place, windows+2))
}

type planReturnCmd struct {
	at
	Place string `arg:"" help:"The zone."`
}

// Run takes an evacuation back.
func (c planReturnCmd) Run(io streams) error {
	s, err := c.plan()
	if err != nil {
		return err
	}
	if !slices.Contains(s.Evacuating, c.Place) {
		return fmt.Errorf("%s is not being evacuated", c.Place)
	}
	return c.order(io, s.Ordered, controlplane.Command{Kind: controlplane.Evacuate, Place: c.Place}, c.Place+" takes traffic again")
}
