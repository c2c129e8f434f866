package gatherer

import (
	"cmp"
	"slices"
	"time"
)

// Late returns the shards that an answer does without, worst first: those that are expected to take longer than there is
// time, as far as the least coverage allows. Asking them would only add to the queues that make them late.
func (g *Gather) Late(expected []time.Duration, left time.Duration) []int {
	var late []int
	for i, d := range expected {
		if d > left {
			late = append(late, i)
		}
	}
	slices.SortFunc(late, func(a, b int) int { return cmp.Compare(expected[b], expected[a]) })
	return late[:min(len(late), g.plan.Shards-g.need)]
}
