package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/requester"
)

type queryCmd struct {
	callerFlags
	Index    string        `arg:"" help:"Index to search."`
	Text     string        `arg:"" help:"Text that is passed to the shards."`
	Limit    int           `help:"Number of items wanted, at most 1000." default:"10"`
	Deadline time.Duration `help:"Deadline of the answer, at most that of the rule file; 0 means the rule's (70 ms without a rule)." default:"0s"`
	JSON     bool          `help:"Print the answer as JSON."`
}

// Run sends the query; the exit code tells complete (0), partial (5), not run (3) and unknown (4) apart.
func (c *queryCmd) Run() error {
	return c.withRequester(func(ctx context.Context, r *requester.Requester) error {
		a, err := r.Query(ctx, carobbend.QueryRequest{
			Index: c.Index, Text: c.Text, Limit: c.Limit, DeadlineMs: float64(c.Deadline) / float64(time.Millisecond),
		})
		if err != nil {
			return callerError(err)
		}
		if c.JSON {
			if err := printJSON(a); err != nil {
				return err
			}
		} else {
			fmt.Print(formatAnswer(a))
		}
		detail := a.Detail
		if a.Outcome == carobbend.OutcomePartial {
			detail = fmt.Sprintf("%d of %d shards covered", a.Covered, a.Total)
		}
		return outcomeError(a.Outcome, detail)
	})
}

// formatAnswer returns an answer with its coverage as text.
func formatAnswer(a carobbend.Answer) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: snapshot %d, %d of %d shards, rules version %d\n", a.Outcome, a.Snapshot, a.Covered, a.Total, a.RulesVersion)
	for _, m := range a.Missing {
		fmt.Fprintf(&b, "  missing shard %d: %s\n", m.Shard, m.Reason)
	}
	for i, it := range a.Items {
		fmt.Fprintf(&b, "  %2d. %-24s %.4f\n", i+1, it.Key, it.Score)
	}
	return b.String()
}
