package executor

import (
	"sync/atomic"

	"carobbend.example/carobbend/planner"
)

// eventNode is a list node that holds an event. It can be in at most one inbox, and only once, at a time.
type eventNode struct {
	event planner.Event
	next  *eventNode
}

// draining is the sentinel head of an inbox whose events are being handled.
var draining eventNode

// inbox is a lock-free queue with many producers and one consumer at a time. It elects the consumer: the producer that
// pushes to an idle inbox handles the events. The zero value is idle.
type inbox struct {
	// head is nil while idle, &draining while the consumer has taken all events, or else the event pushed last.
	head atomic.Pointer[eventNode]
}

// push adds an event. It returns true if the inbox was idle. The caller is then the consumer: it must handle n, and then
// the events returned by drain until drain returns nil.
func (b *inbox) push(n *eventNode) bool {
	for {
		head := b.head.Load()
		if head == nil {
			n.next = nil
			if b.head.CompareAndSwap(nil, &draining) {
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

// drain returns the events pushed since the last call, oldest first. If there are none, it sets the inbox idle and returns
// nil.
func (b *inbox) drain() *eventNode {
	if b.head.CompareAndSwap(&draining, nil) {
		return nil
	}
	var first *eventNode
	for n := b.head.Swap(&draining); n != &draining; {
		next := n.next
		n.next = first
		first, n = n, next
	}
	return first
}
