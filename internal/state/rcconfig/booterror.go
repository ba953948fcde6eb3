package rcconfig

import "errors"

// Errors of boot values. Their texts are fixed, so that no value can get into a log.
var (
	errAddress = errors.New(`each address must be an IP address with a port, for instance "10.0.0.5:7000"`)
	errSecret  = errors.New("the key must be at least 32 bytes in hexadecimal")
	errKeyHash = errors.New("each item must be a SHA-256 hash of 64 hexadecimal characters")
)
