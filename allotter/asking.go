package allotter

import (
	"time"

	"carobbend.example/carobbend/encoder"
)

const (
	// replyTimeout is the time within which a reply is applied; a later one is dropped.
	replyTimeout = 400 * time.Millisecond
	// askInterval is the least time between two requests to one owner.
	askInterval = 300 * time.Millisecond
	// renewInterval is the time after which parts are extended. If a reply is lost, the parts end before the next one, and tokens are
	// borrowed meanwhile.
	renewInterval = grantValidity * 8 / 10
	// shortTime is the time for which an owner that granted less than asked for isn't counted on for more.
	// failurePause is the time for which an owner that didn't answer isn't asked. It doubles with each failure up to
	// maxFailurePause.
	failurePause    = 200 * time.Millisecond
	maxFailurePause = 2 * time.Second
)

// exchange is the state of the exchange with one owner.
type exchange struct {
	sequence, applied uint64
	// outstanding is the sequence of the request without a reply, 0 if there is none, and sent when the last one was sent.
	outstanding uint64
	sent        time.Duration
	// pauseUntil is the end of the pause after a failure, and failures the number of failures in a row.
	pauseUntil time.Duration
	failures   int
	// changed holds accounts whose parts a reply lowered, which the next request must confirm, with the tokens of these parts in
	// 1000ths.
	changed map[*account]uint32
	// listed holds the targets of the outstanding request, and maybeHeld the accounts of which the owner may take it that this
	// instance holds parts.
	listed    []target
	maybeHeld map[*account]bool
}

// Request is a request for parts to one owner.
type Request struct {
	To   string
	Body *encoder.GrantRequest
}

// Tick updates the estimates of the request rates and returns the requests for parts that are due. It is called a few times a
// second.
func (a *Allotter) Tick(now time.Duration) []Request {
	a.mu.Lock()
	defer a.mu.Unlock()
	elapsed := now - a.ticked
	a.ticked = now
	targets := map[string][]target{}
	for _, x := range a.accounts {
		if x.idle() {
			continue
		}
		a.settle(x, now)
		x.demand.add(x.arrived, elapsed)
		x.arrived, x.refusedNow = 0, x.refusedNow/2
		if a.byHash[x.hash] == x {
			a.target(x, now, targets)
		}
	}
	for name, s := range a.askers {
		if now > s.last+askerMemory {
			delete(a.askers, name)
		}
	}
	var out []Request
	for name, list := range targets {
		if r, ok := a.request(name, list, now); ok {
			out = append(out, r)
		}
	}
	return out
}

// target is the part of an account that an owner is to be asked for.
type target struct {
	x                       *account
	held, requested, wanted int
	// urgent says that the request can't wait until the parts are extended anyway.
	urgent bool
}

// target distributes what an account lacks over its owners.
func (a *Allotter) target(x *account, now time.Duration, out map[string][]target) {
	// Small changes aren't worth a message unless others claim the same parts.
	if w := x.wanted(); w > x.aim || w < x.aim/2 || x.contended && w+w/3 < x.aim {
		x.aim = min(w+w/6, whole)
	}
	tolerance := 2
	if x.contended {
		tolerance = 1
	}
	x.contended = false
	missing := x.aim - x.own
	for _, owner := range x.owners {
		p := x.held[owner]
		want := max(min(missing, x.shareOfOwner), 0)
		if want <= p.requested && want > p.requested/tolerance {
			want = p.requested
		}
		e := a.asked[owner]
		if p.parts < p.requested || e != nil && now < e.pauseUntil {
			// The owner grants what it can.
			missing -= p.parts
		} else {
			missing -= want
		}
		if want == 0 && p.parts == 0 && (e == nil || !e.maybeHeld[x]) {
			continue
		}
		urgent := want > p.requested && x.pressed()
		out[owner] = append(out[owner], target{x: x, held: p.parts, requested: p.requested, wanted: want, urgent: urgent})
	}
}

// exchangeWith returns the state of the exchange with an owner.
func (a *Allotter) exchangeWith(owner string) *exchange {
	e := a.asked[owner]
	if e == nil {
		e = &exchange{changed: map[*account]uint32{}, maybeHeld: map[*account]bool{}, sent: -renewInterval}
		a.asked[owner] = e
	}
	return e
}

