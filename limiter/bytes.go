package limiter

import "sync/atomic"

// Bytes bounds the total memory of the requests in flight by reservations, which are made for each request before it is read
// or answered. The zero value has no bound; it is safe for concurrent use.
type Bytes struct {
	limit int64
	used  atomic.Int64
}

// NewBytes returns a bound in bytes; 0 means no bound.
func NewBytes(limit int64) *Bytes { return &Bytes{limit: limit} }

// Used returns the number of bytes that are reserved.
func (b *Bytes) Used() int64 { return b.used.Load() }

// Reserve returns a reservation of n bytes, or false if fewer are left. The reservation must be released.
func (b *Bytes) Reserve(n int64) (*Reservation, bool) {
	r := &Reservation{bytes: b}
	return r, r.Grow(n)
}

// take reserves n bytes, or none if fewer are left; n may be negative.
func (b *Bytes) take(n int64) bool {
	if used := b.used.Add(n); n > 0 && b.limit > 0 && used > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

// release returns n bytes.
func (b *Bytes) release(n int64) { b.used.Add(-n) }

// Limit returns the bound in bytes, or 0.
func (b *Bytes) Limit() int64 { return b.limit }

// Reservation is the part of a Bytes that one request holds. It isn't safe for concurrent use.
type Reservation struct {
	bytes *Bytes
	n     int64
}

// Grow adds n bytes to the reservation, or returns false and adds none.
func (r *Reservation) Grow(n int64) bool {
	if !r.bytes.take(n) {
		return false
	}
	r.n += n
	return true
}

// Release returns all bytes; further calls do nothing.
func (r *Reservation) Release() {
	r.bytes.release(r.n)
	r.n = 0
}
