package allotter

import "time"

// account is this instance's state of one limited account.
type account struct {
	name string
	hash uint32
	// removed is when the account left the routing, 0 if it hasn't.
	removed time.Duration
	// unshared says that no parts are exchanged with other instances.
	unshared bool
	// fresh is set until the limit was set for the first time.
	fresh bool
	// limitRate and limitBurst are the limit as configured; rate and burst are those of the bucket that is divided.
	limitRate, limitBurst float64
	rate, burst           float64

	// level is the number of tokens as of at. next is when the parts change next.
	level    float64
	at, next time.Duration
	// parts is the number of parts that this instance uses: its own ones that aren't granted, and those granted to it.
	parts, own int
	// share is the number of parts that this instance owns by the record, formerShare by the record before.
	share, formerShare int
	// owners are the owners of the account in the order in which this instance asks them, and shareOfOwner is what each owns.
	owners       []string
	shareOfOwner int
	// overdraftOwners and formerOverdraftOwners are the numbers of owners that share the overdraft.
	overdraftOwners, formerOverdraftOwners int
	// aim is the number of parts that this instance tries to hold.
	aim int
	// contended says that an owner lowered a part since others claim it.
	contended bool
	held      map[string]part
	given     map[string]grant
	overdraft overdraft

	demand demand
	// arrived and refusedNow count requests since the last tick.
	arrived, refusedNow            int
	served, fromOverdraft, refused int64
	// emptyUntil is the time until which owners aren't asked for tokens, since none had one.
	emptyUntil time.Duration
}

// part is a part that an owner granted to this instance.
type part struct {
	parts int
	until time.Duration
	// requested is what the owner was last asked for. It remembers that, and grants it as soon as it can.
	requested int
}

// grant is a part that this instance granted.
type grant struct {
	parts  int
	until  time.Duration
	wanted int
}

// capacity is the greatest number of tokens that the parts hold.
func (x *account) capacity() float64 { return x.burst * float64(x.parts) / whole }

// earning is the number of tokens a second that the parts earn.
func (x *account) earning() float64 { return x.rate * float64(x.parts) / whole }

// earn adds the tokens that the parts earned up to a time.
func (x *account) earn(now time.Duration) {
	if now <= x.at {
		return
	}
	x.level = min(x.level+x.earning()*(now-x.at).Seconds(), x.capacity())
	x.at = now
}

// overdraftCells is the number of cells of a window in which the use of an overdraft is counted. One more is kept, so that a
// request counts until its whole cell has left the window.
const overdraftCells = 10

// overdraft counts the requests that were served without tokens in the last window.
type overdraft struct {
	cell    time.Duration
	current int64
	used    [overdraftCells + 1]int
}

func newOverdraft(window time.Duration) overdraft {
	return overdraft{cell: max(window/overdraftCells, 1)}
}

// take counts a request if fewer than allowed were counted in the window.
func (r *overdraft) take(now time.Duration, allowed int) bool {
	if !r.left(now, allowed) {
		return false
	}
	r.used[r.current%(overdraftCells+1)]++
	return true
}

// left reports whether fewer requests than allowed were counted in the window.
func (r *overdraft) left(now time.Duration, allowed int) bool {
	cell := int64(now / r.cell)
	if cell-r.current > overdraftCells {
		r.used = [overdraftCells + 1]int{}
		r.current = cell
	}
	for r.current < cell {
		r.current++
		r.used[r.current%(overdraftCells+1)] = 0
	}
	sum := 0
	for _, n := range r.used {
		sum += n
	}
	return sum < allowed
}
