package rcinstance

import (
	"context"
	cryptorand "crypto/rand"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcera"
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
	// reregistrationTime is how long an instance whose row was lost with writes of the
	// store has to write it again. It notices the loss within 20 s at most.
	reregistrationTime = 30 * time.Second
	// maxReplaced bounds the queue of rows that are to be removed. Others are found
	// again at the next read of the whole table.
	maxReplaced = 16
)

// member describes an instance in the store.
type member struct {
	Name    string
	Zone    string
	Peer    netip.AddrPort
	Callers netip.AddrPort `json:",omitzero"` // Where it listens for callers; zero for earlier versions.
	// Operators is where it listens for operators; zero if it does not, or for earlier versions.
	Operators netip.AddrPort `json:",omitzero"`
	Born      int64          // Start time in Unix milliseconds.
	CPU       float64        // Number of cores that it may use.
}

// relayRole tells a follower of a table who reads it.
type relayRole struct {
	isRelay, relies func() bool
	publish         func(b rcfeed.Batch)
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
	// onStart is called with the number of rows before this instance registered.
	onStart  func(instances int)
	onFollow func(f *rcfeed.Follower) // May be nil.
	relays   relayRole                // Zero if each instance reads the table itself.
	eras     *rcera.Tracker
	log      zerolog.Logger

	ownRowRemoved chan struct{} // Signaled when this instance's row was removed.
	keyInDoubt    chan struct{} // Signaled when the shared key may not be stored.
	replaced      chan member   // Instances whose address this instance now has.

	mu      sync.Mutex
	known   map[string]member    // Instances passed to onPut, by name.
	missing map[string]time.Time // Since when the rows of known instances are lost.
}

// newMemberRegistry returns m with its internal fields initialized.
func newMemberRegistry(m *memberRegistry) *memberRegistry {
	m.known, m.missing = map[string]member{}, map[string]time.Time{}
	m.ownRowRemoved, m.keyInDoubt, m.replaced = make(chan struct{}, 1), make(chan struct{}, 1), make(chan member, maxReplaced)
	return m
}

func (m *memberRegistry) logTableError(err error) {
	m.log.Warn().Str("Event", "Dependency").Str("Table", membersTable).Bool("Reachable", false).Err(err).Send()
}

