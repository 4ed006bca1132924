package capacity

import (
	"context"
	"fmt"
	"time"

	"mulleinbeam/internal/cluster/plan"
	"mulleinbeam/internal/lab/cluster"
)

// Probes of the fleet's destinations: the planner, the merge of a zone's reports, and the gossip of observations.

const planPlaces = 6

// planInput returns a window in which every place has traffic for every destination and one destination in fifty is
// late from one place.
func planInput(destinations int) plan.Input {
	in := plan.Input{Elapsed: time.Second, Zones: map[string]plan.Summary{}, Capacity: map[int64]map[string]float64{}, Members: map[string]int{}}
	for p := range planPlaces {
		place := fmt.Sprint("z", p)
		in.Members[place] = 50
		in.Zones[place] = plan.Merge(place, []plan.Report{placeReport(place, destinations, "n0/1")})
	}
	for d := range int64(destinations) {
		in.Capacity[d] = map[string]float64{}
		for p := range planPlaces {
			in.Capacity[d][fmt.Sprint("z", p)] = 100
		}
	}
	return in
}

func placeReport(place string, destinations int, observer string) plan.Report {
	const lostEvery = 50
	r := plan.Report{Observer: observer, Place: place, Span: time.Second, Demand: map[int64]float64{}, Paths: map[plan.Path]plan.Tally{}}
	for d := range int64(destinations) {
		r.Demand[d] = 60
		tally := plan.Tally{OK: 60}
		if d%lostEvery == 0 && place == "z0" {
			tally = plan.Tally{Late: 60}
		}
		r.Paths[plan.Path{Destination: d, To: place}] = tally
	}
	return r
}

// probePlanner measures one window of the planner, the size of its plan, and the merge of a zone's reports.
func probePlanner(_ context.Context, sizes []int, effort time.Duration) ([]Series, error) {
	const reports = 50
	var t table
	t.column("plan.window", "destinations", "s", "for the planner to process one window, in six places")
	t.column("plan.bytes", "destinations", "B", "of a plan, encoded")
	t.column("plan.report.bytes", "destinations", "B", "of one member's report, encoded")
	t.column("plan.merge", "destinations", "s", "to merge the reports of 50 members of a zone")
	regions := map[string]string{}
	for p := range planPlaces {
		regions[fmt.Sprint("z", p)] = fmt.Sprint("r", p/2)
	}
	for _, n := range sizes {
		in := planInput(n)
		planner := plan.NewPlanner(plan.Defaults(), plan.Topology{Region: regions}, nil)
		var latest *plan.Plan
		for range 3 { // the planner needs several windows to judge a site
			latest, _ = planner.Step(in)
		}
		window := medianSeconds(effort, func() { latest, _ = planner.Step(in) })
		raw, err := encodeGob(latest)
		if err != nil {
			return nil, err
		}
		var list []plan.Report
		for i := range reports {
			list = append(list, placeReport("z1", n, fmt.Sprintf("n%d/1", i)))
		}
		report, err := encodeGob(list[0])
		if err != nil {
			return nil, err
		}
		merge := medianSeconds(effort, func() { plan.Merge("z1", list) })
		t.row(n, window, float64(len(raw)), float64(len(report)), merge)
	}
	return t.series, nil
}

// probeObservations simulates a fleet of thirty members in virtual time that gossip about destinations that are down.
func probeObservations(_ context.Context, sizes []int, effort time.Duration) ([]Series, error) {
	const members = 30
	var t table
	t.column("observations.bytes", "destinations down", "B/s", "sent by a member while they are down")
	t.column("observations.cpu", "destinations down", "cores", "processor time of a member's store and gossip")
	length := 8 * time.Second
	if effort == fullEffort {
		length = 15 * time.Second
	}
	for _, n := range sizes {
		r, err := cluster.Spreading{
			Members: members, Seers: 4, Destinations: n, Delay: time.Millisecond, Beat: 100 * time.Millisecond, Length: length, Seed: 1,
		}.Run()
		if err != nil {
			return nil, err
		}
		t.row(n, r.Bytes, r.CPU.Seconds())
	}
	return t.series, nil
}
