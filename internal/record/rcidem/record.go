package rcidem

import (
	"encoding/hex"
	"fmt"
	"net/http"
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
	rowPrefix      = "idem/"
	openCallPrefix = "idemopen/"
	keyHashSize    = 16

	// MaxRowBytes is the maximum size of a row of this package. Key and content type
	// have limits of their own, so a response body may take MaxStoredResponseBytes.
	MaxRowBytes = 64 << 10
	// MaxStoredResponseBytes is the maximum size of a response body that is stored in
	// a row. If the response was larger, a repeat of the call looks it up at the
	// upstream.
	MaxStoredResponseBytes = 60 << 10

	maxKeyBytes         = 512
	maxContentTypeBytes = 256
)

// state is the state of a call's row.
type state string

const (
	stateStarted    state = "Started"    // The attempt's owner may send the call at any time.
	stateDone       state = "Done"       // The call ran and its response is known.
	stateNotRun     state = "NotRun"     // No earlier attempt ran or will run; a new one may start.
	stateMayHaveRun state = "MayHaveRun" // It cannot be determined whether the call ran, so no new attempt may start.
)

// record is the value of a row. Attempt identifies the attempt that claimed the row
// as INSTANCE/INCARNATION/NUMBER. Only the instance that owns the attempt may set it
// to NotRun.
type record struct {
	State       state
	Attempt     string
	BodyHash    []byte
	Account     radishcrank.ClientAccountID
	Service     string
	Key         string
	UpdatedAt   int64 // Unix time in milliseconds; the retention period starts here.
	Status      int
	ContentType string
	Body        []byte
	Oversize    bool // The response was too large to store.
}

func decode(row radishcrank.Row) (rec record, err error) {
	if err := msgpack.Unmarshal(row.Value, &rec); err != nil {
		return rec, fmt.Errorf("failed to decode row %s: %w", row.Key, err)
	}
	return rec, nil
}

// encode sets UpdatedAt to the current time and returns the row's value.
func (rec record) encode() []byte {
	rec.UpdatedAt = time.Now().UnixMilli()
	// Marshal fails only for types that msgpack cannot encode, and record has no
	// field of such a type.
	value, err := msgpack.Marshal(&rec)
	if err != nil {
		panic(err)
	}
	return value
}

// withResponse returns the record in state Done with the response. If the response
// is too large, body and content type are left out.
func (rec record) withResponse(response radishcrank.ServiceResponse) record {
	rec.State = stateDone
	rec.Status = response.Status
	rec.ContentType = response.ContentType
	rec.Body = response.Body
	rec.Oversize = false
	if len(response.Body) > MaxStoredResponseBytes || len(response.ContentType) > maxContentTypeBytes {
		rec.Body, rec.ContentType, rec.Oversize = nil, "", true
	}
	return rec
}

func (rec record) withState(s state) record {
	rec.State = s
	return rec
}

// replayable reports whether the record holds a response that a caller can be given. Earlier
// versions recorded statuses that are none in HTTP.
func (rec record) replayable() bool {
	return rec.State == stateDone && !rec.Oversize && rec.Status >= http.StatusContinue
}

func (rec record) response() radishcrank.ServiceResponse {
	return radishcrank.ServiceResponse{Status: rec.Status, ContentType: rec.ContentType, Body: rec.Body}
}

// lookupCall returns the call with which upstreams are asked for the key.
func (rec record) lookupCall() radishcrank.ServiceCall {
	return radishcrank.ServiceCall{Account: rec.Account, Service: rec.Service, IdempotencyKey: rec.Key}
}

// parseAttempt returns the instance, and its incarnation, that owns an attempt.
func parseAttempt(attempt string) (id radishcrank.InstanceID, incarnation radishcrank.Incarnation, err error) {
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

func openCallKey(attempt string) string { return openCallPrefix + attempt }

func rowKey(call radishcrank.ServiceCall) string {
	sum := blake3.Sum256([]byte(call.IdempotencyKey))
	return rowPrefix + url.PathEscape(string(call.Account)) + "/" + url.PathEscape(call.Service) + "/" + hex.EncodeToString(sum[:keyHashSize])
}

// hasherPool reuses hashers, because a new one allocates 10 KB.
var hasherPool = sync.Pool{New: func() any { return blake3.New() }}

// bodyHash hashes everything that must be equal in calls with the same key. Each
// field is preceded by its length, so that calls whose fields differ only in where
// one ends and the next begins get different hashes.
func bodyHash(call radishcrank.ServiceCall) []byte {
	h := hasherPool.Get().(*blake3.Hasher)
	defer hasherPool.Put(h)
	h.Reset()
	for _, field := range []string{call.Method, call.Path, call.ContentType} {
		h.WriteString(strconv.Itoa(len(field)))
		h.WriteString(":")
		h.WriteString(field)
	}
	h.Write(call.Body)
	return h.Sum(nil)[:keyHashSize]
}
