package requester

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"carobbend.example/carobbend"
)

const (
	// addressTimeout bounds one request for addresses.
	addressTimeout = time.Second
	// Addresses are asked for again in the background after 70% to 90% of their validity, so that no request waits.
	refreshFrom   = 0.7
	refreshSpread = 0.2
	// avoidFor is how long an instance whose connection failed is asked last.
	avoidFor = 2 * time.Second
)

// addressBook keeps the addresses for the time told.
type addressBook struct {
	mu      sync.Mutex
	current []string
	refresh time.Time
	expires time.Time
	failed  map[string]time.Time
	running chan struct{}
}

// order returns the known addresses, best first: those that failed recently come last. Instances given at the start
// follow where the answer has expired or is empty.
func (b *addressBook) order(now time.Time, given []string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := slices.Clone(b.current)
	if len(known) == 0 || now.After(b.expires) {
		known = appendNew(known, given)
	}
	var good, bad []string
	for _, a := range known {
		if now.Before(b.failed[a]) {
			bad = append(bad, a)
		} else {
			good = append(good, a)
		}
	}
	return append(good, bad...)
}

func (b *addressBook) store(now time.Time, a carobbend.Addresses) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current = a.Addresses
	b.expires = now.Add(a.ValidFor)
	b.refresh = now.Add(time.Duration(float64(a.ValidFor) * (refreshFrom + refreshSpread*rand.Float64())))
}

// fail marks an address, and asks for new addresses with the next request.
func (b *addressBook) fail(now time.Time, address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failed == nil {
		b.failed = map[string]time.Time{}
	}
	for a, until := range b.failed {
		if now.After(until) {
			delete(b.failed, a)
		}
	}
	b.failed[address] = now.Add(avoidFor)
	b.refresh = now
}

// begin returns a channel that closes at the end of the refresh in progress, and whether the caller must run it.
// Without need for a refresh the channel is nil.
func (b *addressBook) begin(now time.Time) (done chan struct{}, run, expired bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	expired = len(b.current) == 0 || now.After(b.expires)
	if b.running != nil {
		return b.running, false, expired
	}
	if now.Before(b.refresh) {
		return nil, false, false
	}
	b.running = make(chan struct{})
	return b.running, true, expired
}

func (b *addressBook) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.running)
	b.running = nil
}

// Addresses asks for the instances to use now, whatever is still valid.
func (r *Requester) Addresses(ctx context.Context) (carobbend.Addresses, error) {
	return r.askAddresses(ctx)
}

// ensure refreshes the addresses where they are due, and waits for that only where they have expired.
func (r *Requester) ensure(ctx context.Context) {
	done, run, expired := r.book.begin(time.Now())
	if run {
		go func() {
			defer r.book.end()
			// The refresh serves later requests too, so it doesn't end with this one.
			_, err := r.askAddresses(context.WithoutCancel(ctx))
			if err != nil {
				r.book.postpone(time.Now())
			}
		}()
	}
	if done == nil || !expired {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// postpone keeps a failed refresh from being repeated with each request.
func (b *addressBook) postpone(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refresh = now.Add(addressTimeout)
}

// askAddresses asks the known instances in turn.
func (r *Requester) askAddresses(ctx context.Context) (carobbend.Addresses, error) {
	path := carobbend.PathAddresses + "?client=" + url.QueryEscape(r.cfg.Client)
	if r.cfg.DataCentre != "" {
		path += "&data-centre=" + url.QueryEscape(string(r.cfg.DataCentre))
	}
	var last error = &Error{Op: "addresses", Kind: KindConnect, Err: errors.New("no instance is known")}
	for _, address := range appendNew(r.book.order(time.Now(), r.cfg.Instances), r.cfg.Instances) {
		var reply carobbend.AddressesReply
		_, err := r.exchange(ctx, call{
			op: "addresses", method: http.MethodGet, path: path, address: address, timeout: addressTimeout,
		}, &reply, func() error { return nil })
		if err == nil && len(reply.Addresses.Addresses) > 0 {
			r.book.store(time.Now(), reply.Addresses)
			return reply.Addresses, nil
		}
		if err == nil {
			err = &Error{Op: "addresses", Kind: KindConnect, Address: address, Err: errors.New("no instance is ready")}
		}
		last = err
		if ctx.Err() != nil {
			break
		}
	}
	return carobbend.Addresses{}, last
}

func appendNew(list, more []string) []string {
	for _, a := range more {
		if !slices.Contains(list, a) {
			list = append(list, a)
		}
	}
	return list
}
