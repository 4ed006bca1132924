package main

import (
	"fmt"
	"os"
	"time"

	"mulleinbeam/internal/cluster/plan"
)

// planCmd replays recorded traffic reports.
type planCmd struct {
	File     string         `arg:"" type:"existingfile" help:"File written by the record setting of [place]."`
	Headroom *float64       `help:"Share of a site's capacity that quotas may use."`
	Reserve  *float64       `help:"Share of it kept for members without a valid plan."`
	Step     *float64       `help:"Share of a site's spare capacity by which cross-zone traffic to it may grow per window."`
	Rest     *time.Duration `help:"Ejection period of a site that went down, before probe calls count."`
	Confirm  *int           `help:"Consecutive windows that confirm a change of health."`
}

// override sets *to to *from unless from is nil.
func override[T any](to *T, from *T) {
	if from != nil {
		*to = *from
	}
}

// Run prints the moves of the recorded and of the replayed plan of each window.
func (c planCmd) Run() error {
	f, err := os.Open(c.File)
	if err != nil {
		return err
	}
	defer f.Close()
	edit := func(cfg *plan.Config) {
		override(&cfg.Headroom, c.Headroom)
		override(&cfg.Reserve, c.Reserve)
		override(&cfg.Step, c.Step)
		override(&cfg.Rest, c.Rest)
		override(&cfg.Confirm, c.Confirm)
	}
	return plan.Replay(f, edit, func(window int, recorded, replayed *plan.Plan) {
		show := func(when string, p *plan.Plan) {
			if p == nil {
				return
			}
			for _, m := range p.Moves {
				fmt.Printf("window %4d  %-5s plan %4d  destination %d  %-12s %s from %q: %s\n", window, when, p.Version, m.Destination, m.Kind, m.Place, m.From, m.Why)
			}
		}
		show("then", recorded)
		show("now", replayed)
	})
}
