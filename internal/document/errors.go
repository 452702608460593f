package document

import "github.com/pkg/errors"

var (
	// ErrBadUnit means that an amount of memory has no binary unit.
	ErrBadUnit = errors.New("bad unit")
	// ErrMissing means that a field that has no default is empty.
	ErrMissing = errors.New("missing")
	// ErrOutOfRange means that a number is outside what the field allows.
	ErrOutOfRange = errors.New("out of range")
	// ErrUnknownChoice means that the value of a field is not an allowed one.
	ErrUnknownChoice = errors.New("unknown choice")
	// ErrDuplicateName means that two items have the same name, address or path.
	ErrDuplicateName = errors.New("name given twice")
	// ErrNoBaseModel means that adapters are listed under an entry that is not a
	// base model, because it has no weights of its own.
	ErrNoBaseModel = errors.New("adapter without base model")
	// ErrUnknownFailureDomain means that a failure domain is not listed.
	ErrUnknownFailureDomain = errors.New("unknown failure domain")
	// ErrUnknownService means that a route names a service pool that is not
	// listed.
	ErrUnknownService = errors.New("unknown service")
	// ErrBadURL means that a URL is not "http://IP:port" or "https://IP:port".
	ErrBadURL = errors.New("bad URL")
	// ErrBadPath means that a route's path is not a clean absolute path below
	// "/".
	ErrBadPath = errors.New("bad path")
	// ErrBadDigest means that a key's digest is not a lower-case SHA-256.
	ErrBadDigest = errors.New("bad digest")
	// ErrSharedKey means that a key's digest is listed more than once.
	ErrSharedKey = errors.New("key listed twice")
	// ErrDoesNotFit means that the models and adapters cannot all be resident.
	ErrDoesNotFit = errors.New("does not fit")
	// ErrNoUpstream means that no engine or service replica has the given name.
	ErrNoUpstream = errors.New("no such upstream")
	// ErrNoTeam means that a command names a team that is not in the document.
	ErrNoTeam = errors.New("no such team")
)
