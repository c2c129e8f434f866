package storeclient

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"

	"carobbend.example/carobbend"
	"carobbend.example/carobbend/logger"
)

// Keys of the Meta of a registered instance.
const (
	MetaDataCentre    = "data-centre"
	MetaIncarnation   = "incarnation"
	MetaPeerAddress   = "peer-address"
	MetaAdminAddress  = "admin-address"
	healthPath        = "/v1/health/service/"
	registerPath      = "/v1/agent/service/register"
	deregisterPath    = "/v1/agent/service/deregister/"
	maintenancePath   = "/v1/agent/service/maintenance/"
	passPath          = "/v1/agent/check/pass/service:"
	maintenancePrefix = "_service_maintenance:"
)

// Registration is the entry of one instance or upstream in the instance list.
type Registration struct {
	// Instance has only Name, Incarnation, DataCentre, CallerAddress, PeerAddress and Leaving set.
	Instance carobbend.Instance
	// AdminAddress is the IP address and port of the admin API; empty if there is none.
	AdminAddress string
}

// List is a client of the instance list of one service. It is safe for concurrent use.
type List struct {
	t       *transport
	service string
	log     logger.Logger
	// ignored holds the entries that were logged as ignored.
	ignored logger.Once
}

// NewList returns a client of the list at a base address for one service. It opens no connection.
func NewList(baseURL, service string, opts ...Option) *List {
	return &List{t: newTransport(baseURL, opts), service: service, log: logger.New("storeclient")}
}

// Close closes the idle connections.
func (l *List) Close() { l.t.http.CloseIdleConnections() }

// Calls returns the numbers of calls since the client was created.
func (l *List) Calls() Calls { return l.t.calls() }

type listService struct {
	ID      string            `json:"ID"`
	Name    string            `json:"Name,omitempty"`
	Address string            `json:"Address"`
	Port    int               `json:"Port"`
	Meta    map[string]string `json:"Meta,omitempty"`
}

type listHealth struct {
	Service listService
	Checks  []struct {
		CheckID string
		Status  string
	}
}

// Instances returns the registered instances in the order of the list, with leaving ones marked. Entries that can't be decoded, such
// as those of another writer, are left out, and an address that can't be connected to is empty.
func (l *List) Instances(ctx context.Context) ([]Registration, error) {
	rep, err := l.call(ctx, "list", l.service, http.MethodGet, healthPath+url.PathEscape(l.service), nil, nil)
	if err != nil {
		return nil, err
	}
	var entries []json.RawMessage
	if err := json.Unmarshal(rep.body, &entries); err != nil {
		return nil, storeError("list", l.service, carobbend.StoreUnavailable, fmt.Errorf("reply: expected a list of services: %w", err))
	}
	out := make([]Registration, 0, len(entries))
	for _, raw := range entries {
		var e listHealth
		if err := json.Unmarshal(raw, &e); err != nil {
			if l.ignored.First(e.Service.ID + " " + err.Error()) {
				l.log.Info("instance list entry ignored", "service", l.service, "id", e.Service.ID, "reason", err.Error())
			}
			continue
		}
		r := registration(e.Service)
		for _, c := range e.Checks {
			if strings.HasPrefix(c.CheckID, maintenancePrefix) && c.Status == "critical" {
				r.Instance.Leaving = true
			}
		}
		out = append(out, r)
	}
	return out, nil
}

func registration(s listService) Registration {
	return Registration{
		Instance: carobbend.Instance{
			Name:          s.ID,
			Incarnation:   s.Meta[MetaIncarnation],
			DataCentre:    carobbend.DataCentre(s.Meta[MetaDataCentre]),
			CallerAddress: callerAddress(s),
			PeerAddress:   s.Meta[MetaPeerAddress],
		},
		AdminAddress: s.Meta[MetaAdminAddress],
	}
}

// callerAddress returns the address and port of an entry, or "" if they are none.
func callerAddress(s listService) string {
	address := net.JoinHostPort(s.Address, strconv.Itoa(s.Port))
	if a, err := netip.ParseAddrPort(address); err != nil || a.Port() == 0 {
		return ""
	}
	return address
}

// Register adds or replaces an instance.
func (l *List) Register(ctx context.Context, r Registration) error {
	in := r.Instance
	host, port, err := net.SplitHostPort(in.CallerAddress)
	if err != nil {
		return storeError("register", in.Name, carobbend.StoreUnavailable, err)
	}
	n, err := strconv.Atoi(port)
	if err != nil {
		return storeError("register", in.Name, carobbend.StoreUnavailable, fmt.Errorf("port %q: expected a number", port))
	}
	body, err := json.Marshal(listService{ID: in.Name, Name: l.service, Address: host, Port: n, Meta: map[string]string{
		MetaDataCentre: string(in.DataCentre), MetaIncarnation: in.Incarnation,
		MetaPeerAddress: in.PeerAddress, MetaAdminAddress: r.AdminAddress,
	}})
	if err != nil {
		return storeError("register", in.Name, carobbend.StoreUnavailable, err)
	}
	_, err = l.call(ctx, "register", in.Name, http.MethodPut, registerPath, nil, body)
	return err
}

// PassCheck reports the health check of an instance as passing, which renews its TTL.
func (l *List) PassCheck(ctx context.Context, name string) error {
	_, err := l.call(ctx, "pass", name, http.MethodPut, passPath+url.PathEscape(name), nil, nil)
	return err
}

// SetLeaving marks an instance as leaving, by Consul's maintenance mode, or removes the mark.
func (l *List) SetLeaving(ctx context.Context, name string, leaving bool) error {
	q := url.Values{"enable": {strconv.FormatBool(leaving)}, "reason": {"leaving"}}
	_, err := l.call(ctx, "set leaving", name, http.MethodPut, maintenancePath+url.PathEscape(name), q, nil)
	return err
}

// Deregister removes an instance.
func (l *List) Deregister(ctx context.Context, name string) error {
	_, err := l.call(ctx, "deregister", name, http.MethodPut, deregisterPath+url.PathEscape(name), nil, nil)
	return err
}

func (l *List) call(ctx context.Context, op, key, method, path string, q url.Values, body []byte) (reply, error) {
	return l.t.call(ctx, request{op: op, key: key, method: method, path: path, query: q, body: body, count: &l.t.count.lists})
}
