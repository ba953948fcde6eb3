package rcinstance

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/routing/rcroute"
	"github.com/radishcrank/radishcrank/internal/serving/rcexplain"
	"github.com/radishcrank/radishcrank/internal/serving/rcforward"
)

// explainDeadline is the remaining time of a request that names none, before its route's
// timeout bounds it.
const explainDeadline = 10 * time.Second

// explainReadTimeout bounds the time for the body of a request.
const explainReadTimeout = 5 * time.Second

// operatorHandler answers operators on the listener of Listen.Control. The platform's settings
// name no key of operators, so it only reads, and its answers hold neither keys nor prompts.
func (i *Instance) operatorHandler(f *rcforward.Forwarder) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(rcexplain.Path, func(w http.ResponseWriter, r *http.Request) {
		req, err := readExplainRequest(w, r)
		if err != nil {
			var large *http.MaxBytesError
			status := http.StatusBadRequest
			if errors.As(err, &large) {
				status = http.StatusRequestEntityTooLarge
			}
			writeJSON(w, status, rcexplain.Error{Message: err.Error()})
			return
		}
		report, err := i.explain(f, req)
		switch {
		case err == nil:
			writeJSON(w, http.StatusOK, report)
		case trace.IsNotFound(err):
			writeJSON(w, http.StatusNotFound, rcexplain.Error{Message: err.Error()})
		case trace.IsBadParameter(err):
			writeJSON(w, http.StatusBadRequest, rcexplain.Error{Message: err.Error()})
		default:
			writeJSON(w, http.StatusServiceUnavailable, rcexplain.Error{Message: err.Error()})
		}
	})
	mux.HandleFunc("GET "+rcexplain.InstancesPath, func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusOK, i.registered())
	})
	return mux
}

// registered returns the instances that this one knows, and itself.
func (i *Instance) registered() (list []rcexplain.Instance) {
	p := i.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	add := func(m member) {
		known := rcexplain.Instance{Name: m.Name, Zone: m.Zone}
		if m.Operators.IsValid() {
			known.URL = "http://" + m.Operators.String()
		}
		list = append(list, known)
	}
	add(p.self.member)
	for _, m := range p.members {
		add(m.member)
	}
	slices.SortFunc(list, func(a, b rcexplain.Instance) int { return strings.Compare(a.Name, b.Name) })
	return list
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // An error means that the client has disconnected.
}

// readExplainRequest reads a request from the body of a POST or the query of a GET, where Parts
// is a list of ID:TOKENS.
func readExplainRequest(w http.ResponseWriter, r *http.Request) (req rcexplain.Request, err error) {
	switch r.Method {
	case http.MethodPost:
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(explainReadTimeout)) // Not supported by test recorders.
		d := json.NewDecoder(http.MaxBytesReader(w, r.Body, rcexplain.MaxRequestBytes))
		d.DisallowUnknownFields()
		if err := d.Decode(&req); err != nil {
			return req, fmt.Errorf("request is invalid: %w", err)
		}
		return req, nil
	case http.MethodGet:
	default:
		return req, fmt.Errorf("method %s is not supported; use GET or POST", r.Method)
	}
	q := r.URL.Query()
	for name := range q {
		if !slices.Contains([]string{"Account", "Route", "Service", "Model", "Parts", "DeadlineMS", "Priority", "LastEvent", "Resumes"}, name) {
			return req, fmt.Errorf("unknown field %q", name)
		}
	}
	req = rcexplain.Request{Account: q.Get("Account"), Route: q.Get("Route"), Service: q.Get("Service"), Model: q.Get("Model"), LastEvent: q.Get("LastEvent"), Resumes: q.Get("Resumes")}
	if req.Parts, err = rcexplain.ParseParts(q.Get("Parts")); err != nil {
		return req, err
	}
	if text := q.Get("DeadlineMS"); text != "" {
		if req.DeadlineMS, err = strconv.ParseInt(text, 10, 64); err != nil {
			return req, fmt.Errorf("field DeadlineMS: %q is no number", text)
		}
	}
	if text := q.Get("Priority"); text != "" {
		priority, err := strconv.Atoi(text)
		if err != nil {
			return req, fmt.Errorf("field Priority: %q is no number", text)
		}
		req.Priority = &priority
	}
	return req, nil
}

// explain reports how a request would be routed now.
func (i *Instance) explain(f *rcforward.Forwarder, req rcexplain.Request) (r rcexplain.Report, err error) {
	t := i.routes.Load()
	if t == nil {
		return r, trace.ConnectionProblem(nil, "no configuration has arrived yet")
	}
	x, err := exchangeOf(t, req, time.Now())
	if err != nil {
		return r, err
	}
	r = f.Explain(x)
	r.Instance, r.Information = i.settings.Instance, i.information(t)
	return r, nil
}

