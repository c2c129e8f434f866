package requester

import (
	"fmt"

	"carobbend.example/carobbend"
)

// checkAnswer returns an error if an answer is incomplete, inconsistent or not the answer to q.
func checkAnswer(q carobbend.QueryRequest, a carobbend.QueryReply) error {
	if a.Index != q.Index {
		return fmt.Errorf("index: got %q, want %q", a.Index, q.Index)
	}
	if len(a.Items) != a.ItemCount {
		return fmt.Errorf("items: got %d, stated %d", len(a.Items), a.ItemCount)
	}
	limit := q.Limit
	if limit == 0 {
		limit = carobbend.DefaultLimit
	}
	if len(a.Items) > limit {
		return fmt.Errorf("items: got %d, asked for %d", len(a.Items), limit)
	}
	if a.Outcome != carobbend.OutcomeNotRun && a.Covered+len(a.Missing) != a.Total {
		return fmt.Errorf("coverage: %d covered and %d missing don't make %d shards", a.Covered, len(a.Missing), a.Total)
	}
	for i, m := range a.Missing {
		if m.Shard < 0 || m.Shard >= a.Total || i > 0 && m.Shard <= a.Missing[i-1].Shard {
			return fmt.Errorf("missing shards: %v are not ascending from 0 to %d", a.Missing, a.Total-1)
		}
	}
	return checkOutcome(a)
}

func checkOutcome(a carobbend.QueryReply) error {
	ok := false
	switch a.Outcome {
	case carobbend.OutcomeComplete:
		ok = a.Covered == a.Total && a.Total > 0
	case carobbend.OutcomePartial:
		ok = a.Covered < a.Total
	case carobbend.OutcomeNotRun:
		ok = a.Covered == 0 && len(a.Items) == 0
	case carobbend.OutcomeUnknown, carobbend.OutcomeDone:
	}
	if !ok {
		return fmt.Errorf("outcome %q with %d of %d shards and %d items", a.Outcome, a.Covered, a.Total, len(a.Items))
	}
	return nil
}

func checkResult(key string, r carobbend.OperationReply) error {
	if r.Key != key {
		return fmt.Errorf("key: got %q, want %q", r.Key, key)
	}
	switch r.Outcome {
	case carobbend.OutcomeDone, carobbend.OutcomeNotRun, carobbend.OutcomeUnknown:
		return nil
	case carobbend.OutcomeComplete, carobbend.OutcomePartial:
	}
	return fmt.Errorf("outcome %q is none of an operation", r.Outcome)
}
