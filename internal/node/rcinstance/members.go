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
	// maxReplaced bounds the rows that wait for their removal; the others are found
	// again when the table is next read.
	maxReplaced = 16
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

	known    map[string]bool // Names whose rows were put.
	removed  chan struct{}   // Told when the own row is gone.
	replaced chan member     // Instances at whose address this one listens.
}

// newMembers returns a members that has room for what follow finds.
func newMembers(m members) *members {
	m.known, m.removed, m.replaced = map[string]bool{}, make(chan struct{}, 1), make(chan member, maxReplaced)
	return &m
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
		Source: m.source, Table: membersTable, MinInterval: membersPace, DelayTolerant: true, Log: m.log,
		OnReset: func(rows []rcfeed.Row, s rcfeed.Provenance) {
			m.reset(rows, s)
			m.read()
		},
		OnChange: m.row,
	})
	return f.Run(ctx)
}

// reset takes in the whole table. Rows that were removed while the history of
// changes was lost are missing from it.
func (m *members) reset(rows []rcfeed.Row, s rcfeed.Provenance) {
	gone := m.known
	m.known = map[string]bool{}
	self := false
	for _, row := range rows {
		m.row(row, s)
		self = self || row.Key == memberPrefix+m.self.Name
	}
	for name := range gone {
		if !m.known[name] {
			m.drop(name)
		}
	}
	if !self {
		m.lost()
	}
}

// lost asks for the own row to be written again.
func (m *members) lost() {
	select {
	case m.removed <- struct{}{}:
	default:
	}
}

func (m *members) row(row rcfeed.Row, _ rcfeed.Provenance) {
	name, ok := strings.CutPrefix(row.Key, memberPrefix)
	if !ok {
		return
	}
	if name == m.self.Name {
		if row.Removed {
			m.lost()
		}
		return
	}
	if row.Removed {
		m.forget(name)
		return
	}
	var other member
	if err := json.Unmarshal(row.Value, &other); err != nil || !other.Peer.IsValid() {
		m.log.Warn().Str("Event", "InstanceRowRefused").Str("Key", row.Key).Uint64("Row", row.Version).AnErr("Cause", err).Send()
		m.forget(name)
		return
	}
	if other.Peer == m.self.Peer {
		// It can't listen there any more. Its row would get the calls meant for it
		// answered here.
		m.forget(name)
		select {
		case m.replaced <- other:
		default:
		}
		return
	}
	m.known[name] = true
	m.put(other)
}

func (m *members) forget(name string) {
	delete(m.known, name)
	m.drop(name)
}
