package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"syscall"
	"time"

	"mulleinbeam/internal/cluster/node"
)

// describeTimeout bounds the request for one member's plan.
const describeTimeout = 2 * time.Second

// Describe returns the plan as each running member knows it, for the analysis of a failure, and has each member log its counters.
func (f *Fleet) Describe() string {
	var out strings.Builder
	for i, member := range f.Members {
		if !member.running || member.paused {
			continue
		}
		_ = member.Signal(syscall.SIGUSR1) // the process may have exited by now
		fmt.Fprintf(&out, "n%d: %s\n", i, f.describePlan(i))
	}
	return out.String()
}

// describePlan returns a member's plan as JSON, or the error if it cannot be read.
func (f *Fleet) describePlan(i int) string {
	ctx, cancel := context.WithTimeout(context.Background(), describeTimeout)
	defer cancel()
	status, err := node.GetPlan(ctx, f.Members[i].Links)
	if err != nil {
		return err.Error()
	}
	status.History = nil // the log holds it already
	text, err := json.Marshal(status)
	if err != nil {
		return err.Error()
	}
	return string(text)
}
