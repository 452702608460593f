package patch

import (
	"math/bits"

	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
)

// ErrPatch means that a patch cannot be made, or cannot be read with the base that it is
// applied to.
var ErrPatch = errors.New("patch: bad patch")

const (
	// maxValue bounds a value in bytes, so that a damaged patch cannot take all memory.
	maxValue = 16 << 20
	// dictionary is the ID of the base in a frame. Frames have no other one.
	dictionary = 1
)

// Make returns what turns base into value. Without a base the patch is the value,
// compressed. It returns ErrPatch, wrapped.
func Make(base, value []byte) ([]byte, error) {
	if len(value) > maxValue {
		return nil, errors.Wrapf(ErrPatch, "a value of %d bytes", len(value))
	}
	options := []zstd.EOption{
		// Faster levels remember too little of a large base to find it again.
		zstd.WithEncoderLevel(zstd.SpeedBetterCompression), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(window(len(base) + len(value))),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionary, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, errors.Wrapf(ErrPatch, "%v", err)
	}
	defer encoder.Close()
	return encoder.EncodeAll(value, nil), nil
}

// Apply returns the value that a patch makes of base. It returns ErrPatch, wrapped.
func Apply(base, patch []byte) ([]byte, error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxValue)}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionary, base))
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

// window returns the size of a window that holds so many bytes: a power of two.
func window(bytes int) int {
	size := 1 << bits.Len(uint(bytes))
	return min(max(size, zstd.MinWindowSize), zstd.MaxWindowSize)
}
