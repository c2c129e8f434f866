package exchanger

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxPooled is the capacity in bytes up to which a buffer is returned to the pool.
const maxPooled = 16 << 10

var buffers = sync.Pool{New: func() any { return new([]byte) }}

func putBuffer(b []byte) {
	if cap(b) <= maxPooled {
		buffers.Put(&b)
	}
}

// requestHead returns the request line and the headers of an attempt in a pooled buffer.
func (x *Exchanger) requestHead(t Target, r *Request, left time.Duration) []byte {
	b := []byte(nil)
	if p, ok := buffers.Get().(*[]byte); ok {
		b = (*p)[:0]
	}
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.URI...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = appendField(b, "Host", r.Host)
	b = append(b, r.Header...)
	if r.ID != "" {
		b = appendField(b, x.headers.RequestID, r.ID)
	}
	b = append(b, x.headers.Deadline...)
	b = append(b, ": "...)
	b = strconv.AppendInt(b, left.Milliseconds(), 10)
	b = append(b, "\r\n"...)
	b = appendField(b, x.headers.Upstream, string(t.ID))
	if r.HasBody {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

func appendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// hopByHop are the hop-by-hop headers, which apply to one connection and aren't forwarded.
var hopByHop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Host": true,
}

// ForwardHeaders calls f for each end-to-end header, except those that this package sets.
func (x *Exchanger) ForwardHeaders(h http.Header, f func(name, value string)) {
	named := map[string]bool(nil)
	for _, v := range h["Connection"] {
		for token := range strings.SplitSeq(v, ",") {
			if named == nil {
				named = map[string]bool{}
			}
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(token))] = true
		}
	}
	for name, values := range h {
		if hopByHop[name] || named[name] || name == x.headers.RequestID || name == x.headers.Deadline ||
			name == x.headers.Upstream {
			continue
		}
		for _, v := range values {
			f(name, v)
		}
	}
}
