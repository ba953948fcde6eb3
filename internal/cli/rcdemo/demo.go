// Package rcdemo runs router instances in one process with simulated platform services,
// engines and services.
package rcdemo

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"github.com/oklog/run"
	"github.com/rs/zerolog"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/node/rcdaemon"
	"github.com/radishcrank/radishcrank/internal/serving/rcops"
	"github.com/radishcrank/radishcrank/internal/standin/rcfakeengine"
	"github.com/radishcrank/radishcrank/internal/standin/rcfakefleet"
	"github.com/radishcrank/radishcrank/internal/state/rcconfig"
)

// Keys that the demo accepts.
const (
	ClientKey   = "demo-key"          // Bearer key of the demo's client account.
	OperatorKey = "demo-operator-key" // Key for the listeners for operators.
)

const (
	zones          = 2
	enginesPerZone = 3
	peerKeyBytes   = 32
	model          = "advice"
	weights        = "w1"
	service        = "booking"
)

// Config holds the demo's options.
type Config struct {
	Listen netip.AddrPort // Address of the first instance's listener for callers.
	Out    io.Writer      // Receives the addresses and example commands.
	Log    zerolog.Logger
}

// Run runs the demo until ctx is cancelled.
func Run(ctx context.Context, cfg Config) (err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "demo")
		}
	}()
	firstListener, err := net.Listen("tcp", cfg.Listen.String())
	if err != nil {
		return err
	}
	fleet, err := rcfakefleet.Start(fleetConfig())
	if err != nil {
		return err
	}
	// The simulated services must outlive the instances, whose running requests need them.
	defer fleet.Close()
	d := &demo{cfg: cfg, fleet: fleet}
	d.peerKey = make([]byte, peerKeyBytes)
	rand.Read(d.peerKey)
	secondListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	if err := d.addInstance("i-1", rcfakefleet.Zone(1), firstListener); err != nil {
		return err
	}
	if err := d.addInstance("i-2", rcfakefleet.Zone(2), secondListener); err != nil {
		return err
	}
	if err := d.commitConfig(ctx); err != nil {
		return err
	}
	d.printInstructions()
	stop, cancel := context.WithCancel(ctx)
	d.group.Add(func() error { <-stop.Done(); return nil }, func(error) { cancel() })
	return d.group.Run()
}

type demo struct {
	cfg     Config
	group   run.Group
	fleet   *rcfakefleet.Fleet
	peerKey rcconfig.Secret
	daemons []*rcdaemon.Daemon
}

func fleetConfig() rcfakefleet.Config {
	return rcfakefleet.Config{
		Zones:          zones,
		EnginesPerZone: enginesPerZone,
		Service:        service,
		Engine: rcfakeengine.Config{
			Models:           map[radishcrank.ModelID]radishcrank.WeightsVersion{model: weights},
			CacheBlocks:      2000,
			BlockTokens:      rcconfig.DefaultSettings().BlockTokens,
			BytesPerToken:    rcconfig.DefaultSettings().BytesPerToken,
			MaxBatch:         16,
			PrefillPerSecond: 20000,
			DecodePerSecond:  100,
			MaxAnswerTokens:  32,
			WeightLoadTime:   500 * time.Millisecond,
		},
	}
}

// addInstance adds a router instance that listens on loopback for operators and peers.
func (d *demo) addInstance(id radishcrank.InstanceID, zone radishcrank.AvailabilityZone, callers net.Listener) error {
	l := rcdaemon.Listeners{Callers: callers}
	var err error
	if l.Operators, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	if l.Peers, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	boot := &rcconfig.BootSettings{
		ID: id, Zone: zone, Region: "demo",
		Callers:           listenerAddr(l.Callers),
		Operators:         listenerAddr(l.Operators),
		Peers:             listenerAddr(l.Peers),
		PeerKey:           d.peerKey,
		OperatorKeyHashes: []string{rcconfig.HashKey(OperatorKey)},
	}
	d.fleet.AddInstance(radishcrank.Instance{ID: id, Zone: zone, Peer: boot.Peers, Operators: boot.Operators})
	daemon, err := rcdaemon.New(rcdaemon.Config{
		BootSettings: boot, Listeners: l,
		Table: d.fleet.Table, Objects: d.fleet.Objects, InstanceLister: d.fleet.InstanceList,
		Log: d.cfg.Log.With().Str("Instance", string(id)).Logger(),
	})
	if err != nil {
		return err
	}
	d.daemons = append(d.daemons, daemon)
	ctx, cancel := context.WithCancel(context.Background())
	d.group.Add(func() error { return daemon.Run(ctx, context.Background()) }, func(error) { cancel() })
	return nil
}

func listenerAddr(l net.Listener) netip.AddrPort { return l.Addr().(*net.TCPAddr).AddrPort() }

// commitConfig commits the demo's configuration to the table service.
func (d *demo) commitConfig(ctx context.Context) error {
	_, err := d.daemons[0].ConfigStore().Push(ctx, rcops.PushRequest{Author: "demo", Note: "first document", Text: string(newDocument().Render())})
	return err
}

func newDocument() *rcconfig.Document {
	return &rcconfig.Document{
		Revision: 1,
		Defaults: rcconfig.DefaultSettings(),
		Accounts: []rcconfig.Account{{ID: "demo", Weight: 1, KeyHashes: []string{rcconfig.HashKey(ClientKey)}}},
		Services: []rcconfig.Service{{Name: service, NonRepeatable: []string{"POST /"}}},
		Models:   []rcconfig.Model{{ID: model, Weights: weights}},
	}
}

// printInstructions prints the addresses of the instances and example commands.
func (d *demo) printInstructions() {
	w := d.cfg.Out
	firstBoot, secondBoot := d.daemons[0].BootSettings(), d.daemons[1].BootSettings()
	for _, boot := range []*rcconfig.BootSettings{firstBoot, secondBoot} {
		fmt.Fprintf(w, "%s in %s: callers %s, operators %s\n", boot.ID, boot.Zone, boot.Callers, boot.Operators)
	}
	fmt.Fprintf(w, "\nA streamed chat:\n")
	fmt.Fprintf(w, "  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{\"model\":\"%s\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"Where do empties go?\"}]}'\n", firstBoot.Callers, ClientKey, model)
	fmt.Fprintf(w, "A booking that runs once, even if it is sent repeatedly or to both instances:\n")
	for _, boot := range []*rcconfig.BootSettings{firstBoot, secondBoot} {
		fmt.Fprintf(w, "  curl http://%s/services/booking/releases -H 'Authorization: Bearer %s' -H 'Idempotency-Key: release-1' -d '{\"Depot\":\"Riga\"}'\n", boot.Callers, ClientKey)
	}
	fmt.Fprintf(w, "Status of the instance, for operators:\n")
	fmt.Fprintf(w, "  export RADISHCRANK_URL=http://%s RADISHCRANK_OPERATOR_KEY=%s\n", firstBoot.Operators, OperatorKey)
	fmt.Fprintf(w, "  go run ./cmd/radishcrank status\n")
}
