package exchanger

import (
	"net/http"
	"testing"
	"time"
)

// TestNotice guards against a pause that is read from an invalid time, from a reply that isn't a refusal, or with a wrong unit.
func TestNotice(t *testing.T) {
	x := New(testHeaders)
	for _, c := range []struct {
		status     int
		retryAfter string
		want       Notice
	}{
		{503, "", Notice{}},
		{503, "0.25", Notice{RetryAfter: 250 * time.Millisecond}},
		{503, " 2 ", Notice{RetryAfter: 2 * time.Second}},
		{503, "0", Notice{}},
		{503, "1e400", Notice{RetryAfter: maxTime}},
		{503, "Inf", Notice{RetryAfter: maxTime}},
		{503, "-1", Notice{InvalidRetryAfter: "-1"}},
		{503, "-1e400", Notice{InvalidRetryAfter: "-1e400"}},
		{503, "NaN", Notice{InvalidRetryAfter: "NaN"}},
		{503, "Wed, 21 Oct 2026 07:28:00 GMT", Notice{InvalidRetryAfter: "Wed, 21 Oct 2026 07:28:00 GMT"}},
		{500, "3", Notice{}},
		{200, "3", Notice{}},
	} {
		m := message{Response: &http.Response{StatusCode: c.status, Header: http.Header{}}}
		if c.retryAfter != "" {
			m.Header.Set("Retry-After", c.retryAfter)
		}
		if got := x.notice(m); got != c.want {
			t.Errorf("%d %q: got %+v, want %+v", c.status, c.retryAfter, got, c.want)
		}
	}
}
