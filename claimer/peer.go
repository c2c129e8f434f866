package claimer

import (
	"context"
	"time"

	"carobbend.example/carobbend/encoder"
)

// forward sends a request to the partition's preferred instance. It returns false if this instance is the preferred
// one, so that nothing was forwarded, and StatusUnknown if the peer may have handled it.
func (c *Claimer) forward(ctx context.Context, partition string, req Request) (Result, bool) {
	name, self := c.preferred(partition)
	if self {
		return Result{}, false
	}
	timeout := c.forwardTimeout(req.Action)
	if deadline, ok := ctx.Deadline(); ok {
		// Half of the time stays for committing without the peer.
		timeout = min(timeout, time.Until(deadline)/2)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c.counters.asked.Add(1)
	reply, err := c.peers.Ask(ctx, name, &encoder.Frame{Body: &encoder.Frame_ClaimRequest{ClaimRequest: toWire(req)}})
	r := Result{Status: StatusUnknown}
	if err == nil {
		r = fromReply(req.Action, reply.GetClaimReply())
	}
	if r.Status == StatusUnknown || retryLocally(r) {
		c.counters.fallbacks.Add(1)
	}
	return r, true
}

// forwardTimeout is how long a forwarded request may take; a finish or release may be delayed by recordDelay.
func (c *Claimer) forwardTimeout(a Action) time.Duration {
	if a == ActionClaim {
		return c.peerTimeout
	}
	return c.peerTimeout + c.recordDelay
}

// preferred returns the instance that commits for the partition and whether it is this one.
func (c *Claimer) preferred(partition string) (string, bool) {
	if c.peers == nil {
		return "", true
	}
	p := c.peers.Preferred(partition, 1)
	if len(p) == 0 {
		return "", true
	}
	return p[0].Name, p[0].Name == c.peers.Self().Name
}

// HandlePeer implements carobbend.PeerHandler. This instance always commits the request itself, even if its membership
// view prefers another one, so that differing views can't cause a forwarding loop.
func (c *Claimer) HandlePeer(ctx context.Context, _ string, req *encoder.Frame) *encoder.Frame {
	w := req.GetClaimRequest()
	if w == nil {
		return nil
	}
	r := Result{Status: StatusRefused, Detail: "the request is incomplete"}
	if q, ok := fromWire(w); ok {
		ctx, cancel := context.WithTimeout(ctx, c.forwardTimeout(q.Action))
		defer cancel()
		r = c.partition(q.Key).submit(ctx, q)
	}
	return &encoder.Frame{Body: &encoder.Frame_ClaimReply{ClaimReply: &encoder.ClaimReply{
		Status: statusToWire(r.Status), Result: r.Answer, Detail: r.Detail,
	}}}
}

func toWire(req Request) *encoder.ClaimRequest {
	return &encoder.ClaimRequest{
		Key: req.Key, Fingerprint: req.Fingerprint, Owner: req.Owner, Result: req.Answer,
		Action: actions[req.Action],
	}
}

var actions = map[Action]encoder.ClaimAction{
	ActionClaim:   encoder.ClaimAction_CLAIM_ACTION_CLAIM,
	ActionFinish:  encoder.ClaimAction_CLAIM_ACTION_FINISH,
	ActionRelease: encoder.ClaimAction_CLAIM_ACTION_RELEASE,
}

func fromWire(w *encoder.ClaimRequest) (Request, bool) {
	req := Request{Key: w.GetKey(), Fingerprint: w.GetFingerprint(), Owner: w.GetOwner(), Answer: w.GetResult()}
	for a, wire := range actions {
		if wire == w.GetAction() {
			req.Action = a
		}
	}
	return req, req.Action != 0 && req.Key != "" && req.Owner != ""
}

var statuses = map[Status]encoder.ClaimStatus{
	StatusOwned:    encoder.ClaimStatus_CLAIM_STATUS_OWNED,
	StatusTaken:    encoder.ClaimStatus_CLAIM_STATUS_TAKEN,
	StatusFinished: encoder.ClaimStatus_CLAIM_STATUS_FINISHED,
	StatusConflict: encoder.ClaimStatus_CLAIM_STATUS_CONFLICT,
	StatusExpired:  encoder.ClaimStatus_CLAIM_STATUS_EXPIRED,
	StatusRefused:  encoder.ClaimStatus_CLAIM_STATUS_REFUSED,
	StatusUnknown:  encoder.ClaimStatus_CLAIM_STATUS_UNKNOWN,
}

// statusToWire maps StatusReleased to owned, since the protocol has no status for it and only an owner's release is
// answered with it.
func statusToWire(s Status) encoder.ClaimStatus {
	if s == StatusReleased {
		return encoder.ClaimStatus_CLAIM_STATUS_OWNED
	}
	return statuses[s]
}

func fromReply(a Action, reply *encoder.ClaimReply) Result {
	r := Result{Status: StatusUnknown, Answer: reply.GetResult(), Detail: reply.GetDetail()}
	for s, wire := range statuses {
		if wire == reply.GetStatus() {
			r.Status = s
		}
	}
	if a == ActionRelease && r.Status == StatusOwned {
		r.Status = StatusReleased
	}
	return r
}
