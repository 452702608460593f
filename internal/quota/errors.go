package quota

import "github.com/pkg/errors"

// ErrMalformedRecord means that a value in the key-value service cannot be decoded.
var ErrMalformedRecord = errors.New("quota: malformed record")
