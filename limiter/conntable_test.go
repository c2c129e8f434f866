package limiter

import (
	"testing"
	"time"

	"carobbend.example/carobbend"
)

const writeTimeout = 10 * time.Second

// tableTest is a table with a group of three connections and the limits of an ordinary routing.
type tableTest struct {
	*ConnTable
	*Group
	t      *testing.T
	closed map[*Conn]bool
}

func newTableTest(t *testing.T) *tableTest {
	t.Helper()
	a := NewAccount(128<<20, 0)
	a.Heads, a.Arriving = NewBytes(1<<20), NewBytes(1000)
	x := &tableTest{ConnTable: NewConnTable(a, Times{Write: writeTimeout, Body: 40 * time.Second}), t: t, closed: map[*Conn]bool{}}
	x.SetLimits(carobbend.CallerLimits{HeaderBytes: 16 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second})
	x.Group = x.ConnTable.Group("callers", 3)
	return x
}

func (x *tableTest) open(p Phase) *Conn {
	x.t.Helper()
	if _, ok := x.Take(); !ok {
		x.t.Fatal("got no place")
	}
	return x.Add(p, func() {})
}

// dueReason returns why c is to be closed now.
func (x *tableTest) dueReason(c *Conn) CloseReason {
	due, _ := x.Due()
	for _, d := range due {
		if d.Conn == c {
			return d.Reason
		}
	}
	return CloseNone
}

// TestTimeLimits guards against closing callers inside the limits of the routing, and against keeping the others.
func TestTimeLimits(t *testing.T) {
	for _, c := range []struct {
		name         string
		phase        Phase
		inside, over time.Duration
		want         CloseReason
	}{
		{"head", PhaseHead, 3 * time.Second, 4 * time.Second, CloseHeadTimeout},
		{"idle", PhaseIdle, 12 * time.Second, 16 * time.Second, CloseIdleTimeout},
		{"body", PhaseBody, 30 * time.Second, time.Minute, CloseBodyTimeout},
		{"body that isn't needed", PhaseDiscard, 3 * time.Second, 4 * time.Second, CloseBodyTimeout},
		{"waits for its answer", PhaseServe, time.Minute, time.Hour, CloseNone},
		{"link", PhaseLink, 10 * time.Second, 21 * time.Second, CloseSilent},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newTableTest(t)
			conn := x.open(c.phase)
			x.Advance(c.inside)
			if got := x.dueReason(conn); got != CloseNone {
				t.Errorf("after %v: got %q, want none", c.inside, got)
			}
			x.Advance(c.over - c.inside)
			if got := x.dueReason(conn); got != c.want {
				t.Errorf("after %v: got %q, want %q", c.over, got, c.want)
			}
		})
	}
}

