package relay

import (
	"maps"
	"time"

	"mulleinbeam/internal/cluster/controlplane"
)

// reportKeep is how long a member's report counts without another: some renewals. One that has gone to another relay is counted there as well
// for so long.
const reportKeep = 2 * time.Second

// reports is what a relay's members say of the configuration that is in force there. It is not safe for concurrent use.
type reports struct {
	latest map[controlplane.Incarnation]report
}

// report is one member's.
type report struct {
	controlplane.ConfigReport
	at time.Duration
}

// take takes a member's report.
func (r *reports) take(now time.Duration, life controlplane.Incarnation, said controlplane.ConfigReport) {
	if r.latest == nil {
		r.latest = map[controlplane.Incarnation]report{}
	}
	r.latest[life] = report{said.Bounded(), now}
}

// summary adds up what was said of late; nil is nothing.
func (r *reports) summary(now time.Duration) *controlplane.ConfigSummary {
	maps.DeleteFunc(r.latest, func(_ controlplane.Incarnation, said report) bool { return now-said.at > reportKeep })
	if len(r.latest) == 0 {
		return nil
	}
	all := make(map[controlplane.Incarnation]controlplane.ConfigReport, len(r.latest))
	for life, said := range r.latest {
		all[life] = said.ConfigReport
	}
	sum := controlplane.Summarize(all)
	return &sum
}
