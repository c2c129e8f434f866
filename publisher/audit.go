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

// auditPrefix is followed by the version of the first entry of a page. Pages follow each other without a gap from
// version 1 on; the entries of the value follow the last page, or overlap it after an apply that moved them and then
// lost its race.
const auditPrefix = "carobbend/rules-audit/"

func auditKey(first uint64) string { return fmt.Sprintf("%s%012d", auditPrefix, first) }

// Log returns the whole audit trail, oldest first.
func (p *Publisher) Log(ctx context.Context) ([]*encoder.RulesChange, error) {
	cur, _, err := p.read(ctx, "log")
	if err != nil {
		return nil, err
	}
	return p.since(ctx, cur, 0)
}

// since returns the entries after a version, reading further keys only where the value doesn't hold them all.
func (p *Publisher) since(ctx context.Context, cur *encoder.RulesValue, from uint64) ([]*encoder.RulesChange, error) {
	recent := cur.GetChanges()
	if len(recent) == 0 || recent[0].GetVersion() <= from+1 {
		return after(recent, from), nil
	}
	var out []*encoder.RulesChange
	oldest := recent[0].GetVersion()
	for next := uint64(1); next < oldest; {
		page, err := p.page(ctx, next)
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

func after(changes []*encoder.RulesChange, from uint64) []*encoder.RulesChange {
	var out []*encoder.RulesChange
	for _, c := range changes {
		if c.GetVersion() > from {
			out = append(out, c)
		}
	}
	return out
}

// page reads one page; a call over the rate cap is tried again, since a long trail takes many calls.
func (p *Publisher) page(ctx context.Context, first uint64) ([]*encoder.RulesChange, error) {
	for {
		e, err := p.store.Get(ctx, auditKey(first))
		if carobbend.StoreFailureOf(err) == carobbend.StoreLimited && sleeper.Sleep(ctx, maxRetry) {
			continue
		}
		if err != nil {
			return nil, &Error{Op: "log", Kind: KindStore, Err: err}
		}
		v, err := decode("log", e)
		if err != nil {
			return nil, err
		}
		return v.GetChanges(), nil
	}
}

// bound moves the oldest entries of a value to further keys until the value is within its bounds.
func (p *Publisher) bound(ctx context.Context, v *encoder.RulesValue) error {
	for len(v.GetChanges()) > 1 && (len(v.GetChanges()) > p.keep || proto.Size(v) > p.maxBytes) {
		n, err := p.move(ctx, v.GetChanges()[:len(v.GetChanges())-1])
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

// move writes the older half of committed entries to a page and returns how many entries the page holds. Entries
// never change once committed, so a page that another apply has written is as good as an own one, and a page whose
// apply then fails does no harm.
func (p *Publisher) move(ctx context.Context, committed []*encoder.RulesChange) (int, error) {
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
	got, rerr := p.page(ctx, first)
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
