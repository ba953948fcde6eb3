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

// Table and keys that the instances use to find each other.
const (
	membersTable = "radishcrank-instances"
	sharedKey    = "key"
	memberPrefix = "instance/"
)

const (
	// membersReadInterval limits the reads when all instances start at once.
	membersReadInterval = 2 * time.Second
	// registerRetryDelay is the wait between attempts to write this instance's row.
	registerRetryDelay = 500 * time.Millisecond
	sharedKeyBytes     = 32
	// maxReplaced bounds the queue of rows that are to be removed. Others are found
	// again at the next read of the whole table.
	maxReplaced = 16
)

// member describes an instance in the store.
type member struct {
	Name string
	Zone string
	Peer netip.AddrPort
	Born int64   // Start time in Unix milliseconds.
	CPU  float64 // Number of cores that it may use.
}

// memberRegistry writes this instance's row in the store and follows the rows of the
// others.
type memberRegistry struct {
	table    radishcrank.TableService
	source   rcfeed.Source // Change feed of the same table.
	self     member
	onPut    func(m member)
	onRemove func(name string)
	onReset  func() // Called when the whole table has been read.
	log      zerolog.Logger

	knownNames    map[string]bool // Names of the instances passed to onPut.
	ownRowRemoved chan struct{}   // Signaled when this instance's row was removed.
	replaced      chan member     // Instances whose address this instance now has.
}

// newMemberRegistry returns m with its internal fields initialized.
func newMemberRegistry(m memberRegistry) *memberRegistry {
	m.knownNames, m.ownRowRemoved, m.replaced = map[string]bool{}, make(chan struct{}, 1), make(chan member, maxReplaced)
	return &m
}

func (m *memberRegistry) logTableError(err error) {
	m.log.Warn().Str("Event", "Dependency").Str("Table", membersTable).Bool("Reachable", false).Err(err).Send()
}

// sharedSecret returns the key with which instances authenticate each other. The first
// instance that asks for it creates it.
func (m *memberRegistry) sharedSecret(ctx context.Context) (key []byte, err error) {
	for delayed := false; ; {
		rows, err := m.table.Get(ctx, sharedKey)
		if err == nil && rows[0].Version > 0 {
			return rows[0].Value, nil
		}
		if err == nil && !delayed {
			// Wait, so that few instances of a fleet that starts at once try to create
			// the key.
			delayed = true
			rcwait.Sleep(ctx, rand.N(fleetStartWindow))
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
				continue // Another instance created it first.
			}
		}
		m.logTableError(err)
		if !rcwait.Sleep(ctx, registerRetryDelay) {
			return nil, ctx.Err()
		}
	}
}

// register writes this instance's row, so that the others find it.
func (m *memberRegistry) register(ctx context.Context) error {
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
		m.logTableError(err)
		if !rcwait.Sleep(ctx, registerRetryDelay) {
			return ctx.Err()
		}
	}
}

// follow follows the rows of the other instances until ctx is done.
func (m *memberRegistry) follow(ctx context.Context) error {
	f := rcfeed.New(rcfeed.Config{
		Source: m.source, Table: membersTable, MinInterval: membersReadInterval, DelayTolerant: true, Log: m.log,
		OnReset: func(rows []rcfeed.Row, s rcfeed.Provenance) {
			m.applyReset(rows, s)
			m.onReset()
		},
		OnChange: m.applyRow,
	})
	return f.Run(ctx)
}

// applyReset applies a read of the whole table. It drops instances whose rows were
// removed while the change history was lost, since these are missing from rows.
func (m *memberRegistry) applyReset(rows []rcfeed.Row, s rcfeed.Provenance) {
	previous := m.knownNames
	m.knownNames = map[string]bool{}
	selfSeen := false
	for _, row := range rows {
		m.applyRow(row, s)
		selfSeen = selfSeen || row.Key == memberPrefix+m.self.Name
	}
	for name := range previous {
		if !m.knownNames[name] {
			m.onRemove(name)
		}
	}
	if !selfSeen {
		m.requestRegistration()
	}
}

// requestRegistration asks peerGroup.run to write this instance's row again.
func (m *memberRegistry) requestRegistration() {
	select {
	case m.ownRowRemoved <- struct{}{}:
	default:
	}
}

func (m *memberRegistry) applyRow(row rcfeed.Row, _ rcfeed.Provenance) {
	name, ok := strings.CutPrefix(row.Key, memberPrefix)
	if !ok {
		return
	}
	if name == m.self.Name {
		if row.Removed {
			m.requestRegistration()
		}
		return
	}
	if row.Removed {
		m.dropMember(name)
		return
	}
	var other member
	if err := json.Unmarshal(row.Value, &other); err != nil || !other.Peer.IsValid() {
		m.log.Warn().Str("Event", "InstanceRowRefused").Str("Key", row.Key).Uint64("Row", row.Version).AnErr("Cause", err).Send()
		m.dropMember(name)
		return
	}
	if other.Peer == m.self.Peer {
		// The other instance can no longer listen on this address. Calls to it would be
		// answered by this instance.
		m.dropMember(name)
		select {
		case m.replaced <- other:
		default:
		}
		return
	}
	m.knownNames[name] = true
	m.onPut(other)
}

func (m *memberRegistry) dropMember(name string) {
	delete(m.knownNames, name)
	m.onRemove(name)
}
