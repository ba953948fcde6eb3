package rcplatform

import "github.com/radishcrank/radishcrank"

// Paths of the platform's HTTP API. All messages are JSON but for objects,
// which are raw bytes.
//
// A status 409 says that a check of a commit failed, 503 that the service
// refused the request without doing anything, 404 that an object or weights
// version does not exist, and 429 with Retry-After that the weight store's rate
// limit is used up. Any other status leaves open whether a write took effect.
const (
	PathCommit      = "/table/commit" // POST radishcrank.Transaction.
	PathGet         = "/table/get"    // POST GetRequest, answer RowList.
	PathScan        = "/table/scan"   // POST ScanRequest, answer RowList.
	PathObjects     = "/objects/"     // PUT and GET of PathObjects + escaped name.
	PathObjectNames = "/object-names" // GET with query Prefix, answer NameList.
	PathInstances   = "/instances"    // GET, answer radishcrank.Listing.
	PathWeights     = "/weights/"     // GET of PathWeights + MODEL/VERSION, answer WeightsInfo.
	QueryPrefix     = "Prefix"
)

// GetRequest asks for rows.
type GetRequest struct {
	Keys []string
}

// ScanRequest asks for a range of rows.
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

// WeightsInfo describes one weights version in the weight store.
type WeightsInfo struct {
	Bytes int64
}
