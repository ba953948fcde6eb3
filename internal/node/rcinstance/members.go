package rcinstance

import (
	"context"
	cryptorand "crypto/rand"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcfeed"
	"github.com/radishcrank/radishcrank/internal/state/rcwait"
)

// Table and keys in which the instances find each other.
const (
	membersTable = "radishcrank-instances"
	sharedKey    = "key"
	memberPrefix = "instance/"
)

const (
	// membersPace spreads the reads when all instances start at once.
	membersPace = 2 * time.Second
	// registerRetry is the pause between attempts to write the own row.
	registerRetry  = 500 * time.Millisecond
	sharedKeyBytes = 32
)

// member is an instance as it describes itself in the store.
type member struct {
	Name string
	Zone string
	Peer netip.AddrPort
	Born int64   // Unix milliseconds of its start.
	CPU  float64 // Cores that it may use.
}

// members keeps the instances' own rows in the store.
type members struct {
	table  radishcrank.TableService
	source rcfeed.Source // Of the same table.
	self   member
	put    func(m member)
	drop   func(name string)
	read   func() // Called when all rows have been read.
	log    zerolog.Logger
}

func (m *members) logUnreachable(err error) {
	m.log.Warn().Str("Event", "Dependency").Str("Table", membersTable).Bool("Reachable", false).Err(err).Send()
}

// sharedSecret returns the key by which instances know each other. The first
// one that asks makes it.
func (m *members) sharedSecret(ctx context.Context) (key []byte, err error) {
	for waited := false; ; {
		rows, err := m.table.Get(ctx, sharedKey)
		if err == nil && rows[0].Version > 0 {
			return rows[0].Value, nil
		}
		if err == nil && !waited {
			// Of a fleet that starts at once, few instances try to make the key.
			waited = true
			rcwait.For(ctx, rand.N(startSpread))
			continue
		}
		if err == nil {
			key = make([]byte, sharedKeyBytes)
			cryptorand.Read(key)
			err = m.table.Commit(ctx, radishcrank.Transaction{
				Checks: []radishcrank.Check{{Key: sharedKey}},
				Writes: []radishcrank.Write{{Key: sharedKey, Value: key}},
			})
			if err == nil {
				return key, nil
			}
			if errors.Is(err, radishcrank.ErrConflict) {
				continue // Another instance was first.
			}
		}
		m.logUnreachable(err)
		if !rcwait.For(ctx, registerRetry) {
			return nil, ctx.Err()
		}
	}
}

// register writes the own row, so that the others find this instance.
func (m *members) register(ctx context.Context) error {
	value, err := json.Marshal(m.self)
	if err != nil {
		return err
	}
	for {
		err := m.table.Commit(ctx, radishcrank.Transaction{
			Writes: []radishcrank.Write{{Key: memberPrefix + m.self.Name, Value: value}},
		})
		if err == nil {
			return nil
		}
		m.logUnreachable(err)
		if !rcwait.For(ctx, registerRetry) {
			return ctx.Err()
		}
	}
}

// follow follows the rows of the other instances until ctx ends.
func (m *members) follow(ctx context.Context) error {
	f := rcfeed.New(rcfeed.Config{
		Source: m.source, Table: membersTable, Pace: membersPace, Patient: true, Log: m.log,
		Reset: func(rows []rcfeed.Row, s rcfeed.Sight) {
			for _, row := range rows {
				m.row(row, s)
			}
			m.read()
		},
		Change: m.row,
	})
	return f.Run(ctx)
}

func (m *members) row(row rcfeed.Row, _ rcfeed.Sight) {
	name, ok := strings.CutPrefix(row.Key, memberPrefix)
	if !ok || name == m.self.Name {
		return
	}
	if row.Removed {
		m.drop(name)
		return
	}
	var other member
	if err := json.Unmarshal(row.Value, &other); err != nil || !other.Peer.IsValid() {
		m.log.Warn().Str("Event", "InstanceRowRefused").Str("Key", row.Key).Uint64("Row", row.Version).AnErr("Cause", err).Send()
		m.drop(name)
		return
	}
	m.put(other)
}
