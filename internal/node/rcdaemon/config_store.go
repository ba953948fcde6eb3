package rcdaemon

import (
	"context"
	"errors"
	"strings"

	"github.com/radishcrank/radishcrank/internal/serving/rcops"
	"github.com/radishcrank/radishcrank/internal/state/rcconfig"
	"github.com/radishcrank/radishcrank/internal/state/rcrevision"
)

// configStore implements rcops.ConfigStore with the syncer of configuration
// revisions.
type configStore struct {
	syncer *rcrevision.Syncer
}

// ConfigStore returns the configuration store of the operators' API.
func (d *Daemon) ConfigStore() rcops.ConfigStore { return configStore{syncer: d.syncer} }

// Show implements rcops.ConfigStore.
func (c configStore) Show(ctx context.Context, revision uint64) (rcops.ConfigRevision, error) {
	if revision == 0 {
		if c.syncer.Current() == nil {
			return rcops.ConfigRevision{Text: string(defaultDocument.Render())}, nil
		}
		revision = c.syncer.Current().Revision
	}
	info, err := c.syncer.Show(ctx, revision)
	return toConfigRevision(info), err
}

// Push implements rcops.ConfigStore.
func (c configStore) Push(ctx context.Context, req rcops.PushRequest) (rcops.ConfigRevision, error) {
	info, err := c.syncer.Push(ctx, rcrevision.PushRequest{Base: req.Base, Author: req.Author, Note: req.Note, Text: req.Text})
	var conflict *rcrevision.ConflictError
	if errors.As(err, &conflict) {
		err = &rcops.ConflictError{Newest: conflict.Newest, Diff: diffText(conflict.Changes)}
	}
	return toConfigRevision(info), err
}

// History implements rcops.ConfigStore.
func (c configStore) History(ctx context.Context, limit int) ([]rcops.ConfigRevision, error) {
	infos, err := c.syncer.History(ctx, limit)
	if err != nil {
		return nil, err
	}
	list := make([]rcops.ConfigRevision, 0, len(infos))
	for _, info := range infos {
		r := toConfigRevision(info)
		r.Text = ""
		list = append(list, r)
	}
	return list, nil
}

func toConfigRevision(info rcrevision.Info) rcops.ConfigRevision {
	return rcops.ConfigRevision{
		Revision:    info.Revision,
		Hash:        info.Hash,
		Author:      info.Author,
		Note:        info.Note,
		CommittedAt: info.CommittedAt,
		Text:        info.Text,
	}
}

func diffText(changes []rcconfig.Change) string {
	lines := make([]string, 0, len(changes))
	for _, change := range changes {
		lines = append(lines, change.String())
	}
	return strings.Join(lines, "\n")
}
