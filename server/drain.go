package server

import "time"

// Stage is a stage of the graceful shutdown. A server never returns to an earlier stage.
type Stage int

const (
	// StageServing accepts work and is named in address answers.
	StageServing Stage = iota
	// StageAnnouncing tells peers and the instance list that this instance is leaving; its own address answers omit it.
	StageAnnouncing
	// StageAccepting still accepts work, since callers may use the address until their address answers expire.
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
	// AddressValidity is the nominal validity of address answers; an answer may be valid for 20% longer.
	AddressValidity time.Duration
	// ListLag is the longest time until all other instances omit this one from their address answers.
	ListLag time.Duration
	// MinIdle is the time for which a connection must have been idle before it is closed without a reply.
	MinIdle time.Duration
	// Limit bounds the refusing stage.
	Limit time.Duration
}

// DrainLoad is the load that the refusing stage waits to end.
type DrainLoad struct {
	// InFlight counts requests being served.
	InFlight int
	// LastUse is the time at which the most recently used open connection became idle; zero if none is open.
	LastUse time.Time
}

// drainState is the state machine of the graceful shutdown. It does no I/O and reads no clock.
type drainState struct {
	times DrainTimes
	stage Stage
	// deadline is the latest end of the stage.
	deadline time.Time
}

// begin starts the shutdown; further calls have no effect.
func (d *drainState) begin(now time.Time) {
	if d.stage == StageServing {
		d.setStage(StageAnnouncing, now.Add(d.times.Announce))
	}
}

// announced records that the announcement to peers and the instance list is finished.
func (d *drainState) announced(now time.Time) {
	if d.stage == StageAnnouncing {
		// Answers given during the lag still name this instance, so validity counts from the end of the lag.
		d.setStage(StageAccepting, now.Add(d.times.ListLag+maxValidity(d.times.AddressValidity)))
	}
}

// advance enters the next stage if the current one has ended. It returns the time at which to call it again, zero before
// begin and in the last stage.
func (d *drainState) advance(now time.Time, load DrainLoad) time.Time {
	switch d.stage {
	case StageAnnouncing:
		if !now.Before(d.deadline) {
			d.announced(now)
		}
	case StageAccepting:
		if !now.Before(d.deadline) {
			d.setStage(StageRefusing, now.Add(d.times.Limit))
		}
	case StageRefusing:
		idle := load.InFlight == 0 && (load.LastUse.IsZero() || now.Sub(load.LastUse) >= d.times.MinIdle)
		if idle || !now.Before(d.deadline) {
			d.setStage(StageClosing, time.Time{})
		}
	case StageServing, StageClosing:
	}
	if d.stage == StageRefusing {
		return earliest(d.deadline, now.Add(drainPollInterval))
	}
	return d.deadline
}

// drainPollInterval is the time between two checks of the requests in flight.
const drainPollInterval = 20 * time.Millisecond

func (d *drainState) setStage(s Stage, due time.Time) { d.stage, d.deadline = s, due }

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
