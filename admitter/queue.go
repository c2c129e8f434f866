package admitter

import (
	"time"

	"carobbend.example/carobbend"
)

const classCount = 3

// classWeights are the weights of the classes, indexed by carobbend.Class.
var classWeights = [classCount]float64{
	carobbend.ClassOrdinary: 3,
	carobbend.ClassFirst:    8,
	carobbend.ClassLast:     1,
}

// classOrder settles ties between classes.
var classOrder = [classCount]carobbend.Class{carobbend.ClassFirst, carobbend.ClassOrdinary, carobbend.ClassLast}

// classQueue holds the queues of the houses of one class and serves them by deficit round robin.
type classQueue struct {
	weight  float64
	virtual float64
	waiting int
	// shares is the sum of the weights of the houses that wait.
	shares int
	houses map[string]*houseQueue
	// ring lists the waiting houses in the order of service; the first one is being served.
	ring []*houseQueue
	// quantum is the greatest cost seen, so that each round serves at least one query of each house.
	quantum int
}

// entry is a ticket with the time at which it was offered.
type entry struct {
	ticket  *carobbend.Ticket
	offered time.Time
}

type houseQueue struct {
	house   string
	share   int
	tickets []entry
	cost    int
	deficit int
	// granted says that the house got its quantum in this round.
	granted bool
}

func newClassQueue(weight float64) *classQueue {
	return &classQueue{weight: weight, houses: map[string]*houseQueue{}, quantum: 1}
}

func (q *houseQueue) len() int { return len(q.tickets) }

// house returns the queue of a house; drop removes it again if it stays empty.
func (c *classQueue) house(name string, share int) *houseQueue {
	q := c.houses[name]
	if q == nil {
		q = &houseQueue{house: name, share: share}
		c.houses[name] = q
	}
	return q
}

func (c *classQueue) drop(q *houseQueue) {
	if q.len() == 0 {
		delete(c.houses, q.house)
	}
}

func (c *classQueue) push(now time.Time, q *houseQueue, t *carobbend.Ticket) {
	if q.len() == 0 {
		c.ring = append(c.ring, q)
		c.shares += q.share
	}
	q.tickets = append(q.tickets, entry{ticket: t, offered: now})
	q.cost += costOf(t)
	c.quantum = max(c.quantum, costOf(t))
	c.waiting++
}

// pop returns the next ticket; the class must not be empty.
func (c *classQueue) pop() entry {
	for {
		q := c.ring[0]
		if !q.granted {
			q.deficit += c.quantum * q.share
			q.granted = true
		}
		e := q.tickets[0]
		if q.deficit < costOf(e.ticket) {
			q.granted = false
			c.ring = append(c.ring[1:], q)
			continue
		}
		q.deficit -= costOf(e.ticket)
		q.tickets = q.tickets[1:]
		q.cost -= costOf(e.ticket)
		c.waiting--
		if q.len() == 0 {
			c.retire(0)
		}
		return e
	}
}

// retire takes the i-th house of the ring out; a house that no longer waits keeps no deficit.
func (c *classQueue) retire(i int) {
	q := c.ring[i]
	c.ring = append(c.ring[:i:i], c.ring[i+1:]...)
	c.shares -= q.share
	delete(c.houses, q.house)
}

func (c *classQueue) remove(t *carobbend.Ticket) bool {
	for i, q := range c.ring {
		if q.house != t.Query.House {
			continue
		}
		for j, o := range q.tickets {
			if o.ticket != t {
				continue
			}
			q.tickets = append(q.tickets[:j:j], q.tickets[j+1:]...)
			q.cost -= costOf(t)
			c.waiting--
			if q.len() == 0 {
				c.retire(i)
			}
			return true
		}
	}
	return false
}
