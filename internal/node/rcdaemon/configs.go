package rcdaemon

import (
	"context"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/serving/rcops"
)

// fixedConfigs serves the document that the instance was started with.
type fixedConfigs struct {
	d *Daemon
}

func (d *Daemon) configs() rcops.Configs { return fixedConfigs{d: d} }

// Show implements rcops.Configs.
func (f fixedConfigs) Show(context.Context, uint64) (rcops.ConfigRevision, error) {
	doc := f.d.document()
	return rcops.ConfigRevision{Revision: doc.Revision, Text: string(doc.Render())}, nil
}

// Push implements rcops.Configs.
func (f fixedConfigs) Push(context.Context, rcops.PushRequest) (rcops.ConfigRevision, error) {
	return rcops.ConfigRevision{}, radishcrank.ErrUnavailable
}

// History implements rcops.Configs.
func (f fixedConfigs) History(context.Context, int) ([]rcops.ConfigRevision, error) {
	return nil, radishcrank.ErrUnavailable
}
