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

// maxIdleHouses is the number of houses without waiting queries that are kept before forgotten ones are dropped.
const maxIdleHouses = 64

// creditRounds is the number of rounds without waiting queries for which a house is credited its quantum.
const creditRounds = 4

// classQueue holds the queues of the houses of one class and serves them by deficit round robin. A house that left
// its quantum unused is served first when it comes back, up to a bounded credit; a house within its share thus
// doesn't wait behind one that floods.
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
	// round counts the rounds served, as cost over the quanta of all waiting houses.
	round float64
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
	// leftAt is the round in which the house last stopped waiting.
	leftAt float64
}

func newClassQueue(weight float64) *classQueue {
	return &classQueue{weight: weight, houses: map[string]*houseQueue{}, quantum: 1}
}

func (q *houseQueue) len() int { return len(q.tickets) }

// house returns the queue of a house; forget removes it again once its credit is complete.
func (c *classQueue) house(name string, share int) *houseQueue {
	q := c.houses[name]
	if q == nil {
		q = &houseQueue{house: name, share: share, leftAt: c.round - creditRounds}
		c.houses[name] = q
	}
	return q
}

// forget drops houses that don't wait and have nothing to remember.
func (c *classQueue) forget() {
	for name, q := range c.houses {
		if q.len() == 0 && c.round-q.leftAt >= creditRounds {
			delete(c.houses, name)
		}
	}
}

// credit is the cost that a house may be served at once.
func (c *classQueue) credit(q *houseQueue) int {
	if q.len() > 0 {
		return q.deficit
	}
	return int(min(c.round-q.leftAt, creditRounds) * float64(c.quantum*q.share))
}

func (c *classQueue) push(now time.Time, q *houseQueue, t *carobbend.Ticket) {
	c.quantum = max(c.quantum, costOf(t))
	if q.len() == 0 {
		q.deficit = c.credit(q)
		q.granted = true
		c.ring = append([]*houseQueue{q}, c.ring...)
		c.shares += q.share
	}
	q.tickets = append(q.tickets, entry{ticket: t, offered: now})
	q.cost += costOf(t)
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
		c.round += float64(costOf(e.ticket)) / float64(c.quantum*c.shares)
		if q.len() == 0 {
			c.retire(0)
		}
		return e
	}
}

// retire takes the i-th house, which no longer waits, out of the ring.
func (c *classQueue) retire(i int) {
	q := c.ring[i]
	c.ring = append(c.ring[:i:i], c.ring[i+1:]...)
	c.shares -= q.share
	// What is left of a deficit counts as unused, so that a house with few queries at a time keeps its credit.
	q.leftAt = c.round - min(float64(max(q.deficit, 0))/float64(c.quantum*q.share), creditRounds)
	q.deficit = 0
	if len(c.houses) > 2*len(c.ring)+maxIdleHouses {
		c.forget()
	}
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
