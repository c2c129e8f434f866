// Package replayer runs recorded traces of queries through planner.Planner and compares the result with the
// outcome that the trace states. It also records such traces.
//
// A trace is a text file with one JSON object a line; empty lines and lines that start with # are skipped. Unknown
// keys are errors. The key kind says what a line is, and at is the time since the start of the query, such as
// "4.5ms"; it never falls from line to line, but for the outcome. The lines come in this order:
//
//	kind      keys (those in brackets may be left out)
//	trace     [timers]: "recorded" where the trace holds all timer events; otherwise timers run by themselves
//	rules     [version], [deadline], [extra-load], [coverage]: the rules in force; no line means the defaults
//	policies  [hedge-delay], [tokens], [seed]: no hedge-delay means no hedger, no tokens means no budget
//	query     id, index, [limit], [deadline]
//	catalog   layouts: [{snapshot, replicas: [[upstream, ...] for each shard]}], newest first; replaces the last one
//	start     starts the query; at is 0
//	reply     attempt, [items: [{key, score}]], [leaving], and [id], [snapshot], [shard], [shards] where the reply
//	          states others than asked for
//	failure   attempt, failure: a carobbend.FailureKind
//	timer     the timer fires
//	cancel    the caller gives up
//	send      attempt, shard, upstream, cause: a request that the planner is to send at this time; a trace with
//	          such lines states all requests
//	outcome   outcome, [snapshot], [covered], [total], [missing], [items: keys, best first], [hedges], [retries],
//	          [late], [crossed], [replans], [rules-version]; at is when the answer is given. It is the last line.
//
// A trace whose timers are recorded must state all of them. A catalog line may also stand between events. start, reply, failure, timer and cancel may state the decisions
// taken during the event, in order: picks (a replica, or "" for no capacity), spends (whether the budget allowed
// it) and delay. Without them the balancer picks the first replica not asked yet, and the budget earns from tokens
// on and spends while it has a token.
//
// # Usage
//
//	res, err := replayer.ReplayFile("testdata/complete.jsonl")
//	if err == nil && !res.Match() {
//		fmt.Println(res.Differences)
//	}
package replayer
