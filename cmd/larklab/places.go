package main

import (
	"errors"
	"fmt"
	"os"
	"runtime"
	"slices"

	"mulleinbeam/internal/lab/places"
)

// placesCmd plays days of a fleet in several zones and regions.
type placesCmd struct {
	Seeds    int      `default:"5" help:"Plays of each day and policy."`
	Days     []string `help:"Some of the days, by name; all if none is named."`
	Policies []string `help:"Some of the policies (plan, near, alike, alone, truth); all if none is named. The first is compared with the others."`
	Size     int      `default:"300" help:"Forwarders."`
	HTML     string   `name:"html" placeholder:"FILE" help:"A report as one page."`
}

// Run plays.
func (c placesCmd) Run() error {
	days := places.Days
	if len(c.Days) > 0 {
		days = nil
		for _, name := range c.Days {
			i := slices.IndexFunc(places.Days, func(d places.Day) bool { return d.Name == name })
			if i < 0 {
				return fmt.Errorf("no day %q", name)
			}
			days = append(days, places.Days[i])
		}
	}
	if len(c.Policies) == 0 {
		c.Policies = places.Policies
	}
	ctx, stop := interruptible()
	defer stop()
	fleet := places.Wide
	fleet.Forwarders = c.Size
	results, err := places.Compare(ctx, fleet, days, c.Policies, c.Seeds, runtime.NumCPU(), os.Stdout)
	if err != nil || c.HTML == "" {
		return err
	}
	f, err := os.Create(c.HTML)
	if err != nil {
		return err
	}
	return errors.Join(places.Page(f, fleet, days, c.Policies, results), f.Close())
}
