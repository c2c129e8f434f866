package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/oklog/ulid/v2"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/requester"
)

type operateCmd struct {
	callerFlags
	Operation string        `arg:"" optional:"" help:"Operation to run; left out with --status."`
	Body      string        `help:"JSON body that is passed to the upstream." default:"{}"`
	Key       string        `help:"Idempotency key (ULID). Repeat an unknown operation only under its key; a new key if left out."`
	Deadline  time.Duration `help:"Deadline of the result, at most 60s." default:"5s"`
	Status    bool          `help:"Print the status of --key without running anything."`
}

// Run sends the operation or asks for its status; the exit code tells done (0), not run (3) and unknown (4) apart.
func (c *operateCmd) Run() error {
	if c.Key != "" {
		if _, err := ulid.ParseStrict(c.Key); err != nil {
			return &exitError{exitUsage, fmt.Errorf("--key: expected a ULID, got %q", c.Key)}
		}
	}
	if c.Status == (c.Operation != "") || c.Status && c.Key == "" {
		return &exitError{exitUsage, errors.New("expected an operation, or --status with --key")}
	}
	if !json.Valid([]byte(c.Body)) {
		return &exitError{exitUsage, fmt.Errorf("--body: expected JSON, got %q", c.Body)}
	}
	return c.withRequester(func(ctx context.Context, r *requester.Requester) error {
		res, err := c.send(ctx, r)
		if perr := printJSON(res); perr != nil {
			return perr
		}
		var e *requester.Error
		switch {
		case errors.As(err, &e) && e.Kind == requester.KindRefused:
			return callerError(err)
		case err != nil:
			return outcomeError(res.Outcome, err.Error())
		case res.Conflict:
			return &exitError{exitFailure, errors.New("conflict: the key was used before with another request")}
		}
		return outcomeError(res.Outcome, res.Detail)
	})
}

func (c *operateCmd) send(ctx context.Context, r *requester.Requester) (carobbend.OperationResult, error) {
	if c.Status {
		return r.OperationStatus(ctx, c.Key)
	}
	return r.Operate(ctx, carobbend.OperationRequest{
		Key: c.Key, Operation: c.Operation, Body: json.RawMessage(c.Body),
		DeadlineMs: float64(c.Deadline) / float64(time.Millisecond),
	})
}