// exchangeOf returns the exchange that a request would become.
func exchangeOf(t *rcroute.Table, req rcexplain.Request, now time.Time) (x *radishcrank.Exchange, err error) {
	n := slices.IndexFunc(t.Routes, func(r rcroute.Route) bool { return r.Name == req.Route })
	if n < 0 {
		return nil, trace.NotFound("route %q does not exist; the routes are %s", req.Route, strings.Join(routeNames(t), ", "))
	}
	route := &t.Routes[n]
	x = &radishcrank.Exchange{
		ID: "explain", Route: route.RoutePolicy, Services: route.Services(), Method: http.MethodPost, Target: route.Prefix,
		Model: radishcrank.ModelID(req.Model), Priority: route.Priority, ReceivedAt: now,
		LastEventID: req.LastEvent, Resumes: radishcrank.RequestID(req.Resumes),
	}
	switch {
	case req.Resumes != "" && req.LastEvent == "":
		return nil, trace.BadParameter("Resumes names the attempt of a stream that is taken up; it needs LastEvent, too")
	case req.LastEvent != "" && !route.Stream:
		return nil, trace.BadParameter("route %q has no streams, where LastEvent has no effect", req.Route)
	case req.Service != "" && !slices.Contains(x.Services, req.Service):
		return nil, trace.NotFound("route %q has no service %q; its services are %s", req.Route, req.Service, strings.Join(x.Services, ", "))
	case req.Service != "":
		x.Service = req.Service
	case len(x.Services) > 0:
		x.Service = x.Services[0]
	}
	service, _ := t.Service(x.Service)
	if service != nil && req.Model != "" && !slices.Contains(service.Models, x.Model) {
		return nil, trace.NotFound("service %q does not serve model %q", x.Service, req.Model)
	}
	if service != nil && req.Model == "" && len(service.Models) > 0 {
		return nil, trace.BadParameter("service %q serves models; name one of them", x.Service)
	}
	if err := setAccount(x, t, req); err != nil {
		return nil, err
	}
	if req.Priority != nil {
		x.Priority = *req.Priority
	}
	x.Priority = t.EnginePriority(x.Priority, route.Priority)
	x.LatePriority = t.LatePriority(x.Priority)
	for _, p := range req.Parts {
		if p.ID == "" || p.Tokens < 0 {
			return nil, trace.BadParameter("a part needs an ID and a number of tokens from 0")
		}
		x.PromptParts = append(x.PromptParts, radishcrank.PromptPart{ID: p.ID, Tokens: p.Tokens})
		x.PromptTokens += p.Tokens
	}
	left := explainDeadline
	if req.DeadlineMS < 0 {
		return nil, trace.BadParameter("DeadlineMS must not be negative")
	}
	if req.DeadlineMS > 0 {
		left = time.Duration(min(req.DeadlineMS, int64(time.Hour/time.Millisecond))) * time.Millisecond
	}
	if route.Timeout > 0 {
		left = min(left, route.Timeout)
	}
	x.Deadline = now.Add(left)
	return x, nil
}

func setAccount(x *radishcrank.Exchange, t *rcroute.Table, req rcexplain.Request) error {
	if req.Account == "" {
		if t.HasAccounts() && !x.Route.AllowAnonymous {
			return trace.BadParameter("route %q requires an account", req.Route)
		}
		return nil
	}
	n := slices.IndexFunc(t.Accounts, func(a rcroute.Account) bool { return string(a.ID) == req.Account })
	if n < 0 {
		return trace.NotFound("account %q does not exist", req.Account)
	}
	a := &t.Accounts[n]
	x.Account, x.Isolated = a.ID, a.Isolated
	if a.Priority != nil {
		x.Priority = *a.Priority
	}
	return nil
}

func routeNames(t *rcroute.Table) (names []string) {
	for _, r := range t.Routes {
		names = append(names, r.Name)
	}
	return names
}

// information says where this instance's view comes from.
func (i *Instance) information(t *rcroute.Table) rcexplain.Information {
	info := rcexplain.Information{ConfigVersion: t.Version, StoreReachable: i.fleet.Reachable(), Draining: i.draining.Load()}
	p := i.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	info.Instances = len(p.members) + 1
	for _, m := range p.members {
		if !m.failedAt.IsZero() {
			info.NotReached++
		}
	}
	if p.usesRelaysLocked() {
		source := p.relayForLocked(i.settings.Zone)
		if source == nil {
			source = p.storeReaderLocked()
		}
		if source != nil {
			info.StoreReader = source.Name
		}
	}
	return info
}