// request returns the request to an owner if one is due.
func (a *Allotter) request(owner string, list []target, now time.Duration) (Request, bool) {
	e := a.exchangeWith(owner)
	if e.outstanding != 0 && now < e.sent+replyTimeout || now < e.pauseUntil || now < e.sent+askInterval {
		return Request{}, false
	}
	// A part that was lowered can be granted to others only once that is confirmed.
	due := now >= e.sent+renewInterval || len(e.changed) > 0
	inStep := e.applied == e.sequence
	body := &encoder.GrantRequest{Process: a.process, Sequence: e.sequence + 1, Applied: e.applied}
	var listed []target
	for _, t := range list {
		due = due || t.urgent
		// After a lost reply nothing is extended that isn't listed.
		_, changed := e.changed[t.x]
		if !inStep || changed || t.wanted != t.requested || t.wanted == 0 {
			listed = append(listed, t)
		}
	}
	if !due {
		return Request{}, false
	}
	var returned []uint32
	anyTokens := false
	for _, t := range listed {
		if t.wanted < t.held {
			// What isn't needed is given up before the owner knows.
			e.changed[t.x] += a.giveUp(t.x, now, owner, t.wanted)
		}
		returned = append(returned, e.changed[t.x])
		anyTokens = anyTokens || e.changed[t.x] > 0
		body.Accounts = append(body.Accounts, t.x.hash)
		body.Held = append(body.Held, uint32(min(t.held, t.wanted)))
		body.Wanted = append(body.Wanted, uint32(t.wanted))
		e.maybeHeld[t.x] = true
	}
	if anyTokens {
		body.Returned = returned
	}
	e.sequence++
	e.outstanding, e.sent, e.listed = e.sequence, now, listed
	clear(e.changed)
	return Request{To: owner, Body: body}, true
}

// Accept applies the reply of an owner to the request that was sent to it last.
func (a *Allotter) Accept(now time.Duration, owner string, reply *encoder.GrantReply) {
	a.mu.Lock()
	defer a.mu.Unlock()
	e := a.asked[owner]
	n := len(reply.GetAccounts())
	if e == nil || e.outstanding == 0 || reply.GetSequence() != e.outstanding || now > e.sent+replyTimeout ||
		len(reply.GetParts()) != n || len(reply.GetTokens()) != n {
		return
	}
	e.outstanding, e.applied = 0, e.sequence
	if reply.GetValidMs() == 0 {
		e.applied = 0
		e.fail(now)
		return
	}
	e.failures = 0
	for _, t := range e.listed {
		a.settle(t.x, now)
		if t.wanted == 0 {
			delete(e.maybeHeld, t.x)
		}
		p := t.x.held[owner]
		p.requested = t.wanted
		t.x.held[owner] = p
	}
	until := e.sent + min(time.Duration(reply.GetValidMs())*time.Millisecond, grantValidity)
	for _, x := range a.accounts {
		a.settle(x, now)
		if p, ok := x.held[owner]; ok && reply.GetExtended() && a.byHash[x.hash] == x {
			p.until = max(p.until, until)
			x.held[owner] = p
			a.update(x, now)
		}
	}
	for i, hash := range reply.GetAccounts() {
		x := a.byHash[hash]
		if x == nil {
			continue
		}
		p := x.held[owner]
		parts := int(min(reply.GetParts()[i], whole))
		if parts < p.parts {
			e.changed[x] += a.giveUp(x, now, owner, parts)
			e.maybeHeld[x] = true
			x.contended = true
		}
		p.parts, p.until = parts, until
		x.held[owner] = p
		a.update(x, now)
		x.level = min(x.level+float64(reply.GetTokens()[i])/1000, x.capacity())
	}
}

// giveUp lowers the part that an owner granted, and returns the tokens that the difference holds, in 1000ths.
func (a *Allotter) giveUp(x *account, now time.Duration, owner string, parts int) uint32 {
	p := x.held[owner]
	if p.parts <= parts {
		return 0
	}
	tokens := uint32(max(1000*x.level*float64(p.parts-parts)/float64(x.parts), 0))
	x.level -= float64(tokens) / 1000
	p.parts = parts
	x.held[owner] = p
	a.update(x, now)
	return tokens
}

// Failed records that an owner didn't answer a request, and reports whether that is the first failure in a row.
func (a *Allotter) Failed(now time.Duration, owner string, sequence uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	e := a.asked[owner]
	if e == nil || e.outstanding != sequence {
		return false
	}
	e.outstanding = 0
	e.fail(now)
	return e.failures == 1
}

func (e *exchange) fail(now time.Duration) {
	// The shift is bounded, so that it doesn't overflow.
	e.pauseUntil = now + min(failurePause<<min(e.failures, 10), maxFailurePause)
	e.failures++
}
