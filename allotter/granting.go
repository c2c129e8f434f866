package allotter

import (
	"strconv"
	"time"

	"carobbend.example/carobbend/encoder"
)

// asker is the state of the exchange with one process that asks this instance for parts.
type asker struct {
	sequence uint64
	// last is when it asked last.
	last time.Duration
}

// askerMemory is how long a process that doesn't ask is remembered. Its parts end before that.
const askerMemory = 10 * time.Second

// Answer answers a request for parts of the allotments that this instance owns. Requests that are older than the last one
// are answered without effect.
func (a *Allotter) Answer(now time.Duration, from string, req *encoder.GrantRequest) *encoder.GrantReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	reply := &encoder.GrantReply{Sequence: req.GetSequence()}
	n := len(req.GetAccounts())
	returned := req.GetReturned()
	if len(returned) == 0 {
		returned = make([]uint32, n)
	}
	if from == "" || from == a.cfg.Self || len(req.GetHeld()) != n || len(req.GetWanted()) != n || len(returned) != n {
		return reply
	}
	// Each process is an asker of its own, so that a request of a former process never changes what the present one holds.
	from += "/" + strconv.FormatUint(req.GetProcess(), 36)
	s := a.askers[from]
	if s == nil {
		s = &asker{}
		a.askers[from] = s
	}
	if req.GetSequence() <= s.sequence {
		return reply
	}
	inStep := s.sequence == req.GetApplied()
	s.sequence, s.last = req.GetSequence(), now
	validity := min(grantValidity, a.authorityEnd()-now)
	if now < a.started+startWait || validity < time.Millisecond {
		return reply
	}
	reply.ValidMs, reply.Extended = uint64(validity.Milliseconds()), inStep
	until := now + validity + clockMargin
	listed := make(map[uint32]bool, n)
	for i, hash := range req.GetAccounts() {
		listed[hash] = true
		x := a.byHash[hash]
		if x == nil {
			list(reply, hash, 0, 0)
			continue
		}
		a.settle(x, now)
		// What the asker says that it holds is all that it holds: it applies no earlier reply any more.
		g := x.given[from]
		before := g.parts
		g.parts, g.wanted = int(min(req.GetHeld()[i], uint32(g.parts))), int(min(req.GetWanted()[i], whole))
		if g.parts < before {
			x.given[from] = g
			a.update(x, now)
			// The parts that came back hold no more tokens than that.
			tokens := min(float64(returned[i])/1000, x.burst*float64(before-g.parts)/whole)
			x.level = min(x.level+tokens, x.capacity())
		}
		if x.unshared {
			g.wanted = 0
		}
		a.grant(x, now, from, g, until, reply)
	}
	if !inStep {
		return reply
	}
	for _, x := range a.accounts {
		if listed[x.hash] {
			continue
		}
		a.settle(x, now)
		if g, ok := x.given[from]; ok {
			a.extend(x, now, from, g, until, reply)
		}
	}
	return reply
}

// fairParts returns the parts that a claim of wanted parts gets if the claims of all exceed what this instance owns.
func (a *Allotter) fairParts(x *account, now time.Duration, from string, wanted int) (fair, free, ownClaim int) {
	owned := a.ownParts(x, now)
	own := min(x.wanted(), owned)
	sum, others := wanted+own, 0
	for name, g := range x.given {
		if name != from {
			sum += g.wanted
			others += g.parts
		}
	}
	free = max(owned-others, 0)
	if sum <= owned {
		return wanted, free, own
	}
	return int(float64(owned) * float64(wanted) / float64(sum)), free, int(float64(owned) * float64(own) / float64(sum))
}

// grant sets the parts of an asker to what it wants as far as they are its fair part and not in use, and adds them to the reply.
// The asker gets the tokens that these parts hold.
func (a *Allotter) grant(x *account, now time.Duration, from string, g grant, until time.Duration, reply *encoder.GrantReply) {
	if g.until <= now {
		g.parts = 0
	}
	x.given[from] = g
	a.update(x, now)
	fair, free, ownClaim := a.fairParts(x, now, from, g.wanted)
	parts := max(min(fair, free-ownClaim), 0)
	if parts < g.parts && g.wanted >= g.parts && fair >= g.parts {
		// What it holds already is within its fair part.
		parts = g.parts
	}
	parts = min(parts, free)
	tokens := 0
	if parts > g.parts && x.own > 0 {
		moved := parts - g.parts
		tokens = max(int(1000*x.level*float64(moved)/float64(max(x.parts, moved))), 0)
		x.level -= float64(tokens) / 1000
		g.parts = parts
	}
	// A smaller part counts as the larger one until the asker has confirmed it.
	g.until = until
	x.given[from] = g
	if g.parts == 0 && g.wanted == 0 {
		delete(x.given, from)
	}
	a.update(x, now)
	list(reply, x.hash, parts, tokens)
}

// list adds an account to a reply.
func list(reply *encoder.GrantReply, hash uint32, parts, tokens int) {
	reply.Accounts = append(reply.Accounts, hash)
	reply.Parts = append(reply.Parts, uint32(parts))
	reply.Tokens = append(reply.Tokens, uint32(tokens))
}

// extend extends the parts of an asker that didn't list the account. It lists it in the reply only if the asker gets more of what
// it asked for before, or has to give up some since other instances claim more than is left.
func (a *Allotter) extend(x *account, now time.Duration, from string, g grant, until time.Duration, reply *encoder.GrantReply) {
	g.until = until
	x.given[from] = g
	a.update(x, now)
	fair, free, ownClaim := a.fairParts(x, now, from, g.wanted)
	more := min(fair, free-ownClaim, g.wanted) - g.parts
	switch {
	case x.unshared:
		list(reply, x.hash, 0, 0)
	case fair < g.parts:
		list(reply, x.hash, fair, 0)
	case more > 0 && more > g.parts/8:
		a.grant(x, now, from, g, until, reply)
	}
}
