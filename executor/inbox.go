package executor

import (
	"sync/atomic"

	"carobbend.example/carobbend/planner"
)

// node is an event in an inbox; it can be in one inbox once at a time.
type node struct {
	event planner.Event
	next  *node
}

// busy marks an inbox whose events are being handled.
var busy node

// inbox is a list of events that many goroutines push to and one at a time drains. The zero value is idle.
type inbox struct {
	// head is nil while idle, &busy while the handler has taken all events, or the event pushed last.
	head atomic.Pointer[node]
}

// push adds an event. It returns true if the inbox was idle: the caller then handles n and drains until nil.
func (b *inbox) push(n *node) bool {
	for {
		head := b.head.Load()
		if head == nil {
			n.next = nil
			if b.head.CompareAndSwap(nil, &busy) {
				return true
			}
			continue
		}
		n.next = head
		if b.head.CompareAndSwap(head, n) {
			return false
		}
	}
}

// drain returns the events pushed since, oldest first, or nil after it has set the inbox idle.
func (b *inbox) drain() *node {
	if b.head.CompareAndSwap(&busy, nil) {
		return nil
	}
	var first *node
	for n := b.head.Swap(&busy); n != &busy; {
		next := n.next
		n.next = first
		first, n = n, next
	}
	return first
}