// sharedSecret returns the key with which instances authenticate each other. The first
// instance that asks for it creates it, or writes the one that it knows already.
func (m *memberRegistry) sharedSecret(ctx context.Context, known []byte) (key []byte, err error) {
	for delayed, counted := known != nil, known != nil; ; {
		var value []byte
		var err error
		if counted {
			value, err = m.readSharedKey(ctx)
		} else if value, err = m.readAtStart(ctx); err == nil {
			counted = true
		}
		if err == nil && value != nil {
			return value, nil
		}
		if err == nil && !delayed {
			// Wait, so that few instances of a fleet that starts at once try to create
			// the key.
			delayed = true
			rcwait.Sleep(ctx, rand.N(fleetStartWindow))
			continue
		}
		if err == nil {
			if key = known; key == nil {
				key = make([]byte, sharedKeyBytes)
				cryptorand.Read(key)
			}
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

// readSharedKey returns the key, or nil if there is none.
func (m *memberRegistry) readSharedKey(ctx context.Context) ([]byte, error) {
	rows, err := m.table.Get(ctx, sharedKey)
	if err != nil || rows[0].Version == 0 {
		return nil, err
	}
	return rows[0].Value, nil
}

// readAtStart does the same with a read of the whole table, which also tells how many
// instances are registered: if all restart at once, it takes them a second to learn of each
// other.
func (m *memberRegistry) readAtStart(ctx context.Context) (key []byte, err error) {
	resp, err := m.source.Read(ctx, membersTable)
	if err != nil {
		return nil, err
	}
	instances := 0
	for _, row := range resp.Rows {
		switch {
		case row.Key == sharedKey:
			key = row.Value
		case strings.HasPrefix(row.Key, memberPrefix):
			instances++
		}
	}
	if instances > 0 && m.onStart != nil {
		m.onStart(instances)
	}
	return key, nil
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
		Source: m.source, Table: membersTable, MinInterval: membersReadInterval, DelayTolerant: true, Eras: m.eras, Log: m.log,
		IsRelay: m.relays.isRelay, ReliesOnRelay: m.relays.relies, Publish: m.publish,
		OnReset: func(rows []rcfeed.Row, s rcfeed.Provenance) {
			m.applyReset(rows, s)
			m.onReset()
		},
		OnChange: m.applyRow,
	})
	if m.onFollow != nil {
		m.onFollow(f)
	}
	return f.Run(ctx)
}

// publish passes a batch on to the other instances without the shared key, which no message
// contains.
func (m *memberRegistry) publish(b rcfeed.Batch) {
	isKey := func(row rcfeed.Row) bool { return row.Key == sharedKey }
	b.Rows, b.Earlier = slices.DeleteFunc(slices.Clone(b.Rows), isKey), slices.DeleteFunc(slices.Clone(b.Earlier), isKey)
	m.relays.publish(b)
}

// applyReset applies a read of the whole table. It drops instances whose rows were
// removed while the change history was lost, since these are missing from rows. If the
// store came back from an older copy, missing rows are rather lost, and their instances
// write them again.
func (m *memberRegistry) applyReset(rows []rcfeed.Row, p rcfeed.Provenance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	listed := map[string]bool{}
	ownRowSeen, keySeen := false, false
	for _, row := range rows {
		ownRowSeen = ownRowSeen || row.Key == memberPrefix+m.self.Name
		keySeen = keySeen || row.Key == sharedKey
		if name, ok := m.applyRowLocked(row, p); ok {
			listed[name] = true
		}
	}
	clear(m.missing)
	for name := range m.known {
		switch {
		case listed[name]:
		case p.Restored:
			m.missing[name] = time.Now()
		default:
			m.dropLocked(name)
		}
	}
	if !ownRowSeen {
		signal(m.ownRowRemoved)
	}
	if p.Restored || !keySeen { // The first read may follow a restore, too.
		signal(m.keyInDoubt)
	}
}

// signal wakes the receiver of c, which has room for one signal.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (m *memberRegistry) applyRow(row rcfeed.Row, p rcfeed.Provenance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyRowLocked(row, p)
}

// applyRowLocked applies a row. It returns the name of the other instance that the row
// describes, if there is one.
func (m *memberRegistry) applyRowLocked(row rcfeed.Row, p rcfeed.Provenance) (name string, ok bool) {
	name, ok = strings.CutPrefix(row.Key, memberPrefix)
	if !ok {
		return "", false
	}
	if name == m.self.Name {
		m.applyOwnRow(row)
		return "", false
	}
	if row.Removed {
		m.dropLocked(name)
		return "", false
	}
	var other member
	if err := json.Unmarshal(row.Value, &other); err != nil || !other.Peer.IsValid() {
		m.log.Warn().Str("Event", "InstanceRowRefused").Str("Key", row.Key).Uint64("Row", row.Version).AnErr("Cause", err).Send()
		m.dropLocked(name)
		return "", false
	}
	if other.Peer == m.self.Peer {
		// The other instance can no longer listen on this address. Calls to it would be
		// answered by this instance.
		m.dropLocked(name)
		select {
		case m.replaced <- other:
		default:
		}
		return "", false
	}
	if known, ok := m.known[name]; ok && p.Restored && other.Born < known.Born {
		return name, true // The copy is older than the instance, which writes its row again.
	}
	delete(m.missing, name)
	m.known[name] = other
	m.onPut(other)
	return name, true
}

// applyOwnRow requests a registration if this instance's row is gone or is that of an
// earlier process.
func (m *memberRegistry) applyOwnRow(row rcfeed.Row) {
	var own member
	if row.Removed || json.Unmarshal(row.Value, &own) != nil || own.Born != m.self.Born {
		signal(m.ownRowRemoved)
	}
}

// dropMissing drops the instances that have not written their lost rows again.
func (m *memberRegistry) dropMissing(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, since := range m.missing {
		if now.Sub(since) >= reregistrationTime {
			m.dropLocked(name)
		}
	}
}

func (m *memberRegistry) dropLocked(name string) {
	delete(m.known, name)
	delete(m.missing, name)
	m.onRemove(name)
}
