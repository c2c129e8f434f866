package emulator

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"carobbend.example/carobbend"
)

// ControlPrefix is the path prefix of the control endpoint, through which faults of emulators that run as processes are
// set.
const ControlPrefix = "/control/"

// MemberState is one element of the reply to GET /control/upstreams.
type MemberState struct {
	ID         carobbend.UpstreamID `json:"id"`
	Address    string               `json:"address"`
	DataCentre carobbend.DataCentre `json:"data-centre,omitempty"`
	// Open is the number of open connections, MostOpen its maximum so far.
	Open     int           `json:"open"`
	MostOpen int           `json:"most-open"`
	Stats    UpstreamStats `json:"stats"`
	Holdings []Holding     `json:"holdings,omitempty"`
}

// States returns the state of all members in the order of their ports.
func (g *Group) States() []MemberState {
	out := make([]MemberState, 0, len(g.members))
	for _, m := range g.members {
		now, most := m.Listener.Open()
		out = append(out, MemberState{
			ID: m.Upstream.ID(), Address: m.Address, DataCentre: m.DataCentre, Open: now, MostOpen: most,
			Stats: m.Upstream.Stats(), Holdings: m.Upstream.Holdings(),
		})
	}
	return out
}

// ControlHandler returns a handler that sets the faults of the members. POST takes query parameters; upstream is a
// comma-separated list of ids that selects members, by default all:
//
//	POST /control/slow?factor=10&upstream=ID
//	POST /control/failing?on=true&upstream=ID
//	POST /control/leaving?on=true&upstream=ID
//	POST /control/silence?upstream=ID
//	POST /control/restart?upstream=ID
//	POST /control/load?value=0.1&on=true&upstream=ID
//	POST /control/hold?snapshot=2&shards=15
//	POST /control/drop?snapshot=1
//	GET  /control/executions
//	GET  /control/upstreams
func (g *Group) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	each := func(name string, f func(m *Member, p params) error) {
		mux.HandleFunc("POST "+ControlPrefix+name, func(w http.ResponseWriter, r *http.Request) {
			p := params{r: r}
			members, err := g.selectMembers(r.URL.Query().Get("upstream"))
			for i := 0; i < len(members) && err == nil; i++ {
				err = f(members[i], p)
			}
			replyControl(w, err)
		})
	}
	each("slow", func(m *Member, p params) error {
		f, err := p.float("factor")
		if err == nil {
			m.Upstream.SetSlow(f)
		}
		return err
	})
	each("load", func(m *Member, p params) error {
		on, err := p.bool("on")
		f, ferr := p.float("value")
		if err = errors.Join(err, ferr); err == nil {
			m.Upstream.SetReportedLoad(on, f)
		}
		return err
	})
	each("failing", func(m *Member, p params) error { return p.set("on", m.Upstream.SetFailing) })
	each("leaving", func(m *Member, p params) error { return p.set("on", m.Upstream.SetLeaving) })
	each("silence", func(m *Member, _ params) error { m.Listener.Silence(); return nil })
	each("restart", func(m *Member, _ params) error { m.Upstream.Restart(); return nil })
	g.handleSnapshots(mux)
	mux.HandleFunc("GET "+ControlPrefix+"executions", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, g.Executions()) })
	mux.HandleFunc("GET "+ControlPrefix+"upstreams", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, g.States()) })
	return mux
}

func (g *Group) handleSnapshots(mux *http.ServeMux) {
	mux.HandleFunc("POST "+ControlPrefix+"hold", func(w http.ResponseWriter, r *http.Request) {
		s, err := params{r: r}.uint("snapshot")
		shards, serr := params{r: r}.uint("shards")
		if err = errors.Join(err, serr); err == nil {
			g.Hold(carobbend.SnapshotID(s), int(shards))
		}
		replyControl(w, err)
	})
	mux.HandleFunc("POST "+ControlPrefix+"drop", func(w http.ResponseWriter, r *http.Request) {
		s, err := params{r: r}.uint("snapshot")
		if err == nil {
			g.Drop(carobbend.SnapshotID(s))
		}
		replyControl(w, err)
	})
}

func (g *Group) selectMembers(ids string) ([]*Member, error) {
	if ids == "" {
		return g.members, nil
	}
	var out []*Member
	for id := range strings.SplitSeq(ids, ",") {
		m := g.Member(carobbend.UpstreamID(id))
		if m == nil {
			return nil, fmt.Errorf("upstream %q: no such id", id)
		}
		out = append(out, m)
	}
	return out, nil
}

// ControlHandler returns a handler that sets the faults of the store:
//
//	POST /control/outage?on=true
//	POST /control/delay?delay=50ms
//	POST /control/lose-replies?n=1
//	GET  /control/calls
func (s *Store) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	post := func(name string, f func(p params) error) {
		mux.HandleFunc("POST "+ControlPrefix+name, func(w http.ResponseWriter, r *http.Request) {
			replyControl(w, f(params{r: r}))
		})
	}
	post("outage", func(p params) error { return p.set("on", s.SetOutage) })
	post("delay", func(p params) error {
		d, err := time.ParseDuration(p.get("delay"))
		if err == nil {
			s.SetDelay(d)
		}
		return err
	})
	post("lose-replies", func(p params) error {
		n, err := p.uint("n")
		if err == nil {
			s.LoseReplies(int(n))
		}
		return err
	})
	mux.HandleFunc("GET "+ControlPrefix+"calls", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Calls()) })
	return mux
}

type params struct{ r *http.Request }

func (p params) get(name string) string { return p.r.URL.Query().Get(name) }

func (p params) float(name string) (float64, error) {
	f, err := strconv.ParseFloat(p.get(name), 64)
	if err != nil {
		return 0, fmt.Errorf("%s: expected a number, got %q", name, p.get(name))
	}
	return f, nil
}

func (p params) uint(name string) (uint64, error) {
	n, err := strconv.ParseUint(p.get(name), 10, 31)
	if err != nil {
		return 0, fmt.Errorf("%s: expected a number from 0 up, got %q", name, p.get(name))
	}
	return n, nil
}

func (p params) bool(name string) (bool, error) {
	b, err := strconv.ParseBool(p.get(name))
	if err != nil {
		return false, fmt.Errorf("%s: expected true or false, got %q", name, p.get(name))
	}
	return b, nil
}

func (p params) set(name string, f func(bool)) error {
	b, err := p.bool(name)
	if err == nil {
		f(b)
	}
	return err
}

func replyControl(w http.ResponseWriter, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
