package configstate

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/pkg/errors"
)

// compressThreshold is the document size in bytes from which a document is
// stored compressed. Smaller documents stay readable in the key-value service.
const compressThreshold = 64 << 10

// maxDocumentBytes is the maximum size of a decompressed document in bytes, so
// that a small compressed value cannot exhaust the memory of every VM.
const maxDocumentBytes = 16 << 20

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
	text, err := io.ReadAll(io.LimitReader(r, maxDocumentBytes+1))
	if err != nil {
		return "", errors.Wrap(ErrEnvelope, err.Error())
	}
	if len(text) > maxDocumentBytes {
		return "", errors.Wrapf(ErrEnvelope, "decompressed document is larger than %d bytes", maxDocumentBytes)
	}
	return string(text), nil
}
