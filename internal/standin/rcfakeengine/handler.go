package rcfakeengine

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/serving/rcsse"
	"github.com/radishcrank/radishcrank/internal/state/rcwait"
	"github.com/radishcrank/radishcrank/internal/upstream/rcwire"
)

// Handler returns the engine's HTTP API.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+rcwire.PathCompletions, e.serveCompletion)
	mux.HandleFunc("DELETE "+rcwire.PathRequests+"{id}", e.serveCancel)
	mux.HandleFunc("GET "+rcwire.PathLoad, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, e.LoadReport())
	})
	mux.HandleFunc("GET "+rcwire.PathEvents, func(w http.ResponseWriter, r *http.Request) {
		from, _ := strconv.ParseUint(r.FormValue("from"), 10, 64)
		writeJSON(w, e.Events(from))
	})
	mux.HandleFunc("POST "+rcwire.PathExport, e.serveExport)
	mux.HandleFunc("POST "+rcwire.PathImport, e.serveImport)
	mux.HandleFunc("POST "+rcwire.PathOrders, e.serveOrder)
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var req rcwire.CompletionRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	g, status, message := e.accept(req, cancel)
	if message != "" {
		http.Error(w, message, status)
		return
	}
	defer e.forget(g.run)
	err := e.acquire(ctx, req.Extension.Priority)
	if err == nil {
		defer e.release()
		g.out = rcsse.NewWriter(w)
		w.Header().Set("Content-Type", "text/event-stream")
		err = g.stream(ctx)
	}
	if err != nil {
		panic(http.ErrAbortHandler) // Ends the connection, so that the answer cannot look complete.
	}
}

// accept registers a request that the engine can run, or says why it refuses it.
func (e *Engine) accept(req rcwire.CompletionRequest, cancel context.CancelFunc) (g *generation, status int, message string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x := req.Extension
	weights, ok := e.weights[radishcrank.ModelID(req.Model)]
	switch {
	case !ok || weights != x.Weights:
		return nil, http.StatusPreconditionFailed, "model or weights not loaded"
	case x.Adapter != "" && !slices.Contains(e.adapters, x.Adapter):
		return nil, http.StatusPreconditionFailed, "adapter not loaded"
	case x.Upstream != "" && x.Upstream != e.cfg.ID:
		return nil, http.StatusPreconditionFailed, "request is meant for another engine"
	case x.Incarnation != 0 && x.Incarnation != e.incarnation:
		return nil, http.StatusPreconditionFailed, "request is meant for another incarnation"
	case e.role == radishcrank.RoleStandby:
		return nil, http.StatusServiceUnavailable, "engine is on standby"
	}
	g = &generation{
		engine: e, req: req, weights: weights, incarnation: e.incarnation, faults: e.faults,
	}
	e.arrivals++
	g.run = run{x.RequestID, x.Attempt, e.arrivals}
	crashed := e.crashed
	stop := make(chan struct{})
	e.runs[g.run] = sync.OnceFunc(func() { close(stop); cancel() })
	go func() {
		select {
		case <-crashed:
			cancel()
		case <-stop:
		}
	}()
	return g, 0, ""
}

// forget ends the bookkeeping of a run.
func (e *Engine) forget(r run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[r]()
	delete(e.runs, r)
}

// serveCancel cancels the runs of a request, or only the named attempt.
func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	attempt, _ := strconv.ParseUint(r.FormValue("attempt"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	for run, cancel := range e.runs {
		if run.id == radishcrank.RequestID(r.PathValue("id")) && (attempt == 0 || attempt == run.attempt) {
			cancel()
		}
	}
	w.WriteHeader(http.StatusNoContent)
}

// generation is one request in the batch.
type generation struct {
	engine      *Engine
	req         rcwire.CompletionRequest
	weights     radishcrank.WeightsVersion
	incarnation radishcrank.Incarnation
	faults      Faults
	run         run
	out         *rcsse.Writer
}

var errAborted = errors.New("generation aborted")

// stream writes the answer. An error means that the answer is incomplete.
func (g *generation) stream(ctx context.Context) error {
	cfg := &g.engine.cfg
	promptTokens := radishcrank.EstimatePromptTokens(len(g.req.Prompt), cfg.BytesPerToken)
	cached, done := g.engine.prefill(promptTokens, g.req.Extension.CacheKeys)
	if !rcwait.Sleep(ctx, time.Until(done)) {
		return errAborted
	}
	if g.faults.CrashPrompt != "" && g.faults.CrashPrompt == g.req.Prompt {
		g.engine.Crash()
		return errAborted
	}
	total := g.req.MaxTokens
	if total <= 0 || total > cfg.MaxAnswerTokens {
		total = cfg.MaxAnswerTokens
	}
	if g.faults.EmptyAnswer {
		total = g.req.Extension.ResumeFrom
	}
	step := time.Duration(float64(time.Second) / cfg.DecodePerSecond)
	for i := g.req.Extension.ResumeFrom; i < total; i++ {
		if err := g.token(ctx, i); err != nil {
			return err
		}
		if !rcwait.Sleep(ctx, step) {
			return errAborted
		}
	}
	return g.send(total, rcwire.Choice{FinishReason: "stop"}, &rcwire.Usage{
		PromptTokens:        promptTokens,
		CompletionTokens:    total,
		TotalTokens:         promptTokens + total,
		PromptTokensDetails: rcwire.PromptDetails{CachedTokens: cached},
	})
}

// token sends one token, subject to the faults.
func (g *generation) token(ctx context.Context, i int) error {
	if g.faults.Stall || (g.faults.StallAfter > 0 && i >= g.faults.StallAfter) {
		<-ctx.Done()
		return errAborted
	}
	if g.stale() || (g.faults.DropAfter > 0 && i >= g.faults.DropAfter) {
		return errAborted
	}
	index := i
	if g.faults.WrongOrder && i == 1 {
		index = 0
	}
	return g.send(index, rcwire.Choice{Text: TokenText(g.req.Prompt, g.weights, i)}, nil)
}

// stale reports whether the engine crashed since the request arrived.
func (g *generation) stale() bool {
	g.engine.mu.Lock()
	defer g.engine.mu.Unlock()
	return g.engine.incarnation != g.incarnation
}

func (g *generation) send(index int, choice rcwire.Choice, usage *rcwire.Usage) error {
	data, err := json.Marshal(rcwire.CompletionChunk{
		ID:      string(g.req.Extension.RequestID),
		Choices: []rcwire.Choice{choice},
		Usage:   usage,
		Extension: rcwire.ChunkExtension{
			RequestID:   g.req.Extension.RequestID,
			Index:       index,
			Weights:     g.weights,
			Incarnation: g.incarnation,
		},
	})
	if err != nil {
		return err
	}
	return g.out.WriteEvent("", 0, data)
}
