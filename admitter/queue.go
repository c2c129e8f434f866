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

// classOrder breaks ties between classes.
var classOrder = [classCount]carobbend.Class{carobbend.ClassFirst, carobbend.ClassOrdinary, carobbend.ClassLast}

// maxIdleHouses is the number of houses without waiting queries above which those with complete credit are evicted.
const maxIdleHouses = 64

// creditRounds is the maximum number of idle rounds for which a house is credited its quantum.
const creditRounds = 4

// classQueue holds the queues of the houses of one class and serves them by deficit round robin. A house that left
// its quantum unused is served first when it becomes active again, up to a bounded credit; thus a house within its share
// doesn't wait behind one that floods.
type classQueue struct {
	weight      float64
	virtualTime float64
	waiting     int
	// shares is the sum of the weights of the houses that wait.
	shares int
	houses map[string]*houseQueue
	// ring lists the waiting houses in the order of service; the first one is being served.
	ring []*houseQueue
	// quantum is the greatest cost offered so far, so that each round serves at least one query of each house.
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
	// idleSince is the round since which the house has been idle, less the rounds' worth of deficit that it left unused.
	idleSince float64
}

func newClassQueue(weight float64) *classQueue {
	return &classQueue{weight: weight, houses: map[string]*houseQueue{}, quantum: 1}
}

func (q *houseQueue) len() int { return len(q.tickets) }

// house returns the queue of a house and creates it if needed; evictIdle removes it once its credit is complete.
func (c *classQueue) house(name string, share int) *houseQueue {
	q := c.houses[name]
	if q == nil {
		q = &houseQueue{house: name, share: share, idleSince: c.round - creditRounds}
		c.houses[name] = q
	}
	return q
}

// evictIdle removes the houses without waiting queries whose credit is complete, as that of a new house is.
func (c *classQueue) evictIdle() {
	for name, q := range c.houses {
		if q.len() == 0 && c.round-q.idleSince >= creditRounds {
			delete(c.houses, name)
		}
	}
}

// credit returns the cost up to which a house is served in its next turn without a new quantum.
func (c *classQueue) credit(q *houseQueue) int {
	if q.len() > 0 {
		return q.deficit
	}
	return int(min(c.round-q.idleSince, creditRounds) * float64(c.quantum*q.share))
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
			c.deactivate(0)
		}
		return e
	}
}

// deactivate removes the i-th house, which has no waiting query any more, from the ring.
func (c *classQueue) deactivate(i int) {
	q := c.ring[i]
	c.ring = append(c.ring[:i:i], c.ring[i+1:]...)
	c.shares -= q.share
	// The rest of the deficit counts as unused quantum, so that a house with few queries at a time keeps its credit.
	q.idleSince = c.round - min(float64(max(q.deficit, 0))/float64(c.quantum*q.share), creditRounds)
	q.deficit = 0
	if len(c.houses) > 2*len(c.ring)+maxIdleHouses {
		c.evictIdle()
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
				c.deactivate(i)
			}
			return true
		}
	}
	return false
}
