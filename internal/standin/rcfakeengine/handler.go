package rcfakeengine

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/serving/rcsse"
	"github.com/radishcrank/radishcrank/internal/upstream/rcwire"
)

// Handler returns the engine's HTTP API.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+rcwire.PathCompletions, e.serveCompletion)
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
	e.mu.Lock()
	weights, ok := e.weights[radishcrank.ModelID(req.Model)]
	incarnation := e.incarnation
	faults := e.faults
	e.mu.Unlock()
	if !ok || weights != req.Extension.Weights {
		http.Error(w, "model or weights not loaded", http.StatusPreconditionFailed)
		return
	}
	if faults.CrashPrompt != "" && faults.CrashPrompt == req.Prompt {
		e.Crash()
		panic(http.ErrAbortHandler)
	}
	if err := e.acquire(r.Context(), req.Extension.Priority); err != nil {
		return
	}
	defer e.release()
	g := generation{engine: e, req: req, weights: weights, incarnation: incarnation, faults: faults, out: rcsse.NewWriter(w)}
	w.Header().Set("Content-Type", "text/event-stream")
	g.run(r.Context())
}

// generation is one request in the batch.
type generation struct {
	engine      *Engine
	req         rcwire.CompletionRequest
	weights     radishcrank.WeightsVersion
	incarnation radishcrank.Incarnation
	faults      Faults
	out         *rcsse.Writer
}

func (g *generation) run(ctx context.Context) {
	cfg := &g.engine.cfg
	promptTokens := radishcrank.PromptTokens(len(g.req.Prompt), cfg.BytesPerToken)
	cached, done := g.engine.prefill(promptTokens, g.req.Extension.CacheKeys)
	if !sleep(ctx, time.Until(done)) {
		return
	}
	total := g.req.MaxTokens
	if total <= 0 || total > cfg.AnswerTokens {
		total = cfg.AnswerTokens
	}
	step := time.Duration(float64(time.Second) / cfg.DecodePerSecond)
	for i := g.req.Extension.ResumeFrom; i < total; i++ {
		if g.faults.Silent {
			<-ctx.Done()
			return
		}
		if g.faults.DropAfter > 0 && i >= g.faults.DropAfter {
			panic(http.ErrAbortHandler)
		}
		if g.stale() {
			panic(http.ErrAbortHandler)
		}
		if g.send(i, rcwire.Choice{Text: TokenText(g.req.Prompt, g.weights, i)}, nil) != nil {
			return
		}
		if !sleep(ctx, step) {
			return
		}
	}
	g.send(total, rcwire.Choice{FinishReason: "stop"}, &rcwire.Usage{
		PromptTokens:        promptTokens,
		CompletionTokens:    total,
		TotalTokens:         promptTokens + total,
		PromptTokensDetails: rcwire.PromptDetails{CachedTokens: cached},
	})
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
	return g.out.Event("", 0, data)
}

// sleep waits for d and reports whether ctx is still live.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	var list rcwire.BlockList
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, b := range list.Blocks {
		if _, ok := e.cache.entries[b]; ok {
			e.kept[b] = true
		}
	}
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var list rcwire.BlockList
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	stored, evicted := e.cache.store(list.Blocks)
	e.record(radishcrank.CacheStored, stored)
	e.record(radishcrank.CacheEvicted, evicted)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order radishcrank.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	if e.cfg.ChecksFence && order.Fence < e.fence {
		e.mu.Unlock()
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	e.fence = max(e.fence, order.Fence)
	e.mu.Unlock()
	if order.Kind != radishcrank.OrderLoadWeights {
		return
	}
	if !sleep(r.Context(), e.cfg.LoadWeights) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.weights[order.Model] = order.Weights
}
