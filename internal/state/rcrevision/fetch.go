package rcrevision

import (
	"context"
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"github.com/radishcrank/radishcrank/internal/peer/rcrpc"
)

// fetchTimeout is for one chunk.
const fetchTimeout = time.Second

// methodFetch fetches the document in force at a peer, as a delta to the
// document whose hash is given as the name, if the peer still holds that.
var methodFetch = rcrpc.ChunkMethod("ConfigFetch", fetchTimeout)

// answerFetch serves the document in force.
func (k *Keeper) answerFetch(_ context.Context, _ rcrpc.Identity, q rcrpc.ChunkRequest) (rcrpc.Chunk, error) {
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
	return object.Cut(q)
}

func (k *Keeper) deltaTo(v *version, baseHash string) delta {
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

// fetchNewest fetches the highest advertised revision, from one advertiser after the other.
func (k *Keeper) fetchNewest(ctx context.Context) {
	for ctx.Err() == nil {
		s, ok := k.takeSource()
		if !ok {
			return
		}
		if err := k.fetch(ctx, s); err != nil {
			k.cfg.Log.Debug().Err(err).Stringer("Peer", s.addr).Msg("configuration fetch failed")
		}
	}
}

// takeSource returns the advertiser of the highest revision above the current one.
func (k *Keeper) takeSource() (best source, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	at := -1
	for i, s := range k.sources {
		if at < 0 || s.revision > k.sources[at].revision {
			at = i
		}
	}
	if at < 0 || k.sources[at].revision <= k.current.Load().revision() {
		k.sources = nil
		return source{}, false
	}
	best = k.sources[at]
	k.sources = append(k.sources[:at], k.sources[at+1:]...)
	return best, true
}

func (k *Keeper) fetch(ctx context.Context, s source) (err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "fetch of revision %d", s.revision)
		}
	}()
	baseHash, baseText := "", ""
	if v := k.current.Load(); v != nil {
		baseHash, baseText = v.hash, v.text
	}
	data, err := rcrpc.Fetch(ctx, k.cfg.Caller, s.addr, methodFetch, baseHash, 2*maxTextBytes)
	if err != nil {
		return err
	}
	var d delta
	if err := decode(data, &d); err != nil {
		return err
	}
	if d.Revision < s.revision {
		return fmt.Errorf("peer advertised revision %d and sent %d", s.revision, d.Revision)
	}
	text, err := d.apply(baseHash, baseText)
	if err != nil {
		return err
	}
	k.adopt(ctx, d.Revision, text)
	return nil
}
