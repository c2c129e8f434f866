package claimer

import (
	"bytes"
	"slices"
	"strings"

	"carobbend.example/carobbend/encoder"
)

// Action is the change that a request asks for.
type Action int

const (
	// ActionClaim creates the claim if the key is free.
	ActionClaim Action = iota + 1
	// ActionFinish stores the answer of the owner's operation.
	ActionFinish
	// ActionRelease frees the key for other owners; only an owner that never wrote to an upstream may request it.
	ActionRelease
)

// Request asks for one change of one claim.
type Request struct {
	Action Action
	// Key is the operation key in canonical ULID form.
	Key string
	// Fingerprint identifies the content of the operation.
	Fingerprint []byte
	// Owner is unique for each attempt to run the operation.
	Owner string
	// Answer is stored by ActionFinish; at most MaxAnswerBytes are kept, longer answers are dropped.
	Answer []byte
}

// MaxAnswerBytes bounds the stored answer of one operation.
const MaxAnswerBytes = 1 << 10

// Status is the result of a request.
type Status string

const (
	// StatusOwned says that the claim is committed under the request's owner id and isn't finished.
	StatusOwned Status = "owned"
	// StatusTaken says that another owner holds the claim.
	StatusTaken Status = "taken"
	// StatusFinished says that the operation ran and its result is committed.
	StatusFinished Status = "finished"
	// StatusReleased says that the last owner released the key without running the operation.
	StatusReleased Status = "released"
	// StatusAbsent says that the partition holds no record of the key; only Lookup returns it.
	StatusAbsent Status = "absent"
	// StatusConflict says that the key was used with another fingerprint.
	StatusConflict Status = "conflict"
	// StatusExpired says that the key is at or below the partition's floor and has no record.
	StatusExpired Status = "expired"
	// StatusRefused says that nothing was committed for this request and nothing will be.
	StatusRefused Status = "refused"
	// StatusUnknown says that the change may have been committed or may still be.
	StatusUnknown Status = "unknown"
)

// Result is the outcome of a request.
type Result struct {
	Status Status
	// Answer is the stored answer of a finished operation; nil where it was too large to be kept.
	Answer []byte
	// Detail explains the status in a few words.
	Detail string
	// PeerMayCommit says that the request was also forwarded to a peer, which may still commit it. A claim on a taken key
	// may therefore succeed later, once the key is released; an owner that no longer waits for it must release it.
	PeerMayCommit bool
}

// Temporary reports whether the same request may yield another result later, without another request of its owner in
// between.
func (r Result) Temporary() bool {
	switch r.Status {
	case StatusUnknown:
		return true
	case StatusRefused:
		return r.Detail == DetailStoreDown || r.Detail == DetailStoreLimited || r.Detail == DetailWithdrawn
	default:
		return false
	}
}

// Details of refused requests.
const (
	DetailStoreDown       = "store unavailable"
	DetailStoreLimited    = "store rate limit reached"
	DetailFull            = "claim partition full of later keys"
	DetailWithdrawn       = "withdrawn before it was committed"
	DetailNoClaim         = "the owner holds no claim"
	DetailAlreadyReleased = "the owner released this claim"
	DetailBadValue        = "the partition's value can't be decoded"
)

// Bounds limits a partition. Beyond them, the claims with the smallest keys are evicted, and the partition's floor rises
// to the greatest evicted key. Keys at or below the floor can't be claimed any more.
type Bounds struct {
	// Claims is the greatest number of claims.
	Claims int
	// Bytes is the greatest size of all claims in bytes.
	Bytes int
}

// DefaultBounds keeps a partition's value far below the store's limit of 1 MB, since each swap writes it whole.
var DefaultBounds = Bounds{Claims: 1024, Bytes: 128 << 10}

// claimOverhead is the size in bytes of a claim beyond its fields' contents, rounded up.
const claimOverhead = 16

