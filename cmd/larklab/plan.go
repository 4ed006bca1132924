package main

import (
	"fmt"
	"os"
	"time"

	"mulleinbeam/internal/cluster/plan"
)

// planCmd goes through a record of evidence.
type planCmd struct {
	File     string         `arg:"" type:"existingfile" help:"What [place] record has written."`
	Headroom *float64       `help:"Share of a place's capacity that is given away at all."`
	Reserve  *float64       `help:"Share of it for members without a plan."`
	Step     *float64       `help:"Share of a place's spare by which crossings grow in a window."`
	Rest     *time.Duration `help:"How long a place that went down rests before trials count."`
	Confirm  *int           `help:"Windows in a row that a verdict needs."`
}

func set[T any](to *T, from *T) {
	if from != nil {
		*to = *from
	}
}

// Run replays.
func (c planCmd) Run() error {
	f, err := os.Open(c.File)
	if err != nil {
		return err
	}
	defer f.Close()
	edit := func(cfg *plan.Config) {
		set(&cfg.Headroom, c.Headroom)
		set(&cfg.Reserve, c.Reserve)
		set(&cfg.Step, c.Step)
		set(&cfg.Rest, c.Rest)
		set(&cfg.Confirm, c.Confirm)
	}
	return plan.Replay(f, edit, func(window int, then, now *plan.Plan) {
		show := func(when string, p *plan.Plan) {
			if p == nil {
				return
			}
			for _, m := range p.Moves {
				fmt.Printf("window %4d  %-5s plan %4d  destination %d  %-12s %s from %q: %s\n", window, when, p.Version, m.Destination, m.Kind, m.Place, m.From, m.Why)
			}
		}
		show("then", then)
		show("now", now)
	})
}
