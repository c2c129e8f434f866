package limiter

// Account divides the memory of a process among what callers can make it hold. What the process needs without callers, and
// what the runtime needs until it collects garbage, is left out, so that the parts together fit beside it.
type Account struct {
	// Requests bounds the requests in flight, Arriving the part of them whose body is still arriving.
	Requests, Arriving *Bytes
	// Heads bounds the heads that are being read or served, beyond the part that each connection includes.
	Heads *Bytes
	// Connections is the greatest number of callers' connections, OtherConnections that of each other listener.
	Connections, OtherConnections int
}

const (
	// baseBytes is the memory of a process without callers: program, runtime, routing and lists.
	baseBytes = 24 << 20
	// The fractions of the remaining memory. Their sum is 0.55; garbage that isn't collected yet takes the rest.
	requestFraction    = 0.34
	headFraction       = 0.05
	connectionFraction = 0.12
	otherFraction      = 0.02
	// arrivingFraction is the fraction of the memory for requests that bodies may hold while they arrive. The rest is for
	// requests that are complete.
	arrivingFraction = 0.6
	// ConnectionBytes is the memory of a connection with its goroutine, its buffers and a head of usual size.
	ConnectionBytes = 20 << 10
	// minConnections is the least bound on the connections of a listener.
	minConnections = 8
	// The fractions of the descriptors for callers' connections and for those of each other listener. The rest is for
	// upstreams, the store, peers and the process itself.
	callerFDFraction = 0.5
	otherFDFraction  = 0.08
)

// NewAccount divides memory in bytes and a number of descriptors; 0 means that there is no bound.
func NewAccount(memory int64, fds int) Account {
	a := Account{Requests: &Bytes{}, Arriving: &Bytes{}, Heads: &Bytes{}}
	callers, others := callerFDFraction*float64(fds), otherFDFraction*float64(fds)
	if memory > 0 {
		free := float64(max(memory-baseBytes, memory/2))
		a.Requests = NewBytes(int64(requestFraction * free))
		a.Arriving = NewBytes(int64(requestFraction * arrivingFraction * free))
		a.Heads = NewBytes(int64(headFraction * free))
		callers = least(callers, connectionFraction*free/ConnectionBytes)
		others = least(others, otherFraction*free/ConnectionBytes)
	}
	a.Connections, a.OtherConnections = bound(callers), bound(others)
	return a
}

// Used returns the bytes that are reserved, by part.
func (a Account) Used() map[string]int64 {
	return map[string]int64{"requests": a.Requests.Used(), "arriving": a.Arriving.Used(), "heads": a.Heads.Used()}
}

// least returns the lesser of two bounds, of which 0 is none.
func least(a, b float64) float64 {
	if a == 0 {
		return b
	}
	return min(a, b)
}

func bound(n float64) int {
	if n == 0 {
		return 0
	}
	return max(int(n), minConnections)
}