// Apply applies a batch in order to a partition, which it doesn't modify. It returns the changed partition, or p
// itself where nothing changed, and one result for each request. The results hold once the returned partition is
// committed.
func Apply(p *encoder.ClaimPartition, batch []Request, b Bounds) (*encoder.ClaimPartition, []Result) {
	s := workingCopy{floor: p.GetFloor(), claims: p.GetClaims(), bounds: b}
	results := make([]Result, len(batch))
	for i, req := range batch {
		switch req.Action {
		case ActionClaim:
			results[i] = s.claim(req)
		case ActionFinish:
			results[i] = s.finish(req)
		case ActionRelease:
			results[i] = s.release(req)
		default:
			results[i] = Result{Status: StatusRefused, Detail: "unknown action"}
		}
	}
	if !s.changed {
		return p, results
	}
	return &encoder.ClaimPartition{Floor: s.floor, Claims: s.claims}, results
}

// Find returns what a partition records of a key.
func Find(p *encoder.ClaimPartition, key string) Result {
	s := workingCopy{floor: p.GetFloor(), claims: p.GetClaims()}
	i, ok := s.find(key)
	switch {
	case !ok && key <= s.floor:
		return Result{Status: StatusExpired}
	case !ok:
		return Result{Status: StatusAbsent}
	case released(s.claims[i]):
		return Result{Status: StatusReleased}
	case s.claims[i].GetFinished():
		return Result{Status: StatusFinished, Answer: s.claims[i].GetResult()}
	default:
		return Result{Status: StatusTaken}
	}
}

// workingCopy is a partition while a batch is applied to it. Claims are replaced and never modified; the slice is
// copied before its first change.
type workingCopy struct {
	floor   string
	claims  []*encoder.Claim
	bounds  Bounds
	size    int
	changed bool
}

// released reports whether the last owner released the key; such a claim has no owner.
func released(c *encoder.Claim) bool { return c.GetOwner() == "" }

// releasedBy reports whether the owner released the key earlier. Until a claim is finished, its result field lists
// the owners that released it, so that a late or repeated request of one of them can't claim the key again and block it.
func releasedBy(c *encoder.Claim, owner string) bool {
	return !c.GetFinished() && slices.Contains(strings.Split(string(c.GetResult()), ownerSeparator), owner)
}

// addReleasedOwner returns the list of releasing owners with owner added; beyond maxReleasedOwners the oldest are dropped.
func addReleasedOwner(c *encoder.Claim, owner string) []byte {
	var owners []string
	if r := c.GetResult(); len(r) > 0 {
		owners = strings.Split(string(r), ownerSeparator)
	}
	owners = append(owners, owner)
	return []byte(strings.Join(owners[max(len(owners)-maxReleasedOwners, 0):], ownerSeparator))
}

const (
	ownerSeparator    = ","
	maxReleasedOwners = 16
)

func (s *workingCopy) find(key string) (int, bool) {
	return slices.BinarySearchFunc(s.claims, key, func(c *encoder.Claim, key string) int {
		return strings.Compare(c.GetKey(), key)
	})
}

func (s *workingCopy) claim(req Request) Result {
	i, ok := s.find(req.Key)
	if !ok {
		if req.Key <= s.floor {
			return Result{Status: StatusExpired}
		}
		return s.insert(&encoder.Claim{Key: req.Key, Fingerprint: req.Fingerprint, Owner: req.Owner}, StatusOwned)
	}
	c := s.claims[i]
	if !bytes.Equal(c.GetFingerprint(), req.Fingerprint) {
		return Result{Status: StatusConflict}
	}
	switch {
	case c.GetFinished():
		return Result{Status: StatusFinished, Answer: c.GetResult()}
	case releasedBy(c, req.Owner):
		return Result{Status: StatusRefused, Detail: DetailAlreadyReleased}
	case c.GetOwner() == req.Owner:
		return Result{Status: StatusOwned}
	case !released(c):
		return Result{Status: StatusTaken}
	}
	s.replace(i, &encoder.Claim{
		Key: req.Key, Fingerprint: req.Fingerprint, Owner: req.Owner, Result: c.GetResult(),
	})
	s.evict()
	return Result{Status: StatusOwned}
}

