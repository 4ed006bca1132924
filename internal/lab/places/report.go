package places

import (
	"context"
	"fmt"
	"io"

	"golang.org/x/sync/errgroup"

	"mulleinbeam/internal/lab/simulation"
)

// Net returns the delivered share of the offered worth, less the price of cross-zone calls.
func (r Result) Net() float64 { return (r.Worth - r.Price) / r.Offered }

// Compare simulates each day under each policy with the same seeds. It prints the figures of each policy and the lead
// of the first policy over the others, with its confidence interval over paired seeds.
func Compare(ctx context.Context, s Setup, days []Day, policies []string, seeds, atOnce int, out io.Writer) ([][][]Result, error) {
	results := make([][][]Result, len(days))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(1, atOnce))
	for i, d := range days {
		results[i] = make([][]Result, len(policies))
		for j, p := range policies {
			results[i][j] = make([]Result, seeds)
			for k := range seeds {
				group.Go(func() (err error) {
					if ctx.Err() != nil {
						return ctx.Err()
					}
					results[i][j][k], err = Simulate(s, d, p, uint64(k+1))
					return err
				})
			}
		}
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	for i, d := range days {
		fmt.Fprintf(out, "%s, %d seeds\n", d.Name, seeds)
		for j, p := range policies {
			list := results[i][j]
			x := rowOf(p, list)
			line := fmt.Sprintf("  %-6s worth %.4f of offered, net of price %.4f  cross-zone %.3f of calls, needless %6.1f  refused %6.0f calls  overloaded %d healthy sites, %d slow ones  p99 %4.0f ms  plans %3.0f, moves %2d at most",
				p, x.Worth, x.Net, x.CrossZone, x.NeedlessCrossZone, x.Refused, x.Overloaded, x.OverloadedSlow, x.P99, x.Plans, x.Moves)
			if x.PlanRollout > 0 {
				line += fmt.Sprintf("  plan rolled out after %.1f s", x.PlanRollout)
			}
			if j > 0 {
				diffs := make([]float64, len(list))
				for k, r := range list {
					diffs[k] = results[i][0][k].Net() - r.Net()
				}
				ahead := simulation.Bootstrap(diffs, 1)
				line += fmt.Sprintf("  %s is ahead by %+.4f (%+.4f to %+.4f)", policies[0], ahead.Mean, ahead.Low, ahead.High)
			}
			fmt.Fprintln(out, line)
		}
	}
	return results, nil
}
