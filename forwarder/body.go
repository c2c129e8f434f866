package forwarder

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"carobbend.example/carobbend/limiter"
)

const (
	// requestBytes and shardBytes are the memory in bytes that is reserved for a request and for each of its shards:
	// goroutines, buffers, heads, and the parts of bodies that are kept in memory.
	requestBytes = 64 << 10
	shardBytes   = 8 << 10
	// bodyChunk is the number of bytes by which the reservation for a body of unknown length grows.
	bodyChunk = 32 << 10
	// growthFactor is the maximum memory that a body of unknown length takes while it is read, as a multiple of its length:
	// the buffer is copied into one of twice its size.
	growthFactor = 3
)

var errNoMemory = errors.New("the requests in flight hold all memory")

// readBody reads the whole body until the deadline, so that attempts can be repeated and a disconnect of the caller is
// noticed. The memory of the request and its body is also reserved from arriving, until the body is complete.
func readBody(
	w http.ResponseWriter, r *http.Request, limit int, deadline time.Time, arriving *limiter.Bytes, reservation *limiter.Reservation,
) ([]byte, *refusal) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	tooLong := &refusal{
		status: http.StatusRequestEntityTooLarge, outcome: OutcomeInvalid,
		reason: "the body is longer than " + strconv.Itoa(limit) + " bytes",
	}
	if limit > 0 && r.ContentLength > int64(limit) {
		return nil, tooLong
	}
	part, ok := arriving.Reserve(requestBytes)
	if !ok {
		return nil, noMemory()
	}
	defer part.Release()
	conn := http.NewResponseController(w)
	// Not every kind of connection supports a deadline; the server's own then applies.
	_ = conn.SetReadDeadline(deadline)
	body := r.Body
	if limit > 0 {
		body = http.MaxBytesReader(w, r.Body, int64(limit))
	}
	b, err := readReserved(body, r.ContentLength, reservations{reservation, part})
	if isTimeout(err) {
		// The server reads on after the handler. Without the deadline, it would wait for the rest of the body before it writes the
		// refusal, and then before it closes the connection.
		w.Header().Set("Connection", "close")
		return nil, &refusal{http.StatusRequestTimeout, OutcomeNotRun, "the body didn't arrive in time", 0}
	}
	_ = conn.SetReadDeadline(time.Time{})
	var long *http.MaxBytesError
	switch {
	case err == nil:
		return b, nil
	case errors.Is(err, errNoMemory):
		return nil, noMemory()
	case errors.As(err, &long):
		return nil, tooLong
	case r.Context().Err() != nil:
		return nil, &refusal{http.StatusBadRequest, OutcomeCallerLeft, "the caller left", 0}
	default:
		return nil, &refusal{http.StatusRequestTimeout, OutcomeNotRun, "the body didn't arrive in time", 0}
	}
}

// isTimeout reports whether a read ended at its deadline. The server cancels the request's context then, as it does when the caller
// leaves.
func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// readReserved reads a body of n bytes, or of unknown length if n is -1, and reserves the memory before it reads.
func readReserved(r io.Reader, n int64, memory reservations) ([]byte, error) {
	if n >= 0 {
		if !memory.grow(n) {
			return nil, errNoMemory
		}
		b := make([]byte, n)
		_, err := io.ReadFull(r, b)
		return b, err
	}
	var b []byte
	for {
		if !memory.grow(growthFactor * bodyChunk) {
			return nil, errNoMemory
		}
		chunk, err := io.ReadAll(io.LimitReader(r, bodyChunk))
		b = append(b, chunk...)
		if err != nil || len(chunk) < bodyChunk {
			return b, err
		}
	}
}

// reservations are grown together; what an incomplete growth reserved is released with the rest.
type reservations []*limiter.Reservation

func (rs reservations) grow(n int64) bool {
	for _, r := range rs {
		if !r.Grow(n) {
			return false
		}
	}
	return true
}

// noMemory returns the refusal of a request whose memory can't be reserved beside those in flight.
func noMemory() *refusal {
	return &refusal{http.StatusServiceUnavailable, OutcomeNotRun, errNoMemory.Error(), retryAfter}
}
