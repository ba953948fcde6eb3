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
	fetchTimeout  = time.Second // For one chunk.
	ageUnit       = 100 * time.Millisecond
)

// newestRequest asks for the newest revision that an instance knows.
type newestRequest struct {
	Hash string `json:",omitempty"` // Of the document that the asking instance holds.
}

// newestAnswer describes the document in force on an instance.
type newestAnswer struct {
	// Revision and Hash are left out if the document is the one asked with.
	Revision uint64 `json:",omitempty"`
	Hash     string `json:",omitempty"`
	// Age is how long ago the revision was known to be the newest one, in tenths of
	// a second; nil if it never was. It is rounded up, or instances that are cut off
	// together would keep confirming each other.
	Age *uint32 `json:",omitempty"`
}

var methodNewest = rcrpc.Method[newestRequest, newestAnswer]{Name: "ConfigNewest", Timeout: newestTimeout}

func (k *Syncer) answerNewest(_ context.Context, _ rcrpc.Identity, q newestRequest) (newestAnswer, error) {
	var a newestAnswer
	revision, hash, age := k.inForce()
	if hash != q.Hash {
		a.Revision, a.Hash = revision, hash
	}
	if age >= 0 {
		units := uint32(min((age+ageUnit-1)/ageUnit, math.MaxUint32))
		a.Age = &units
	}
	return a, nil
}

// askPeer asks one peer for the newest revision and fetches it if it is higher.
func (k *Syncer) askPeer(ctx context.Context, addr netip.AddrPort) error {
	_, hash, _ := k.inForce()
	asked := time.Now()
	a, err := rcrpc.Call(ctx, k.cfg.Caller, addr, methodNewest, newestRequest{Hash: hash})
	if err != nil {
		return err
	}
	if !k.heard(addr, hash, a, asked) {
		return nil
	}
	if err := k.fetch(ctx, addr, a.Revision); err != nil {
		return err
	}
	k.heard(addr, a.Hash, newestAnswer{Age: a.Age}, asked)
	return nil
}

// heard takes in an answer to a question asked at a time with the hash of the
// document in force, and reports whether the peer's document is to be fetched.
func (k *Syncer) heard(from netip.AddrPort, hash string, a newestAnswer, asked time.Time) (newer bool) {
	v := k.current.Load()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.newest = max(k.newest, a.Revision)
	switch {
	case a.Hash == "":
		if v != nil && hash == v.hash && a.Age != nil {
			k.confirm(asked.Add(-time.Duration(*a.Age) * ageUnit))
		}
	case a.Revision > v.revision():
		return !asked.Before(k.rejected[a.Hash])
	case v != nil && a.Revision == v.doc.Revision:
		k.compare(v, a.Hash, from.String())
	}
	return false
}

// methodFetch fetches the document in force at a peer, as a delta to the
// document whose hash is given as the name, if the peer still holds that.
var methodFetch = rcrpc.ChunkMethod("ConfigFetch", fetchTimeout)

// answerFetch serves the document in force.
func (k *Syncer) answerFetch(_ context.Context, _ rcrpc.Identity, q rcrpc.ChunkRequest) (rcrpc.Chunk, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	v := k.current.Load()
	if v == nil {
		return rcrpc.Chunk{}, &rcrpc.RemoteError{Code: rcrpc.CodeNotFound, Message: "no configuration is in force"}
	}
	object, ok := k.objects[q.Name]
	if !ok {
		data, err := encode(k.deltaTo(v, q.Name))
		if err != nil {
			return rcrpc.Chunk{}, err
		}
		object = rcrpc.NewObject(data)
		// Peers hold few different documents, so a full map means nonsense.
		if len(k.objects) > keptTexts {
			clear(k.objects)
		}
		k.objects[q.Name] = object
	}
	return object.Chunk(q)
}

func (k *Syncer) deltaTo(v *version, baseHash string) delta {
	d := delta{Revision: v.doc.Revision, Hash: v.hash}
	for _, old := range append([]*version{v}, k.older...) {
		if old.hash == baseHash {
			d.BaseHash = baseHash
			d.Ops = diffLines(old.text, v.text)
			return d
		}
	}
	d.Text = v.text
	return d
}

// fetch brings a peer's document into force, which has at least a revision.
func (k *Syncer) fetch(ctx context.Context, addr netip.AddrPort, revision uint64) (err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "fetch of revision %d", revision)
		}
	}()
	baseHash, baseText := "", ""
	if v := k.current.Load(); v != nil {
		baseHash, baseText = v.hash, v.text
	}
	data, err := rcrpc.Fetch(ctx, k.cfg.Caller, addr, methodFetch, baseHash, 2*maxTextBytes)
	if err != nil {
		return err
	}
	var d delta
	if err := decode(data, &d); err != nil {
		return err
	}
	if d.Revision < revision {
		return fmt.Errorf("peer has revision %d and sent %d", revision, d.Revision)
	}
	text, err := d.apply(baseHash, baseText)
	if err != nil {
		return err
	}
	k.adopt(ctx, d.Revision, text)
	return nil
}
