package informer

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"io"

	"limpetcleat/failer"
	"limpetcleat/router"
)

// Kind classifies an Error.
type Kind string

// Malformed marks a configuration that cannot be encoded, or one from a peer that cannot
// be decoded.
const Malformed Kind = "malformed"

// Error is the error type of this package.
type Error = failer.Error[Kind]

func fail(operation string, format string, values ...any) *Error {
	return failer.New("informer."+operation, Malformed, format, values...)
}

// maxDecodedBytes limits the decompressed size of a peer's configuration, in bytes, so
// that a few compressed bytes cannot exhaust the memory. It is some 30 times the largest
// object of the platform's store.
const maxDecodedBytes = 32 << 20

// encode returns a configuration in the compressed form that nodes send to each other:
// 1,400 rules, which take 300 KB in the store, take some 20 KB.
func encode(definition router.Definition) ([]byte, error) {
	var encoded bytes.Buffer
	compressor, err := flate.NewWriter(&encoded, flate.BestSpeed)
	if err != nil {
		return nil, fail("encode", "%w", err)
	}
	if err := gob.NewEncoder(compressor).Encode(definition); err != nil {
		return nil, fail("encode", "%w", err)
	}
	if err := compressor.Close(); err != nil {
		return nil, fail("encode", "%w", err)
	}
	return encoded.Bytes(), nil
}

// decode returns the configuration in encoded, which has to be of the given version. The
// error is of kind Malformed.
func decode(encoded []byte, version uint64) (router.Definition, error) {
	var definition router.Definition
	plain := io.LimitReader(flate.NewReader(bytes.NewReader(encoded)), maxDecodedBytes)
	if err := gob.NewDecoder(plain).Decode(&definition); err != nil {
		return router.Definition{}, fail("decode", "%w", err)
	}
	if definition.Version != version {
		return router.Definition{}, fail("decode", "the peer sent version %d of the configuration labelled as version %d", definition.Version, version)
	}
	return definition, nil
}
