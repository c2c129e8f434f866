package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"carobbend.example/carobbend/publisher"
	"carobbend.example/carobbend/storeclient"
)

const (
	versionPath       = "/v1/rules/version"
	adminTimeout      = time.Second
	adminPollInterval = 200 * time.Millisecond
	// maxAdminCalls bounds the concurrent calls to instances.
	maxAdminCalls = 32
	maxAdminBytes = 64 << 10
)

// instanceFlags configure access to the admin APIs of the instances.
type instanceFlags struct {
	List        string   `env:"CAROBBEND_LIST" help:"Base address of the instance list; by default that of the store."`
	ListService string   `default:"carobbend" help:"Service under which instances are listed."`
	Admin       []string `help:"Admin addresses of the instances, like 127.0.0.1:7101, instead of the instance list."`
	AdminToken  string   `env:"CAROBBEND_ADMIN_TOKEN" help:"Token of the admin API; without it the instances are not asked."`
}

func (f *instanceFlags) instanceClient(store string) (*instanceClient, error) {
	for _, a := range f.Admin {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return nil, &exitError{exitUsage, fmt.Errorf("--admin: got %q, expected an IP address with port, like 127.0.0.1:7101", a)}
		}
	}
	base := store
	if f.List != "" {
		base = f.List
	}
	if err := checkURL("--list", base); err != nil {
		return nil, err
	}
	return &instanceClient{
		flags: f,
		list:  storeclient.NewList(base, f.ListService),
		http:  &http.Client{Timeout: adminTimeout, Transport: &http.Transport{DisableCompression: true}},
	}, nil
}

// instanceClient reads the rule version in force from the admin APIs of the instances.
type instanceClient struct {
	flags *instanceFlags
	list  *storeclient.List
	http  *http.Client
}

func (f *instanceClient) close() {
	f.list.Close()
	f.http.CloseIdleConnections()
}

// instanceStatus is the reply to GET /v1/rules/version, or the error that prevented one.
type instanceStatus struct {
	Instance     string `json:"instance"`
	RulesVersion uint64 `json:"rules-version"`
	Ready        bool   `json:"ready"`

	address string
	err     error
}

// name returns the instance's name and address, or the one that is known.
func (s instanceStatus) name() string {
	switch {
	case s.Instance == "":
		return s.address
	case s.address == "":
		return s.Instance
	}
	return s.Instance + " at " + s.address
}

// describe returns the version and readiness of the instance as text.
func (s instanceStatus) describe() string {
	switch {
	case s.err != nil:
		return "not known: " + s.err.Error()
	case !s.Ready:
		return fmt.Sprintf("version %d, not ready", s.RulesVersion)
	default:
		return fmt.Sprintf("version %d", s.RulesVersion)
	}
}

// statuses queries all live instances, or those of --admin.
func (f *instanceClient) statuses(ctx context.Context) ([]instanceStatus, error) {
	var out []instanceStatus
	for _, a := range f.flags.Admin {
		out = append(out, instanceStatus{address: a})
	}
	if len(out) == 0 {
		listed, err := f.list.Instances(ctx)
		if err != nil {
			return nil, err
		}
		for _, r := range listed {
			out = append(out, instanceStatus{Instance: r.Instance.Name, address: r.AdminAddress})
		}
	}
	var g errgroup.Group
	g.SetLimit(maxAdminCalls)
	for i := range out {
		g.Go(func() error {
			f.fetchVersion(ctx, &out[i])
			return nil
		})
	}
	return out, g.Wait()
}

func (f *instanceClient) fetchVersion(ctx context.Context, s *instanceStatus) {
	if s.address == "" {
		s.err = errors.New("no admin address in the instance list")
		return
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.address+versionPath, nil)
	if err != nil {
		s.err = err
		return
	}
	req.Header.Set("Authorization", "Bearer "+f.flags.AdminToken)
	res, err := f.http.Do(req)
	if err != nil {
		s.err = err
		return
	}
	b, err := io.ReadAll(io.LimitReader(res.Body, maxAdminBytes))
	if cerr := res.Body.Close(); err == nil {
		err = cerr
	}
	switch {
	case err != nil:
		s.err = err
	case res.StatusCode != http.StatusOK:
		s.err = fmt.Errorf("status %d", res.StatusCode)
	default:
		s.err = json.Unmarshal(b, s)
	}
}

