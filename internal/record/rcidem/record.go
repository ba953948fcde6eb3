package rcidem

import (
	"encoding/hex"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/zeebo/blake3"

	"github.com/radishcrank/radishcrank"
)

const (
	rowPrefix   = "idem/"
	openPrefix  = "idemopen/"
	keyHashSize = 16

	// MaxRowBytes bounds a row of this package. Key and content type are bounded
	// separately, so an answer body may take MaxStoredResponseBytes of it.
	MaxRowBytes = 64 << 10
	// MaxStoredResponseBytes is the largest answer body that a row keeps. A repeat of a
	// call with a larger answer asks the upstream for it.
	MaxStoredResponseBytes = 60 << 10

	maxKeyBytes         = 512
	maxContentTypeBytes = 256
)

// state is the state of a call's row.
type state string

const (
	stateStarted    state = "Started"    // The holder may send the call at any moment.
	stateDone       state = "Done"       // The call ran and its answer is known.
	stateNotRun     state = "NotRun"     // No earlier attempt ran or ever will; a new one may start.
	stateMayHaveRun state = "MayHaveRun" // Nobody can tell, so no new attempt may start.
)

// record is the value of a row. Attempt is INSTANCE/INCARNATION/NUMBER of the
// attempt that wrote the row first; only its holder may declare it NotRun.
type record struct {
	State       state
	Attempt     string
	BodyHash    []byte
	Account     radishcrank.ClientAccountID
	Service     string
	Key         string
	UpdatedAt   int64 // Milliseconds since 1970; retention counts from it.
	Status      int
	ContentType string
	Body        []byte
	Oversize    bool // The answer was too large to store.
}

func decode(row radishcrank.Row) (rec record, err error) {
	if err := msgpack.Unmarshal(row.Value, &rec); err != nil {
		return rec, fmt.Errorf("row %s: %w", row.Key, err)
	}
	return rec, nil
}

// encode stamps the record and returns the row's value.
func (rec record) encode() []byte {
	rec.UpdatedAt = time.Now().UnixMilli()
	// Marshal fails only for types that msgpack cannot encode; record has none.
	value, err := msgpack.Marshal(&rec)
	if err != nil {
		panic(err)
	}
	return value
}

// withAnswer returns the record in state Done, without the body if it is too large.
func (rec record) withAnswer(answer radishcrank.ServiceResponse) record {
	rec.State = stateDone
	rec.Status = answer.Status
	rec.ContentType = answer.ContentType
	rec.Body = answer.Body
	rec.Oversize = false
	if len(answer.Body) > MaxStoredResponseBytes || len(answer.ContentType) > maxContentTypeBytes {
		rec.Body, rec.ContentType, rec.Oversize = nil, "", true
	}
	return rec
}

func (rec record) withState(s state) record {
	rec.State = s
	return rec
}

func (rec record) answer() radishcrank.ServiceResponse {
	return radishcrank.ServiceResponse{Status: rec.Status, ContentType: rec.ContentType, Body: rec.Body}
}

// lookupCall returns what the upstream is asked whether it knows the key.
func (rec record) lookupCall() radishcrank.ServiceCall {
	return radishcrank.ServiceCall{Account: rec.Account, Service: rec.Service, IdempotencyKey: rec.Key}
}

// holder returns the instance that made an attempt.
func holder(attempt string) (id radishcrank.InstanceID, incarnation radishcrank.Incarnation, err error) {
	parts := strings.Split(attempt, "/")
	if len(parts) != 3 {
		return "", 0, fmt.Errorf("attempt %q has %d parts, want 3", attempt, len(parts))
	}
	name, err := url.PathUnescape(parts[0])
	if err != nil {
		return "", 0, err
	}
	n, err := strconv.ParseUint(parts[1], 10, 64)
	return radishcrank.InstanceID(name), radishcrank.Incarnation(n), err
}

func openKey(attempt string) string { return openPrefix + attempt }

func rowKey(call radishcrank.ServiceCall) string {
	sum := blake3.Sum256([]byte(call.IdempotencyKey))
	return rowPrefix + url.PathEscape(string(call.Account)) + "/" + url.PathEscape(call.Service) + "/" + hex.EncodeToString(sum[:keyHashSize])
}

// hashers saves the 10 KB that a new hasher takes.
var hashers = sync.Pool{New: func() any { return blake3.New() }}

// bodyHash covers everything that makes two calls the same. Lengths separate
// the fields, so that bytes cannot move from one to the next unnoticed.
func bodyHash(call radishcrank.ServiceCall) []byte {
	h := hashers.Get().(*blake3.Hasher)
	defer hashers.Put(h)
	h.Reset()
	for _, field := range []string{call.Method, call.Path, call.ContentType} {
		h.WriteString(strconv.Itoa(len(field)))
		h.WriteString(":")
		h.WriteString(field)
	}
	h.Write(call.Body)
	return h.Sum(nil)[:keyHashSize]
}
