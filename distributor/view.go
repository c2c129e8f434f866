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

// view is derived from the membership: which instances watch the store and which peers are notified.
type view struct {
	// watching says that this instance watches the store.
	watching bool
	// peers are the live instances other than this one.
	peers []string
	// localWatchers are the other watchers of this instance's data centre.
	localWatchers []string
	// remoteWatchers are the watchers of the other data centres.
	remoteWatchers []string
	// notifyTargets are the peers that a watcher notifies: those of its data centre, and the watchers of the others.
	notifyTargets []string
}

// newView derives the view of an instance from the membership; an instance without members watches the store.
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
			v.localWatchers = append(v.localWatchers, in.Name)
		default:
			v.remoteWatchers = append(v.remoteWatchers, in.Name)
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
		v.peers = append(v.peers, in.Name)
		if in.DataCentre == self.DataCentre {
			v.notifyTargets = append(v.notifyTargets, in.Name)
		}
	}
	v.notifyTargets = append(v.notifyTargets, v.remoteWatchers...)
	return v
}

// joinPeers returns all watchers and up to maxJoinPeers random other peers.
func (v view) joinPeers(rng *rand.Rand) []string {
	out := append(append([]string(nil), v.localWatchers...), v.remoteWatchers...)
	seen := map[string]bool{}
	for _, p := range out {
		seen[p] = true
	}
	n := 0
	for _, i := range rng.Perm(len(v.peers)) {
		if p := v.peers[i]; !seen[p] && n < maxJoinPeers {
			out = append(out, p)
			n++
		}
	}
	return out
}

func pickRandom(rng *rand.Rand, names []string) (string, bool) {
	if len(names) == 0 {
		return "", false
	}
	return names[rng.IntN(len(names))], true
}
