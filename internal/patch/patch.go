package patch

import (
	"math/bits"

	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
)

// ErrPatch means that a patch cannot be made, or cannot be decoded with the given base.
var ErrPatch = errors.New("patch: cannot make or decode the patch")

const (
	// maxValueBytes is the largest size of a value, so that a damaged patch cannot exhaust
	// the memory.
	maxValueBytes = 16 << 20
	// dictionaryID is the dictionary ID of the base in a frame. It is the only one in use.
	dictionaryID = 1
)

// Make returns the patch that turns base into value. Without a base, the patch is the
// compressed value. Errors are ErrPatch, wrapped.
func Make(base, value []byte) ([]byte, error) {
	if len(value) > maxValueBytes {
		return nil, errors.Wrapf(ErrPatch, "value of %d bytes is too large", len(value))
	}
	options := []zstd.EOption{
		// Faster levels index too little of a large base to find matches in it.
		zstd.WithEncoderLevel(zstd.SpeedBetterCompression), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(windowSize(len(base) + len(value))),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, errors.Wrapf(ErrPatch, "%v", err)
	}
	defer encoder.Close()
	return encoder.EncodeAll(value, nil), nil
}

// Apply returns the value that a patch turns base into. Errors are ErrPatch, wrapped.
func Apply(base, patch []byte) ([]byte, error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxValueBytes)}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, errors.Wrapf(ErrPatch, "%v", err)
	}
	defer decoder.Close()
	value, err := decoder.DecodeAll(patch, nil)
	if err != nil {
		return nil, errors.Wrapf(ErrPatch, "%v", err)
	}
	return value, nil
}

// windowSize returns a window size that holds a number of bytes: a power of two within the
// limits of the encoder.
func windowSize(bytes int) int {
	size := 1 << bits.Len(uint(bytes))
	return min(max(size, zstd.MinWindowSize), zstd.MaxWindowSize)
}
