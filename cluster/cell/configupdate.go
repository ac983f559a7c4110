package cell

import (
	"fmt"
	"math/bits"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
)

const (
	// minUpdateWindow and maxUpdateWindow bound the window in which the encoder of an update finds repetitions. It
	// spans the base and the new configuration, unless they are very large.
	minUpdateWindow = 64 << 10
	maxUpdateWindow = 8 << 20
	// maxUpdateMemory bounds the memory that the decoding of an update uses.
	maxUpdateMemory = 32 << 20
	// updateDictionary identifies the base in an update.
	updateDictionary = 1
)

// encodeConfigUpdate compresses a configuration. With a base the result is a patch, which is small if they differ
// little.
func encodeConfigUpdate(data, base []byte) ([]byte, error) {
	window := 1 << bits.Len(uint(len(data)+len(base)))
	options := []zstd.EOption{
		zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(min(max(window, minUpdateWindow), maxUpdateWindow)),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(updateDictionary, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, &Error{Op: "encode configuration", Kind: KindMalformed, Err: err}
	}
	defer func() { _ = encoder.Close() }()
	return encoder.EncodeAll(data, nil), nil
}

// decodeConfigUpdate returns the configuration of an update, which must have the given hash.
func decodeConfigUpdate(update, base []byte, hash uint64) ([]byte, error) {
	const op = "decode configuration"
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxUpdateMemory)}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(updateDictionary, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, &Error{Op: op, Kind: KindMalformed, Err: err}
	}
	defer decoder.Close()
	data, err := decoder.DecodeAll(update, nil)
	if err != nil {
		return nil, &Error{Op: op, Kind: KindMalformed, Err: err}
	}
	if got := xxhash.Sum64(data); got != hash {
		return nil, &Error{Op: op, Kind: KindMalformed, Err: fmt.Errorf("hash %x instead of %x", got, hash)}
	}
	return data, nil
}
