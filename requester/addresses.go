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
	// Addresses are refreshed in the background after 70% to 90% of their validity, so that no request waits for it.
	minRefreshFraction    = 0.7
	refreshJitterFraction = 0.2
	// failedInstanceBackoff is how long an instance comes last after a failed attempt.
	failedInstanceBackoff = 2 * time.Second
)

// addressCache caches the instance addresses for as long as the reply with them says they are valid.
type addressCache struct {
	mu          sync.Mutex
	current     []string
	refreshAt   time.Time
	expiresAt   time.Time
	failed      map[string]time.Time
	refreshDone chan struct{}
}

// ordered returns the cached addresses, those that failed recently last. If the cache is empty or expired, it includes
// the configured instances.
func (b *addressCache) ordered(now time.Time, configured []string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := slices.Clone(b.current)
	if len(known) == 0 || now.After(b.expiresAt) {
		known = appendNew(known, configured)
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

func (b *addressCache) store(now time.Time, a carobbend.Addresses) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current = a.Addresses
	b.expiresAt = now.Add(a.ValidFor)
	b.refreshAt = now.Add(time.Duration(float64(a.ValidFor) * (minRefreshFraction + refreshJitterFraction*rand.Float64())))
}

// markFailed puts an address last for failedInstanceBackoff and makes the next request refresh the addresses.
func (b *addressCache) markFailed(now time.Time, address string) {
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
	b.failed[address] = now.Add(failedInstanceBackoff)
	b.refreshAt = now
}

// beginRefresh returns a channel that is closed at the end of the refresh in progress, whether the caller must run that
// refresh, and whether the addresses have expired. The channel is nil if no refresh is due.
func (b *addressCache) beginRefresh(now time.Time) (done chan struct{}, run, expired bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	expired = len(b.current) == 0 || now.After(b.expiresAt)
	if b.refreshDone != nil {
		return b.refreshDone, false, expired
	}
	if now.Before(b.refreshAt) {
		return nil, false, false
	}
	b.refreshDone = make(chan struct{})
	return b.refreshDone, true, expired
}

func (b *addressCache) endRefresh() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.refreshDone)
	b.refreshDone = nil
}

// Addresses fetches the addresses of the instances to use, even if the cached ones are still valid.
func (r *Requester) Addresses(ctx context.Context) (carobbend.Addresses, error) {
	return r.fetchAddresses(ctx)
}

// ensureAddresses starts a refresh if one is due, and waits for it only if the addresses have expired.
func (r *Requester) ensureAddresses(ctx context.Context) {
	done, run, expired := r.addresses.beginRefresh(time.Now())
	if run {
		go func() {
			defer r.addresses.endRefresh()
			// The refresh also serves later requests, so it isn't canceled with this one.
			_, err := r.fetchAddresses(context.WithoutCancel(ctx))
			if err != nil {
				r.addresses.postponeRefresh(time.Now())
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

// postponeRefresh delays the next refresh after a failed one, so that not every request repeats it.
func (b *addressCache) postponeRefresh(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refreshAt = now.Add(addressTimeout)
}

// fetchAddresses requests the addresses from the known instances in turn, and caches the first answer.
func (r *Requester) fetchAddresses(ctx context.Context) (carobbend.Addresses, error) {
	path := carobbend.PathAddresses + "?client=" + url.QueryEscape(r.cfg.Client)
	if r.cfg.DataCentre != "" {
		path += "&data-centre=" + url.QueryEscape(string(r.cfg.DataCentre))
	}
	var last error = &Error{Op: "addresses", Kind: KindConnect, Err: errors.New("no instance is known")}
	for _, address := range appendNew(r.addresses.ordered(time.Now(), r.cfg.Instances), r.cfg.Instances) {
		var reply carobbend.AddressesReply
		_, err := r.exchange(ctx, call{
			op: "addresses", method: http.MethodGet, path: path, address: address, timeout: addressTimeout,
		}, &reply, func() error { return nil })
		if err == nil && len(reply.Addresses.Addresses) > 0 {
			r.addresses.store(time.Now(), reply.Addresses)
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
