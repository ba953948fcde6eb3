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
	g, status, message := e.register(req, cancel)
	if message != "" {
		http.Error(w, message, status)
		return
	}
	defer e.unregister(g.run)
	err := e.acquireSlot(ctx, req.Extension.Priority)
	if err == nil {
		defer e.releaseSlot()
		g.out = rcsse.NewWriter(w)
		w.Header().Set("Content-Type", "text/event-stream")
		err = g.stream(ctx)
	}
	if err != nil {
		panic(http.ErrAbortHandler) // Breaks the connection, so that the response does not look complete.
	}
}

// register adds a request to the runs of the engine. If the engine cannot run the
// request, it returns the status and the message of the refusal.
func (e *Engine) register(req rcwire.CompletionRequest, cancel context.CancelFunc) (g *generation, status int, message string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ext := req.Extension
	weights, ok := e.weights[radishcrank.ModelID(req.Model)]
	switch {
	case !ok || weights != ext.Weights:
		return nil, http.StatusPreconditionFailed, "model or weights not loaded"
	case ext.Adapter != "" && !slices.Contains(e.adapters, ext.Adapter):
		return nil, http.StatusPreconditionFailed, "adapter not loaded"
	case ext.Upstream != "" && ext.Upstream != e.cfg.ID:
		return nil, http.StatusPreconditionFailed, "request is meant for another engine"
	case ext.Incarnation != 0 && ext.Incarnation != e.incarnation:
		return nil, http.StatusPreconditionFailed, "request is meant for another incarnation"
	case e.role == radishcrank.RoleStandby:
		return nil, http.StatusServiceUnavailable, "engine is on standby"
	}
	g = &generation{
		engine: e, req: req, weights: weights, incarnation: e.incarnation, faults: e.faults,
	}
	e.arrivals++
	g.run = runKey{ext.RequestID, ext.Attempt, e.arrivals}
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

// unregister removes a run and stops the goroutine that watches for a crash.
func (e *Engine) unregister(r runKey) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[r]()
	delete(e.runs, r)
}

// serveCancel cancels the runs of a request; the attempt parameter, if set, limits
// this to one attempt.
func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	attempt, _ := strconv.ParseUint(r.FormValue("attempt"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	for run, cancel := range e.runs {
		if run.requestID == radishcrank.RequestID(r.PathValue("id")) && (attempt == 0 || attempt == run.attempt) {
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
	run         runKey
	out         *rcsse.Writer
}

var errAborted = errors.New("generation aborted")

// stream writes the response. An error means that the response is incomplete.
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
		if err := g.sendToken(ctx, i); err != nil {
			return err
		}
		if !rcwait.Sleep(ctx, step) {
			return errAborted
		}
	}
	return g.sendChunk(total, rcwire.Choice{FinishReason: "stop"}, &rcwire.Usage{
		PromptTokens:        promptTokens,
		CompletionTokens:    total,
		TotalTokens:         promptTokens + total,
		PromptTokensDetails: rcwire.PromptDetails{CachedTokens: cached},
	})
}

// sendToken sends the token at index i, subject to the injected faults.
func (g *generation) sendToken(ctx context.Context, i int) error {
	if g.faults.Stall || (g.faults.StallAfter > 0 && i >= g.faults.StallAfter) {
		<-ctx.Done()
		return errAborted
	}
	if g.engineCrashed() || (g.faults.DropAfter > 0 && i >= g.faults.DropAfter) {
		return errAborted
	}
	index := i
	if g.faults.WrongOrder && i == 1 {
		index = 0
	}
	return g.sendChunk(index, rcwire.Choice{Text: TokenText(g.req.Prompt, g.weights, i)}, nil)
}

// engineCrashed reports whether the engine has crashed since the request was accepted.
func (g *generation) engineCrashed() bool {
	g.engine.mu.Lock()
	defer g.engine.mu.Unlock()
	return g.engine.incarnation != g.incarnation
}

func (g *generation) sendChunk(index int, choice rcwire.Choice, usage *rcwire.Usage) error {
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
