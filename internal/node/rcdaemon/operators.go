package rcdaemon

import (
	"context"
	"crypto/subtle"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/peer/rcmember"
	"github.com/radishcrank/radishcrank/internal/serving/rcops"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
	"github.com/radishcrank/radishcrank/internal/state/rcconfig"
	"github.com/radishcrank/radishcrank/internal/state/rcrevision"
	"github.com/radishcrank/radishcrank/internal/state/rcsnapshot"
)

// authorizeOperator reports whether key is an operator key. It compares key with
// every hash in constant time, so that timing does not reveal which one matched.
func (d *Daemon) authorizeOperator(key string) bool {
	hash := []byte(rcconfig.HashKey(key))
	ok := 0
	for _, h := range d.cfg.BootSettings.OperatorKeyHashes {
		ok |= subtle.ConstantTimeCompare(hash, []byte(h))
	}
	return ok == 1
}

// Status returns a summary of the instance's state.
func (d *Daemon) Status() rcops.Status {
	config := d.syncer.Status()
	s := rcops.Status{
		Instance:       d.cfg.BootSettings.ID,
		Zone:           d.cfg.BootSettings.Zone,
		Incarnation:    d.incarnation,
		StartedAt:      d.startedAt,
		Ready:          d.isReady(),
		Draining:       d.draining.Load(),
		ConfigRevision: config.Revision,
		ConfigHash:     config.Hash,
		ConfigAge:      config.Age,
		ConfigProblem:  config.Problem,
		Instances:      d.board.Instances.Len(),
		Streams:        d.board.Streams.Len(),
		OpenRecords:    d.callRunner.OpenRecords(),
	}
	if source, ok := d.warmUpSource.Load().(rcsnapshot.Source); ok {
		s.Warm = string(source)
	}
	for _, up := range d.board.Upstreams.Snapshot() {
		if up.Role == radishcrank.RoleEngine {
			s.Engines++
		} else {
			s.Services++
		}
	}
	return s
}

// instanceState is the content of a dump. It omits keys and key hashes.
type instanceState struct {
	Status   rcops.Status
	Config   rcrevision.Status
	Members  []rcmember.MemberInfo
	Settings rcconfig.Settings
	Accounts []radishcrank.ClientAccountID
	Services []rcconfig.Service
	Models   []rcconfig.Model
	Board    rcboard.Dump
}

func (d *Daemon) dump() any {
	doc := d.document()
	s := instanceState{
		Status:   d.Status(),
		Config:   d.syncer.Status(),
		Members:  d.members.Members(),
		Settings: d.settings(),
		Services: doc.Services,
		Models:   doc.Models,
		Board:    d.board.Dump(),
	}
	for _, a := range doc.Accounts {
		s.Accounts = append(s.Accounts, a.ID)
	}
	return s
}

func (d *Daemon) explain(_ context.Context, req rcops.ExplainRequest) (rcops.Explanation, error) {
	s := d.document().Defaults
	candidates := d.chooser.Explain(radishcrank.Request{
		ID: "explain", Account: req.Account, Model: req.Model, Adapter: req.Adapter, Prompt: req.Prompt,
	})
	e := rcops.Explanation{PromptBlocks: len(req.Prompt) / (s.BlockTokens * s.BytesPerToken)}
	for _, c := range candidates {
		e.Candidates = append(e.Candidates, rcops.Candidate{
			Upstream:      c.Upstream.ID,
			Chosen:        c.Chosen,
			CachedBlocks:  c.CachedBlocks,
			PredictedTTFT: c.PredictedTTFT,
			Score:         c.Score,
			Terms:         c.Terms,
		})
	}
	return e, nil
}
