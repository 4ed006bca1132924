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

// describeFor bounds how long one member is asked for what it knows.
const describeFor = 2 * time.Second

// Describe tells, for people who look at a failure, what each running member knows of the plan, and has it print its counters to its log.
func (f *Fleet) Describe() string {
	var out strings.Builder
	for i, member := range f.Members {
		if !member.running || member.paused {
			continue
		}
		_ = member.Signal(syscall.SIGUSR1) // it may be gone by now
		fmt.Fprintf(&out, "n%d: %s\n", i, f.describePlan(i))
	}
	return out.String()
}

// describePlan is a member's plan as JSON, or why there is none.
func (f *Fleet) describePlan(i int) string {
	ctx, cancel := context.WithTimeout(context.Background(), describeFor)
	defer cancel()
	status, err := node.GetPlan(ctx, f.Members[i].Links)
	if err != nil {
		return err.Error()
	}
	status.History = nil // the log has it
	text, err := json.Marshal(status)
	if err != nil {
		return err.Error()
	}
	return string(text)
}
