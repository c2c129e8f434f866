package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/requester"
)

// callerFlags select the instances to ask and identify the caller.
type callerFlags struct {
	Instances  []string             `help:"Caller addresses (IP:PORT) to ask for the instances to use." default:"127.0.0.1:7100" env:"CAROBBEND_INSTANCES"`
	Token      string               `help:"Caller token." required:"" env:"CAROBBEND_TOKEN"`
	Client     string               `help:"Name that tells this process from others of the caller; random if left out."`
	DataCentre carobbend.DataCentre `help:"Data centre to prefer; that of the instance asked if left out."`
	Attempts   int                  `help:"Maximum number of instances that one request is sent to." default:"3"`
}

func (f callerFlags) requester() (*requester.Requester, error) {
	return requester.New(requester.Config{
		Instances: f.Instances, Token: f.Token, Client: f.Client, DataCentre: f.DataCentre, Attempts: f.Attempts,
	})
}

// withRequester calls do with a requester and a context that SIGTERM and SIGINT cancel.
func (f callerFlags) withRequester(do func(ctx context.Context, r *requester.Requester) error) error {
	r, err := f.requester()
	if err != nil {
		return &exitError{exitUsage, err}
	}
	defer r.Close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return do(ctx, r)
}

// callerError makes a refusal by the instance a usage error; other errors keep the exit code for failure.
func callerError(err error) error {
	var e *requester.Error
	if errors.As(err, &e) && e.Kind == requester.KindRefused {
		return &exitError{exitUsage, err}
	}
	return err
}

// outcomeError returns an error with the exit code of an outcome, or nil for complete and done.
func outcomeError(o carobbend.Outcome, detail string) error {
	code := exitFailure
	switch o {
	case carobbend.OutcomeComplete, carobbend.OutcomeDone:
		return nil
	case carobbend.OutcomePartial:
		code = exitPartial
	case carobbend.OutcomeNotRun:
		code = exitNotRun
	case carobbend.OutcomeUnknown:
		code = exitUnknown
	}
	if detail == "" {
		return &exitError{code, errors.New(string(o))}
	}
	return &exitError{code, fmt.Errorf("%s: %s", o, detail)}
}

func printJSON(v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Println(string(b))
	return err
}
