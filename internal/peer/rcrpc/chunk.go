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
	// chunkBytes is the data of one chunk. In base64 it takes 43 KiB, which fits a message.
	chunkBytes = 32 << 10
	// maxChunks bounds a fetch, so that a wrong answer cannot keep it running.
	maxChunks = 1024
)

// ErrObjectChanged says that the object changed while it was fetched.
var ErrObjectChanged = errors.New("object changed during the fetch")

// ChunkRequest asks for the part of an object that starts at Offset.
type ChunkRequest struct {
	Name   string // Which object; its meaning depends on the method.
	Offset int
	Sum    string // Hash of the whole object, known after the first chunk.
}

// Chunk is a part of an object.
type Chunk struct {
	Size int    // Bytes of the whole object.
	Sum  string // BLAKE3 of the whole object, in hexadecimal.
	Data []byte
}

// ChunkMethod names a call that fetches objects in chunks.
func ChunkMethod(name string, timeout time.Duration) Method[ChunkRequest, Chunk] {
	return Method[ChunkRequest, Chunk]{Name: name, Timeout: timeout}
}

// Object is what chunks are cut from. Its hash is computed once.
type Object struct {
	data []byte
	sum  string
}

// NewObject returns the object of data, which must not be changed afterwards.
func NewObject(data []byte) *Object { return &Object{data: data, sum: sumOf(data)} }

// Chunk returns the chunk that a request asks for.
func (o *Object) Chunk(q ChunkRequest) (Chunk, error) {
	if q.Sum != "" && q.Sum != o.sum {
		return Chunk{}, &RemoteError{Code: CodeNotFound, Message: ErrObjectChanged.Error()}
	}
	if q.Offset < 0 || q.Offset > len(o.data) {
		return Chunk{}, &RemoteError{Code: CodeNotFound, Message: "the offset is outside of the object"}
	}
	end := min(q.Offset+chunkBytes, len(o.data))
	return Chunk{Size: len(o.data), Sum: o.sum, Data: o.data[q.Offset:end]}, nil
}

func sumOf(data []byte) string {
	hash := blake3.Sum256(data)
	return hex.EncodeToString(hash[:])
}

// Fetch fetches a whole object of at most limit bytes and checks its hash.
func Fetch(ctx context.Context, c Caller, to netip.AddrPort, m Method[ChunkRequest, Chunk], name string, limit int) (object []byte, err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "fetch of %q", name)
		}
	}()
	q := ChunkRequest{Name: name}
	for range maxChunks {
		chunk, err := Call(ctx, c, to, m, q)
		if err != nil {
			return nil, err
		}
		if chunk.Size > limit {
			return nil, &FrameSizeError{Size: chunk.Size, Limit: limit}
		}
		if q.Sum != "" && chunk.Sum != q.Sum {
			return nil, ErrObjectChanged
		}
		object = append(object, chunk.Data...)
		q.Sum, q.Offset = chunk.Sum, len(object)
		if len(object) >= chunk.Size {
			return object, checkSum(object, chunk)
		}
		if len(chunk.Data) == 0 {
			return nil, ErrObjectChanged
		}
	}
	return nil, ErrObjectChanged
}

func checkSum(object []byte, last Chunk) error {
	if len(object) != last.Size || sumOf(object) != last.Sum {
		return ErrObjectChanged
	}
	return nil
}
