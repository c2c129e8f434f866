package exchanger

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxTime bounds the times in a Notice, so that the conversion to a duration doesn't overflow.
const maxTime = 24 * time.Hour

// Notice is what the head of a reply says about its upstream, rather than about the request.
type Notice struct {
	// Leaving says that the upstream will stop soon and wants no new requests.
	Leaving bool
	// RetryAfter is the time for which the upstream wants no requests, at most a day; 0 if it didn't say.
	RetryAfter time.Duration
	// InvalidRetryAfter is a Retry-After that isn't a number of seconds of 0 or more.
	InvalidRetryAfter string
	// WarmupLeft is for how long the upstream says that it is still cold, at most a day; 0 if it didn't say.
	WarmupLeft time.Duration
}

// notice returns the notice of a reply. A time in Retry-After is that of the upstream only in a refusal with 503.
func (x *Exchanger) notice(m message) Notice {
	var n Notice
	if v := m.Header.Get(x.headers.Leaving); v != "" && v != "0" {
		n.Leaving = true
	}
	if v := m.Header.Get(x.headers.Warmup); v != "" {
		n.WarmupLeft, _ = parseTime(v, time.Millisecond)
	}
	if v := m.Header.Get("Retry-After"); v != "" && m.StatusCode == http.StatusServiceUnavailable {
		if d, ok := parseTime(v, time.Second); ok {
			n.RetryAfter = d
		} else {
			n.InvalidRetryAfter = v
		}
	}
	return n
}

// parseTime parses a number of units of 0 or more, with an optional fraction.
func parseTime(s string, unit time.Duration) (time.Duration, bool) {
	v, err := strconv.ParseFloat(strings.TrimSpace(s), 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) || math.IsNaN(v) || v < 0 {
		return 0, false
	}
	return time.Duration(min(v, float64(maxTime/unit)) * float64(unit)), true
}
