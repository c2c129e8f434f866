// Package replayer records traces of queries and replays them through planner.Planner, comparing the result with
// the outcome that the trace states.
//
// A trace is a text file with one JSON object a line; empty lines and lines that start with # are skipped. Unknown
// keys are errors. The key kind is the kind of the line, and at is the time since the start of the query, such as
// "4.5ms"; it doesn't decrease from line to line, except in the outcome line. The lines come in this order:
//
//	kind      keys (those in brackets are optional)
//	trace     [timers]: "recorded" if the trace holds all timer events; otherwise the replay fires the timers
//	rules     [version], [deadline], [extra-load], [coverage]: the rules in force; no line means the defaults
//	policies  [hedge-delay], [tokens], [seed]: no hedge-delay means no hedger, no tokens means no budget
//	query     id, index, [limit], [deadline]
//	catalog   layouts: [{snapshot, replicas: [[upstream, ...] for each shard]}], newest first; replaces the previous one
//	start     starts the query; at is 0
//	reply     attempt, [items: [{key, score}]], [leaving], and [id], [snapshot], [shard], [shards] where the reply
//	          states other values than the request
//	failure   attempt, failure: a carobbend.FailureKind
//	timer     the timer fires
//	cancel    the caller cancels the query
//	send      attempt, shard, upstream, cause: a request that the planner must send at this time; a trace with
//	          send lines states all requests
//	outcome   outcome, [snapshot], [covered], [total], [missing], [items: keys, best first], [hedges], [retries],
//	          [late], [crossed]: mismatched replies, [replans], [rules-version]; at is when the answer is given. It is the
//	          last line.
//
// A trace whose timers are recorded must state all of them. A catalog line may also stand between events. start,
// reply, failure, timer and cancel may state the decisions that the policies took during the event, in order: picks
// (a replica, or "" for no capacity), spends (whether the budget allowed the request) and delay (the hedge delay).
// Without them the balancer picks the first replica not tried yet, and the budget starts with tokens, gains some for
// requests and allows an extra request while it has a token.
//
// # Usage
//
//	res, err := replayer.ReplayFile("testdata/complete.jsonl")
//	if err == nil && !res.Match() {
//		fmt.Println(res.Differences)
//	}
package replayer
