package configstate

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/pkg/errors"
)

// compressFrom is the size of a document in bytes from which it is stored
// compressed. Smaller ones stay readable in the key-value service.
const compressFrom = 64 << 10

// maxDocument bounds a document in bytes after decompression, so that a small
// value cannot fill the memory of every VM.
const maxDocument = 16 << 20

func compress(text string) ([]byte, error) {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := io.WriteString(w, text); err != nil {
		return nil, errors.Wrap(ErrEnvelope, err.Error())
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(ErrEnvelope, err.Error())
	}
	return b.Bytes(), nil
}

func decompress(data []byte) (string, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return "", errors.Wrap(ErrEnvelope, err.Error())
	}
	text, err := io.ReadAll(io.LimitReader(r, maxDocument+1))
	if err != nil {
		return "", errors.Wrap(ErrEnvelope, err.Error())
	}
	if len(text) > maxDocument {
		return "", errors.Wrapf(ErrEnvelope, "document above %d bytes", maxDocument)
	}
	return string(text), nil
}
