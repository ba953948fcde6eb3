package rcplatform

import "github.com/radishcrank/radishcrank"

// Paths of the platform's HTTP API. All bodies are JSON except for objects,
// which are raw bytes.
//
// Status 409 means that a check of a commit failed, 503 that the service
// rejected the request without any effect, 404 that an object or a weights
// version does not exist, and 429 with Retry-After that the rate limit of the
// weight store is exceeded. After any other status except 200 it is unknown
// whether a write took effect.
const (
	PathCommit      = "/table/commit" // POST radishcrank.Transaction.
	PathGet         = "/table/get"    // POST GetRequest; returns RowList.
	PathScan        = "/table/scan"   // POST ScanRequest; returns RowList.
	PathObjects     = "/objects/"     // PUT and GET PathObjects + escaped name.
	PathObjectNames = "/object-names" // GET with query parameter QueryPrefix; returns NameList.
	PathInstances   = "/instances"    // GET; returns radishcrank.Listing.
	PathWeights     = "/weights/"     // GET PathWeights + MODEL/VERSION; returns WeightsInfo.
	QueryPrefix     = "Prefix"
)

// GetRequest lists the keys of the rows to read.
type GetRequest struct {
	Keys []string
}

// ScanRequest selects up to Limit rows whose keys start with Prefix and are
// greater than After.
type ScanRequest struct {
	Prefix string
	After  string
	Limit  int
}

// RowList is a list of rows.
type RowList struct {
	Rows []radishcrank.Row
}

// NameList is a list of object names.
type NameList struct {
	Names []string
}

// WeightsInfo is the metadata of a weights version in the weight store.
type WeightsInfo struct {
	Bytes int64
}
