package rcrpc

import (
	"context"
	"encoding/hex"
	"errors"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"github.com/zeebo/blake3"
)

const (
	// chunkBytes is the size of a chunk's data. Base64 expands it to 43 KiB, which
	// fits within MaxMessageBytes.
	chunkBytes = 32 << 10
	// maxChunks bounds the chunks of one fetch, so that a faulty peer cannot keep
	// the fetch running.
	maxChunks = 1024
)

// ErrObjectChanged reports that an object changed while it was being fetched.
var ErrObjectChanged = errors.New("object changed during the fetch")

// ChunkRequest requests the chunk of an object that starts at Offset.
type ChunkRequest struct {
	Name   string // Identifies the object; the meaning depends on the method.
	Offset int
	Sum    string // Hash of the whole object; empty in the first request.
}

// Chunk is a contiguous part of an object.
type Chunk struct {
	Size int    // Size of the whole object in bytes.
	Sum  string // Hex-encoded BLAKE3 hash of the whole object.
	Data []byte
}

// ChunkMethod returns a method that fetches objects in chunks.
func ChunkMethod(name string, timeout time.Duration) Method[ChunkRequest, Chunk] {
	return Method[ChunkRequest, Chunk]{Name: name, Timeout: timeout}
}

// Object is an object that is served in chunks. Its hash is computed once.
type Object struct {
	data []byte
	hash string
}

// NewObject returns an Object with the given data, which must not be modified
// afterwards.
func NewObject(data []byte) *Object { return &Object{data: data, hash: hexHash(data)} }

// Chunk returns the requested chunk.
func (o *Object) Chunk(req ChunkRequest) (Chunk, error) {
	if req.Sum != "" && req.Sum != o.hash {
		return Chunk{}, &RemoteError{Code: CodeNotFound, Message: ErrObjectChanged.Error()}
	}
	if req.Offset < 0 || req.Offset > len(o.data) {
		return Chunk{}, &RemoteError{Code: CodeNotFound, Message: "the offset is outside of the object"}
	}
	end := min(req.Offset+chunkBytes, len(o.data))
	return Chunk{Size: len(o.data), Sum: o.hash, Data: o.data[req.Offset:end]}, nil
}

func hexHash(data []byte) string {
	hash := blake3.Sum256(data)
	return hex.EncodeToString(hash[:])
}

// Fetch fetches a whole object of at most limit bytes in chunks and verifies its
// hash.
func Fetch(ctx context.Context, c Caller, to netip.AddrPort, m Method[ChunkRequest, Chunk], name string, limit int) (object []byte, err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "fetching object %q", name)
		}
	}()
	req := ChunkRequest{Name: name}
	for range maxChunks {
		chunk, err := Call(ctx, c, to, m, req)
		if err != nil {
			return nil, err
		}
		if chunk.Size > limit {
			return nil, &FrameSizeError{Size: chunk.Size, Limit: limit}
		}
		if req.Sum != "" && chunk.Sum != req.Sum {
			return nil, ErrObjectChanged
		}
		object = append(object, chunk.Data...)
		req.Sum, req.Offset = chunk.Sum, len(object)
		if len(object) >= chunk.Size {
			return object, verifyObject(object, chunk)
		}
		if len(chunk.Data) == 0 {
			return nil, ErrObjectChanged
		}
	}
	return nil, ErrObjectChanged
}

func verifyObject(object []byte, last Chunk) error {
	if len(object) != last.Size || hexHash(object) != last.Sum {
		return ErrObjectChanged
	}
	return nil
}
