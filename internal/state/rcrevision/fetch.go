package rcrevision

import (
	"context"
	"fmt"
	"math"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"github.com/radishcrank/radishcrank/internal/peer/rcrpc"
)

const (
	newestTimeout = time.Second
	fetchTimeout  = time.Second // Per chunk.
	ageUnit       = 100 * time.Millisecond
)

// newestRequest is a request for the current revision of an instance.
type newestRequest struct {
	Hash string `json:",omitempty"` // Of the caller's current document.
}

// newestAnswer describes the current document of an instance.
type newestAnswer struct {
	// Revision and Hash are omitted if the document has the hash in the request.
	Revision uint64 `json:",omitempty"`
	Hash     string `json:",omitempty"`
	// Age is the time since the revision was last confirmed to be the newest one, in
	// tenths of a second; nil if it never was. It is rounded up: otherwise instances
	// of an isolated group would keep confirming each other.
	Age *uint32 `json:",omitempty"`
}

var methodNewest = rcrpc.Method[newestRequest, newestAnswer]{Name: "ConfigNewest", Timeout: newestTimeout}

func (s *Syncer) answerNewest(_ context.Context, _ rcrpc.Identity, q newestRequest) (newestAnswer, error) {
	var a newestAnswer
	revision, hash, age := s.currentRevision()
	if hash != q.Hash {
		a.Revision, a.Hash = revision, hash
	}
	if age >= 0 {
		units := uint32(min((age+ageUnit-1)/ageUnit, math.MaxUint32))
		a.Age = &units
	}
	return a, nil
}

// pollPeer asks one peer for its current revision and fetches it if it is higher.
func (s *Syncer) pollPeer(ctx context.Context, addr netip.AddrPort) error {
	_, hash, _ := s.currentRevision()
	askedAt := time.Now()
	a, err := rcrpc.Call(ctx, s.cfg.Caller, addr, methodNewest, newestRequest{Hash: hash})
	if err != nil {
		return err
	}
	if !s.handleNewest(addr, hash, a, askedAt) {
		return nil
	}
	if err := s.fetch(ctx, addr, a.Revision); err != nil {
		return err
	}
	s.handleNewest(addr, a.Hash, newestAnswer{Age: a.Age}, askedAt)
	return nil
}

// handleNewest processes the answer to a newestRequest that was sent at askedAt
// with the given hash. It reports whether the peer's document should be fetched.
func (s *Syncer) handleNewest(from netip.AddrPort, hash string, a newestAnswer, askedAt time.Time) (newer bool) {
	cur := s.current.Load()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.highestSeen = max(s.highestSeen, a.Revision)
	switch {
	case a.Hash == "":
		if cur != nil && hash == cur.hash && a.Age != nil {
			s.confirm(askedAt.Add(-time.Duration(*a.Age) * ageUnit))
		}
	case a.Revision > cur.revision():
		return !askedAt.Before(s.rejectedUntil[a.Hash])
	case cur != nil && a.Revision == cur.doc.Revision:
		s.checkHash(cur, a.Hash, from.String())
	}
	return false
}

// methodFetch fetches the current document of a peer. The object name is the hash
// of the caller's document; if the peer still holds it, the answer is a delta to it.
var methodFetch = rcrpc.ChunkMethod("ConfigFetch", fetchTimeout)

// answerFetch serves a chunk of the current document.
func (s *Syncer) answerFetch(_ context.Context, _ rcrpc.Identity, q rcrpc.ChunkRequest) (rcrpc.Chunk, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cur := s.current.Load()
	if cur == nil {
		return rcrpc.Chunk{}, &rcrpc.RemoteError{Code: rcrpc.CodeNotFound, Message: "no configuration is in force"}
	}
	object, ok := s.deltaObjects[q.Name]
	if !ok {
		data, err := encode(s.newDelta(cur, q.Name))
		if err != nil {
			return rcrpc.Chunk{}, err
		}
		object = rcrpc.NewObject(data)
		// Peers hold only a few different documents, so only invalid requests fill the map.
		if len(s.deltaObjects) > maxPreviousDocs {
			clear(s.deltaObjects)
		}
		s.deltaObjects[q.Name] = object
	}
	return object.Chunk(q)
}

// newDelta returns the current document as a delta to the document with baseHash,
// or as a whole if that is not kept.
func (s *Syncer) newDelta(cur *document, baseHash string) delta {
	d := delta{Revision: cur.doc.Revision, Hash: cur.hash}
	for _, old := range append([]*document{cur}, s.previous...) {
		if old.hash == baseHash {
			d.BaseHash = baseHash
			d.Ops = diffLines(old.text, cur.text)
			return d
		}
	}
	d.Text = cur.text
	return d
}

// fetch fetches a peer's current document, whose revision must be at least the
// given one, and applies it.
func (s *Syncer) fetch(ctx context.Context, addr netip.AddrPort, revision uint64) (err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "fetch revision %d", revision)
		}
	}()
	baseHash, baseText := "", ""
	if cur := s.current.Load(); cur != nil {
		baseHash, baseText = cur.hash, cur.text
	}
	data, err := rcrpc.Fetch(ctx, s.cfg.Caller, addr, methodFetch, baseHash, 2*maxTextBytes)
	if err != nil {
		return err
	}
	var d delta
	if err := decode(data, &d); err != nil {
		return err
	}
	if d.Revision < revision {
		return fmt.Errorf("peer announced revision %d but sent revision %d", revision, d.Revision)
	}
	text, err := d.apply(baseHash, baseText)
	if err != nil {
		return err
	}
	s.applyRevision(ctx, d.Revision, text)
	return nil
}
