package publisher

import (
	"context"
	"errors"
	"fmt"

	"carobbend.example/carobbend/sleeper"

	"google.golang.org/protobuf/proto"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/encoder"
)

// auditPrefix begins the key of an audit page and is followed by the version of the page's first entry. Pages cover the
// versions from 1 on without a gap. The entries of the value continue after the last page, or overlap it after an apply
// that moved entries and then lost its compare-and-swap to another apply.
const auditPrefix = "carobbend/rules-audit/"

func auditKey(first uint64) string { return fmt.Sprintf("%s%012d", auditPrefix, first) }

// AuditTrail returns the whole audit trail, oldest first.
func (p *Publisher) AuditTrail(ctx context.Context) ([]*encoder.RulesChange, error) {
	cur, _, err := p.readValue(ctx, "log")
	if err != nil {
		return nil, err
	}
	return p.changesAfter(ctx, cur, 0)
}

// changesAfter returns the entries after a version; it reads audit pages only if the value doesn't hold all of them.
func (p *Publisher) changesAfter(ctx context.Context, cur *encoder.RulesValue, from uint64) ([]*encoder.RulesChange, error) {
	recent := cur.GetChanges()
	if len(recent) == 0 || recent[0].GetVersion() <= from+1 {
		return filterAfter(recent, from), nil
	}
	var out []*encoder.RulesChange
	oldest := recent[0].GetVersion()
	for next := uint64(1); next < oldest; {
		page, err := p.readPage(ctx, next)
		if err != nil {
			return nil, err
		}
		if len(page) == 0 {
			return nil, &Error{Op: "log", Kind: KindValue, Err: fmt.Errorf("key %s: expected the audit entries from version %d", auditKey(next), next)}
		}
		for _, c := range page {
			if c.GetVersion() > from && c.GetVersion() < oldest {
				out = append(out, c)
			}
		}
		next = page[len(page)-1].GetVersion() + 1
	}
	return append(out, recent...), nil
}

func filterAfter(changes []*encoder.RulesChange, from uint64) []*encoder.RulesChange {
	var out []*encoder.RulesChange
	for _, c := range changes {
		if c.GetVersion() > from {
			out = append(out, c)
		}
	}
	return out
}

// readPage reads one audit page. It repeats a call that a rate limit refused, since a long trail takes many calls.
func (p *Publisher) readPage(ctx context.Context, first uint64) ([]*encoder.RulesChange, error) {
	for {
		e, err := p.store.Get(ctx, auditKey(first))
		if carobbend.StoreFailureOf(err) == carobbend.StoreLimited && sleeper.Sleep(ctx, maxRetryDelay) {
			continue
		}
		if err != nil {
			return nil, &Error{Op: "log", Kind: KindStore, Err: err}
		}
		v, err := decodeValue("log", e)
		if err != nil {
			return nil, err
		}
		return v.GetChanges(), nil
	}
}

// moveOldEntries moves the oldest entries of a value to audit pages until the value is within its bounds.
func (p *Publisher) moveOldEntries(ctx context.Context, v *encoder.RulesValue) error {
	for len(v.GetChanges()) > 1 && (len(v.GetChanges()) > p.maxEntries || proto.Size(v) > p.maxBytes) {
		n, err := p.writePage(ctx, v.GetChanges()[:len(v.GetChanges())-1])
		if err != nil {
			return err
		}
		v.Changes = v.GetChanges()[n:]
	}
	if size := proto.Size(v); size > p.maxBytes {
		return &Error{Op: "apply", Kind: KindInvalid, Err: fmt.Errorf("text and changed lines take %d bytes: expected at most %d; change fewer lines at once", size, p.maxBytes)}
	}
	return nil
}

// writePage writes the older half of the committed entries to an audit page and returns the number of entries in the page.
// Committed entries never change, so a page that another apply wrote can be used instead, and a page whose apply fails
// later is harmless.
func (p *Publisher) writePage(ctx context.Context, committed []*encoder.RulesChange) (int, error) {
	page := &encoder.RulesValue{Changes: committed[:(len(committed)+1)/2]}
	for len(page.GetChanges()) > 1 && proto.Size(page) > p.maxBytes {
		page.Changes = page.GetChanges()[:len(page.GetChanges())/2]
	}
	b, err := proto.Marshal(page)
	if err != nil {
		return 0, &Error{Op: "apply", Kind: KindValue, Err: err}
	}
	first := committed[0].GetVersion()
	swapped, err := p.store.CompareAndSwap(ctx, auditKey(first), b, 0)
	if err == nil && swapped {
		return len(page.GetChanges()), nil
	}
	if err != nil && carobbend.StoreFailureOf(err) != carobbend.StoreUnknown {
		return 0, &Error{Op: "apply", Kind: KindStore, Err: err}
	}
	got, rerr := p.readPage(ctx, first)
	if rerr != nil {
		return 0, rerr
	}
	n := 0
	for n < len(got) && n < len(committed) && got[n].GetChangeId() == committed[n].GetChangeId() {
		n++
	}
	if n == 0 || n < len(got) {
		return 0, &Error{Op: "apply", Kind: KindStore, Err: errors.Join(fmt.Errorf("audit entries from version %d could not be moved", first), err)}
	}
	return n, nil
}