// wait polls the instances until all have the version or the limit is reached, and prints on how many it is in force.
func (f *instanceClient) wait(ctx context.Context, out *printer, version uint64, limit time.Duration) error {
	if f.flags.AdminToken == "" {
		out.printf("instances not asked: expected --admin-token\n")
		return out.err
	}
	start := time.Now()
	for {
		all, err := f.statuses(ctx)
		behind := lagging(all, version)
		if took := time.Since(start); (err == nil && len(behind) == 0) || took >= limit || ctx.Err() != nil {
			return reportRollout(out, all, behind, version, took, err)
		}
		select {
		case <-time.After(adminPollInterval):
		case <-ctx.Done():
		}
	}
}

// lagging returns the instances that have an older version, or whose version couldn't be read.
func lagging(all []instanceStatus, version uint64) []instanceStatus {
	var out []instanceStatus
	for _, s := range all {
		if s.err != nil || s.RulesVersion < version {
			out = append(out, s)
		}
	}
	return out
}

func reportRollout(out *printer, all, behind []instanceStatus, version uint64, took time.Duration, err error) error {
	if err != nil {
		return &exitError{exitPartial, fmt.Errorf("version %d was accepted, but the instances are not known: %w", version, err)}
	}
	later := 0
	for _, s := range all {
		if s.err == nil && s.RulesVersion > version {
			later++
		}
	}
	out.printf("version %d is in force on %d of %d live instances after %v\n",
		version, len(all)-len(behind)-later, len(all), took.Round(time.Millisecond))
	if later > 0 {
		out.printf("%d instances have a later version\n", later)
	}
	if len(behind) == 0 {
		return out.err
	}
	names := make([]string, len(behind))
	for i, s := range behind {
		names[i] = s.name() + " (" + s.describe() + ")"
	}
	return &exitError{exitPartial, fmt.Errorf("version %d is not in force on: %s", version, strings.Join(names, ", "))}
}

type rulesStatusCmd struct {
	storeFlags    `embed:""`
	instanceFlags `embed:""`
	Change        string `placeholder:"VERSION/ID" help:"Look up a change whose apply ended as unknown."`
}

// Run prints the version in the store and on each instance.
func (c *rulesStatusCmd) Run() error { return c.run(&printer{w: os.Stdout}) }

func (c *rulesStatusCmd) run(p *printer) error {
	return c.withPublisher(func(ctx context.Context, pub *publisher.Publisher) error { return c.status(ctx, p, pub) })
}

func (c *rulesStatusCmd) status(ctx context.Context, p *printer, pub *publisher.Publisher) error {
	if c.Change != "" {
		return c.findChange(ctx, p, pub)
	}
	adminClient, err := c.instanceClient(c.Store)
	if err != nil {
		return err
	}
	defer adminClient.close()
	v, serr := pub.Current(ctx)
	if serr == nil {
		p.printf("store: version %d, change %s\n", v.GetVersion(), v.GetChangeId())
	}
	if adminClient.flags.AdminToken == "" {
		p.printf("instances not asked: expected --admin-token\n")
		return errors.Join(serr, p.err)
	}
	all, err := adminClient.statuses(ctx)
	for _, s := range all {
		p.printf("%s: %s\n", s.name(), s.describe())
	}
	if serr != nil || err != nil {
		return errors.Join(serr, err)
	}
	return reportRollout(p, all, lagging(all, v.GetVersion()), v.GetVersion(), 0, nil)
}

func (c *rulesStatusCmd) findChange(ctx context.Context, p *printer, pub *publisher.Publisher) error {
	number, id, _ := strings.Cut(c.Change, "/")
	version, err := strconv.ParseUint(number, 10, 64)
	if err != nil || version == 0 || id == "" {
		return &exitError{exitUsage, fmt.Errorf("--change: got %q, expected VERSION/ID as printed by rules apply", c.Change)}
	}
	res, err := pub.ChangeOutcome(ctx, version, id)
	if err != nil {
		return &exitError{exitUnknown, err}
	}
	p.printf("change %s: %s: %s\n", id, res.Outcome, res.Detail)
	switch res.Outcome {
	case publisher.InForce:
		return p.err
	case publisher.Unknown:
		return &exitError{exitUnknown, errors.New("unknown")}
	default:
		p.audit(res.Others)
		return &exitError{exitFailure, errors.New("not accepted")}
	}
}