func (s *workingCopy) finish(req Request) Result {
	i, ok := s.find(req.Key)
	if !ok && req.Key <= s.floor {
		return Result{Status: StatusExpired}
	}
	if !ok {
		return Result{Status: StatusRefused, Detail: DetailNoClaim}
	}
	c := s.claims[i]
	if c.GetOwner() != req.Owner {
		return Result{Status: StatusTaken}
	}
	if !c.GetFinished() {
		n := &encoder.Claim{Key: c.GetKey(), Fingerprint: c.GetFingerprint(), Owner: c.GetOwner(), Finished: true}
		if len(req.Answer) <= MaxAnswerBytes {
			n.Result = req.Answer
		}
		s.replace(i, n)
		c = n
		s.evict()
	}
	return Result{Status: StatusFinished, Answer: c.GetResult()}
}

func (s *workingCopy) release(req Request) Result {
	i, ok := s.find(req.Key)
	if !ok && req.Key <= s.floor {
		return Result{Status: StatusExpired}
	}
	if !ok {
		// The release is recorded even without a claim, since the owner's claim request may still arrive.
		return s.insert(&encoder.Claim{
			Key: req.Key, Fingerprint: req.Fingerprint, Result: []byte(req.Owner),
		}, StatusReleased)
	}
	c := s.claims[i]
	if c.GetFinished() {
		return Result{Status: StatusFinished, Answer: c.GetResult()}
	}
	owner := c.GetOwner()
	if owner == req.Owner {
		owner = ""
	}
	if !releasedBy(c, req.Owner) {
		s.replace(i, &encoder.Claim{
			Key: c.GetKey(), Fingerprint: c.GetFingerprint(), Owner: owner, Result: addReleasedOwner(c, req.Owner),
		})
		s.evict()
	}
	if owner != "" {
		return Result{Status: StatusTaken}
	}
	return Result{Status: StatusReleased}
}

// insert adds a claim and evicts the smallest keys beyond the bounds. A claim that would itself be evicted is
// refused and changes nothing, so that it can't raise the floor.
func (s *workingCopy) insert(c *encoder.Claim, status Status) Result {
	s.ensureCopied()
	i, _ := s.find(c.GetKey())
	if drop := s.evictionCount(claimSize(c), 1); drop > i {
		return Result{Status: StatusRefused, Detail: DetailFull}
	}
	s.claims = slices.Insert(s.claims, i, c)
	s.size += claimSize(c)
	s.changed = true
	s.evict()
	return Result{Status: status}
}

func (s *workingCopy) replace(i int, c *encoder.Claim) {
	s.ensureCopied()
	s.size += claimSize(c) - claimSize(s.claims[i])
	s.claims[i] = c
	s.changed = true
}

// ensureCopied copies the slice of claims before its first change.
func (s *workingCopy) ensureCopied() {
	if s.size > 0 {
		return
	}
	s.claims = append(make([]*encoder.Claim, 0, len(s.claims)+8), s.claims...)
	for _, c := range s.claims {
		s.size += claimSize(c)
	}
}

// evictionCount returns how many of the smallest claims must be evicted before n claims of size bytes can be added.
func (s *workingCopy) evictionCount(size, n int) int {
	size += s.size
	drop := 0
	for drop < len(s.claims) && (len(s.claims)+n-drop > s.bounds.Claims || size > s.bounds.Bytes) {
		size -= claimSize(s.claims[drop])
		drop++
	}
	return drop
}

// evict drops the smallest keys beyond the bounds and raises the floor to the greatest of them. Unfinished claims may
// be evicted too, since no other owner can claim a key at or below the floor.
func (s *workingCopy) evict() {
	drop := s.evictionCount(0, 0)
	if drop == 0 {
		return
	}
	for _, c := range s.claims[:drop] {
		s.size -= claimSize(c)
	}
	s.floor = max(s.floor, s.claims[drop-1].GetKey())
	s.claims = s.claims[drop:]
	s.changed = true
}

func claimSize(c *encoder.Claim) int {
	return claimOverhead + len(c.GetKey()) + len(c.GetFingerprint()) + len(c.GetOwner()) + len(c.GetResult())
}
