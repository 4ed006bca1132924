package relay

import (
	"maps"
	"time"

	"mulleinbeam/internal/cluster/controlplane"
)

// reportTTL is how long a member's report counts; it spans several renewals. For that time, a member that has changed
// its relay is counted at both.
const reportTTL = 2 * time.Second

// memberReports holds the configuration reports of the members of a relay. It is not safe for concurrent use.
type memberReports struct {
	byIncarnation map[controlplane.Incarnation]memberReport
}

// memberReport is the latest report of one member.
type memberReport struct {
	controlplane.ConfigReport
	receivedAt time.Duration
}

// record stores the report of a member.
func (r *memberReports) record(now time.Duration, incarnation controlplane.Incarnation, report controlplane.ConfigReport) {
	if r.byIncarnation == nil {
		r.byIncarnation = map[controlplane.Incarnation]memberReport{}
	}
	r.byIncarnation[incarnation] = memberReport{report.Bounded(), now}
}

// summary sums up the reports that have not expired; nil if there are none.
func (r *memberReports) summary(now time.Duration) *controlplane.ConfigSummary {
	maps.DeleteFunc(r.byIncarnation, func(_ controlplane.Incarnation, report memberReport) bool { return now-report.receivedAt > reportTTL })
	if len(r.byIncarnation) == 0 {
		return nil
	}
	reports := make(map[controlplane.Incarnation]controlplane.ConfigReport, len(r.byIncarnation))
	for incarnation, report := range r.byIncarnation {
		reports[incarnation] = report.ConfigReport
	}
	summary := controlplane.Summarize(reports)
	return &summary
}
