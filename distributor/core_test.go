package distributor

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/encoder"
	"carobbend.example/carobbend/parser"
)

var epoch = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time { return epoch.Add(time.Duration(seconds * float64(time.Second))) }

func testCore() *core {
	return newCore(rand.New(rand.NewPCG(1, 1)), func(*parser.Ruleset) {})
}

func value(version uint64, change, text string) []byte {
	b, err := proto.Marshal(&encoder.RulesValue{Version: version, ChangeId: change, Text: text})
	if err != nil {
		panic(err)
	}
	return b
}

func good(version uint64) []byte {
	return value(version, fmt.Sprint("change-", version), fmt.Sprintf("share leon %d # test", version))
}

func entry(revision uint64, v []byte) carobbend.Entry {
	return carobbend.Entry{Key: "carobbend/rules", Value: v, Revision: revision}
}

func reply(version uint64, v []byte, age time.Duration) *encoder.RulesReply {
	return &encoder.RulesReply{Version: version, Value: v, StoreAgeMs: age.Milliseconds()}
}

// Guards against rules that fall back to an older version, are replaced by another change of the same version, or
// are lost to a value that is no rule file.
func TestRulesNeverRevert(t *testing.T) {
	c := testCore()
	c.storeValue(at(0), at(0), entry(9, good(5)))
	for _, tt := range []struct {
		name  string
		event func() effects
		want  uint64
	}{
		{"stale store value", func() effects { return c.storeValue(at(0.1), at(0), entry(8, good(4))) }, 5},
		{"empty store", func() effects { return c.storeValue(at(0.1), at(0), entry(0, nil)) }, 5},
		{"late peer reply", func() effects { return c.peerReply(at(0.2), at(0), ask{}, reply(3, good(3), 0)) }, 5},
		{"peer reply with a version that its value doesn't have", func() effects { return c.peerReply(at(0.2), at(0), ask{}, reply(9, good(4), 0)) }, 5},
		{"other change", func() effects {
			return c.storeValue(at(0.3), at(0.3), entry(10, value(5, "other", "share leon 9 # x")))
		}, 5},
		{"other change from a peer", func() effects { return c.peerReply(at(0.3), at(0.3), ask{}, reply(6, value(5, "other", ""), 0)) }, 5},
		{"no rule file", func() effects { return c.storeValue(at(0.4), at(0.4), entry(11, value(6, "bad", "share leon 0"))) }, 5},
		{"no value", func() effects { return c.peerReply(at(0.4), at(0.4), ask{}, reply(7, nil, 0)) }, 5},
		{"no protobuf", func() effects { return c.storeValue(at(0.4), at(0.4), entry(12, []byte("\xff\xff"))) }, 5},
		{"next version", func() effects { return c.peerReply(at(0.5), at(0.5), ask{}, reply(6, good(6), 0)) }, 6},
		{"duplicate", func() effects { return c.peerReply(at(0.6), at(0.5), ask{}, reply(6, good(6), 0)) }, 6},
	} {
		tt.event()
		if c.version() != tt.want || c.changeID != fmt.Sprint("change-", tt.want) || c.rules.Share("leon") != int(tt.want) {
			t.Fatalf("%s: got version %d, change %s, share %d, want %d", tt.name, c.version(), c.changeID, c.rules.Share("leon"), tt.want)
		}
	}
}

func expect(t *testing.T, ok bool, want string) {
	t.Helper()
	if !ok {
		t.Errorf("want %s", want)
	}
}

// Guards against an instance that is named to callers before it has rules, or that starts with an old version while
// a peer holds a higher one.
func TestReadiness(t *testing.T) {
	c := testCore()
	c.storeFailed(at(0), errors.New("down"))
	e := c.tick(at(0.1), view{others: []string{"a", "b", "c"}})
	if len(e.asks) != 3 {
		t.Fatalf("asks: got %v, want all peers", e.asks)
	}
	c.peerReply(at(0.2), at(0.1), e.asks[0], reply(3, good(3), time.Second))
	c.peerReply(at(0.2), at(0.1), e.asks[1], reply(7, good(7), time.Second))
	c.peerReply(at(0.2), at(0.1), e.asks[1], reply(7, good(7), time.Second))
	expect(t, !c.ready, "not ready before all peers answered")
	c.peerFailed(at(0.3), e.asks[2])
	expect(t, c.ready && c.version() == 7, "ready with the highest version")
	c = testCore()
	e = c.tick(at(0), view{others: []string{"a"}})
	c.peerReply(at(0.1), at(0), e.asks[0], reply(0, nil, 0))
	expect(t, !c.ready, "not ready with version 0 of a peer")
	c.storeValue(at(0.2), at(0.2), entry(4, value(1, "bad", "no rule")))
	expect(t, !c.ready, "not ready after a value that is no rule file")
	c.storeValue(at(0.3), at(0.3), entry(0, nil))
	expect(t, c.ready && c.version() == 0, "ready after the store confirmed that it is empty")
}

// Guards against two instances without the store that keep confirming each other.
func TestPeersCannotConfirmEachOther(t *testing.T) {
	a, b := testCore(), testCore()
	a.storeValue(at(0), at(0), entry(1, good(1)))
	for s := 0.5; s < 20; s += 0.5 {
		for _, pair := range [][2]*core{{a, b}, {b, a}} {
			r, _ := pair[1].asked(at(s), "x", pair[0].version())
			pair[0].peerReply(at(s+0.01), at(s), ask{}, r)
		}
		for i, c := range []*core{a, b} {
			if got, want := c.confirmed(at(s+0.01)), s+0.01 <= 10; got != want {
				t.Fatalf("instance %d after %v s: got confirmed %v, want %v", i, s, got, want)
			}
		}
	}
	a.storeValue(at(20), at(20), entry(1, good(1)))
	r, _ := a.asked(at(20.1), "b", b.version())
	b.peerReply(at(20.2), at(20), ask{}, r)
	expect(t, b.confirmed(at(20.2)), "confirmed by a peer that reached the store")
}

// Guards against an instance that uses a confirmation from before a pause.
func TestPauseDropsConfirmation(t *testing.T) {
	c := testCore()
	c.storeValue(at(0), at(0), entry(1, good(1)))
	expect(t, c.confirmed(at(0.9)), "confirmed after the store answered")
	expect(t, !c.confirmed(at(1.5)), "not confirmed after a pause that no event has noticed yet")
	r, _ := c.asked(at(3), "peer", 0)
	expect(t, r.GetStoreAgeMs() < 0, "no age after a pause")
	c.storeValue(at(3.1), at(0.5), entry(1, good(1)))
	c.peerReply(at(3.1), at(2.9), ask{}, reply(1, nil, 0))
	expect(t, !c.confirmed(at(3.1)), "not confirmed by a request from before the pause")
	c.peerReply(at(3.2), at(3.1), ask{}, reply(1, nil, time.Second))
	expect(t, c.confirmed(at(3.2)), "confirmed by a request from after the pause")
	expect(t, !c.confirmed(at(4.3)), "not confirmed after the next pause")
}
