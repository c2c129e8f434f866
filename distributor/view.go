package distributor

import (
	"math/rand/v2"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/publisher"
)

const (
	// watchersPerDataCentre is the number of instances of a data centre that watch the store.
	watchersPerDataCentre = 2
	// maxJoinPeers bounds the peers that a starting instance asks besides the watchers.
	maxJoinPeers = 8
)

// view is what the membership says about who watches and who is told.
type view struct {
	// watching says that this instance watches the store.
	watching bool
	// others are the live instances but this one.
	others []string
	// watchers are the other watchers of the own data centre.
	watchers []string
	// remote are the watchers of the other data centres.
	remote []string
	// notified are the peers that a watcher notifies: those of its data centre, and the watchers of the others.
	notified []string
}

// newView derives the view of an instance; without members it is alone and watches.
func newView(m carobbend.Members) view {
	var v view
	if m == nil {
		v.watching = true
		return v
	}
	self, live := m.Self(), m.Live()
	ranked := map[carobbend.DataCentre]int{}
	for _, in := range m.Preferred(publisher.Key, len(live)) {
		if ranked[in.DataCentre]++; ranked[in.DataCentre] > watchersPerDataCentre {
			continue
		}
		switch {
		case in.Name == self.Name:
			v.watching = true
		case in.DataCentre == self.DataCentre:
			v.watchers = append(v.watchers, in.Name)
		default:
			v.remote = append(v.remote, in.Name)
		}
	}
	if ranked[self.DataCentre] == 0 {
		// No instance of the data centre is preferred, for instance while all of them are leaving.
		v.watching = true
	}
	for _, in := range live {
		if in.Name == self.Name {
			continue
		}
		v.others = append(v.others, in.Name)
		if in.DataCentre == self.DataCentre {
			v.notified = append(v.notified, in.Name)
		}
	}
	v.notified = append(v.notified, v.remote...)
	return v
}

// joinPeers returns all watchers and some random others.
func (v view) joinPeers(rng *rand.Rand) []string {
	out := append(append([]string(nil), v.watchers...), v.remote...)
	seen := map[string]bool{}
	for _, p := range out {
		seen[p] = true
	}
	n := 0
	for _, i := range rng.Perm(len(v.others)) {
		if p := v.others[i]; !seen[p] && n < maxJoinPeers {
			out = append(out, p)
			n++
		}
	}
	return out
}

func pick(rng *rand.Rand, names []string) (string, bool) {
	if len(names) == 0 {
		return "", false
	}
	return names[rng.IntN(len(names))], true
}
