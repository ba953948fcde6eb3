// Package rcframing tells whole response bodies from those that were broken off. A body
// without a length and chunks ends with its connection, and a process that is killed
// closes its connections like one that has sent everything.
package rcframing

import "net/http"

// Unframed reports whether the body of a response has neither a length nor chunks. The
// checksum of a compressed body proves its end.
func Unframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !resp.Uncompressed
}