// TestAnswerNotRead guards against callers that hold an answer by not reading it.
func TestAnswerNotRead(t *testing.T) {
	x := newTableTest(t)
	c := x.open(PhaseServe)
	c.Writing()
	x.Advance(writeTimeout - time.Second)
	c.Written()
	c.Writing()
	x.Advance(writeTimeout)
	if got := x.dueReason(c); got != CloseNone {
		t.Errorf("after progress: got %q, want none", got)
	}
	x.Advance(time.Second)
	if got, want := x.dueReason(c), CloseNotReading; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// TestHeads guards against heads that are refused inside the limits, and against heads that take memory without bound: long
// ones, and many with very many fields.
func TestHeads(t *testing.T) {
	x := newTableTest(t)
	c := x.open(PhaseIdle)
	// The longest head, of the shortest fields.
	if got := c.Received(16<<10, 4096); got != CloseNone {
		t.Errorf("single head inside the limits: got %q, want none", got)
	}
	other := x.open(PhaseIdle)
	if got, want := other.Received(16<<10, 4096), CloseHeadMemory; got != want {
		t.Errorf("second head of many fields: got %q, want %q", got, want)
	}
	if got := other.Received(1000, 10); got == CloseNone {
		t.Error("the refused head goes on")
	}
	third := x.open(PhaseIdle)
	if got := third.Received(2000, 20); got != CloseNone {
		t.Errorf("ordinary head beside a large one: got %q, want none", got)
	}
	if got, want := third.Received(30<<10, 0), CloseLongHead; got != want {
		t.Errorf("long head: got %q, want %q", got, want)
	}
	c.Enter(PhaseIdle)
	c.Received(16<<10, 4096)
	c.Remove()
	c.Remove()
	c.Received(1000, 10)
	if got := x.account.Heads.Used(); got != 0 {
		t.Errorf("reserved after the end: got %d, want 0", got)
	}
	third.Enter(PhaseServe)
	if got := third.Received(1<<20, 1<<20); got != CloseNone {
		t.Errorf("bytes that aren't a head: got %q, want none", got)
	}
}

// TestHeadsUnderPressure guards against large heads that don't end and hold the memory of all, and against closing small heads
// for them.
func TestHeadsUnderPressure(t *testing.T) {
	x := newTableTest(t)
	large, small := x.open(PhaseIdle), x.open(PhaseIdle)
	large.Received(16<<10, 5000)
	small.Received(10, 0)
	x.Advance(time.Second)
	if got, _ := x.Due(); len(got) != 1 || got[0] != (Closing{large, CloseHeads}) {
		t.Errorf("got %v, want the large one alone", got)
	}
}

// TestPlaces guards against a crowd that takes all places: connections without progress give way to others, before idle ones
// whose callers had an answer; a caller that waits for its answer keeps its place.
func TestPlaces(t *testing.T) {
	x := newTableTest(t)
	waiting, idle, silent := x.open(PhaseServe), x.open(PhaseIdle), x.open(PhaseIdle)
	idle.Enter(PhaseServe)
	idle.Enter(PhaseIdle)
	take := func(want *Conn, when string) {
		t.Helper()
		c, ok := x.Take()
		if ok || c.Conn != want {
			t.Fatalf("%s: got a place %v, or of %p, want that of %p", when, ok, c.Conn, want)
		}
	}
	take(idle, "the silent one is new")
	x.Advance(minStuck)
	take(silent, "the silent one is old")
	silent.Remove()
	slow := x.open(PhaseIdle)
	slow.Received(1, 0)
	x.Advance(time.Second)
	take(slow, "a slow head")
	slow.Remove()
	idle.Remove()
	fast, slower := x.open(PhaseBody), x.open(PhaseBody)
	fast.Received(1<<20, 0)
	slower.Received(1<<10, 0)
	take(nil, "bodies are new")
	x.Advance(time.Second)
	take(slower, "bodies are old")
	slower.Remove()
	fast.Remove()
	x.open(PhaseServe)
	x.open(PhaseServe)
	x.Advance(time.Hour)
	take(nil, "all wait for answers")
	waiting.Remove()
	if _, ok := x.Take(); !ok {
		t.Error("got no place after one was freed")
	}
	x.GiveBack()
	if _, ok := x.Take(); !ok {
		t.Error("got no place after one was given back")
	}
}

// TestBodiesUnderPressure guards against bodies that don't end and hold the memory of all bodies: the slowest go.
func TestBodiesUnderPressure(t *testing.T) {
	x := newTableTest(t)
	fast, slow := x.open(PhaseBody), x.open(PhaseBody)
	fast.Received(1<<20, 0)
	slow.Received(1<<10, 0)
	r, _ := x.account.Arriving.Reserve(700)
	x.Advance(time.Second)
	if got, _ := x.Due(); len(got) != 0 {
		t.Errorf("with space left: got %d to close, want 0", len(got))
	}
	if !r.Grow(100) {
		t.Fatal("got no memory")
	}
	if got, _ := x.Due(); len(got) != 1 || got[0] != (Closing{slow, CloseBodies}) {
		t.Errorf("got %v, want the slow one alone", got)
	}
}

// TestAnswersUnderPressure guards against answers that aren't read and hold the memory of all requests.
func TestAnswersUnderPressure(t *testing.T) {
	x := newTableTest(t)
	unread, waiting := x.open(PhaseServe), x.open(PhaseServe)
	unread.Writing()
	if _, ok := x.account.Requests.Reserve(x.account.Requests.Limit()); !ok {
		t.Fatal("got no memory")
	}
	x.Advance(time.Second)
	if got, _ := x.Due(); len(got) != 1 || got[0] != (Closing{unread, CloseAnswers}) {
		t.Errorf("got %v, want the answer that isn't read alone", got)
	}
	if got := x.dueReason(waiting); got != CloseNone {
		t.Errorf("waits for its answer: got %q, want none", got)
	}
}

// TestAccount guards against parts that exceed the memory together, and against a small instance without places.
func TestAccount(t *testing.T) {
	for _, c := range []struct {
		memoryMB int64
		fds      int
	}{{64, 320}, {184, 4100}, {284, 8192}, {536, 8192}, {0, 1024}, {184, 0}} {
		a := NewAccount(c.memoryMB<<20, c.fds)
		if a.Connections < minConnections || a.OtherConnections < minConnections {
			t.Errorf("%+v: got %d and %d connections, want at least %d", c, a.Connections, a.OtherConnections, minConnections)
		}
		const listeners = 4
		all := a.Connections + listeners*a.OtherConnections
		if got, want := all, c.fds*15/16; c.fds > 0 && got > want {
			t.Errorf("%+v: got %d connections, want at most %d", c, got, want)
		}
		sum := a.Requests.Limit() + a.Heads.Limit() + int64(all)*ConnectionBytes
		if got, want := sum+baseBytes, c.memoryMB<<20*8/10; c.memoryMB > 0 && got > want {
			t.Errorf("%+v: got %d MB, want at most %d", c, got>>20, want>>20)
		}
	}
}
