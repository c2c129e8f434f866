package server

import "time"

// Stage is a stage of the graceful shutdown. Stages only rise.
type Stage int

const (
	// StageServing accepts work and is named in address answers.
	StageServing Stage = iota
	// StageAnnouncing tells peers and the instance list; this instance's address answers leave it out.
	StageAnnouncing
	// StageAccepting still accepts work, since callers may hold the address until their answers expire.
	StageAccepting
	// StageRefusing refuses new work as not-run, ends connections with their next reply, and finishes work in flight.
	StageRefusing
	// StageClosing closes the listeners and the idle connections.
	StageClosing
)

// String returns the name used in logs and the admin API.
func (s Stage) String() string {
	return [...]string{"serving", "announcing", "accepting", "refusing", "closing"}[s]
}

// DrainTimes bounds the stages of the graceful shutdown.
type DrainTimes struct {
	// Announce bounds the time for telling peers and the instance list.
	Announce time.Duration
	// AddressValidity is the nominal validity of address answers; callers may hold one for 20% longer.
	AddressValidity time.Duration
	// ListLag is the longest time until all instances leave this one out of their address answers.
	ListLag time.Duration
	// IdleBound is the time for which a connection must have been idle before it is closed without a reply.
	IdleBound time.Duration
	// Limit bounds the refusing stage.
	Limit time.Duration
}

// DrainLoad is what the refusing stage waits for.
type DrainLoad struct {
	// InFlight counts requests being served.
	InFlight int
	// LastUse is the time at which the most recently used of the open connections became idle; zero without any.
	LastUse time.Time
}

// drain is the state machine of the graceful shutdown. It does no I/O and reads no clock.
type drain struct {
	times DrainTimes
	stage Stage
	// due is the time at which the stage ends at the latest.
	due time.Time
}

// begin starts the shutdown; further calls have no effect.
func (d *drain) begin(now time.Time) {
	if d.stage == StageServing {
		d.enter(StageAnnouncing, now.Add(d.times.Announce))
	}
}

// announced records that peers and the instance list were told.
func (d *drain) announced(now time.Time) {
	if d.stage == StageAnnouncing {
		// Answers given during the lag still name this instance, so validity counts from the end of the lag.
		d.enter(StageAccepting, now.Add(d.times.ListLag+longestValidity(d.times.AddressValidity)))
	}
}

// step moves on where the stage has ended and returns the time of the next look, zero before the begin and at the end.
func (d *drain) step(now time.Time, load DrainLoad) time.Time {
	switch d.stage {
	case StageAnnouncing:
		if !now.Before(d.due) {
			d.announced(now)
		}
	case StageAccepting:
		if !now.Before(d.due) {
			d.enter(StageRefusing, now.Add(d.times.Limit))
		}
	case StageRefusing:
		quiet := load.InFlight == 0 && (load.LastUse.IsZero() || now.Sub(load.LastUse) >= d.times.IdleBound)
		if quiet || !now.Before(d.due) {
			d.enter(StageClosing, time.Time{})
		}
	case StageServing, StageClosing:
	}
	if d.stage == StageRefusing {
		return earliest(d.due, now.Add(drainPoll))
	}
	return d.due
}

// drainPoll is the time between two looks at the requests in flight.
const drainPoll = 20 * time.Millisecond

func (d *drain) enter(s Stage, due time.Time) { d.stage, d.due = s, due }

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
