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

// Malformed marks a configuration of a peer that cannot be read.
const Malformed Kind = "malformed"

// Error is the one error type of this package.
type Error = failer.Error[Kind]

func fail(operation string, format string, values ...any) *Error {
	return failer.New("informer."+operation, Malformed, format, values...)
}

// maxDecoded bounds a configuration of a peer, in bytes: some 30 times the largest object
// of the platform's store, so that a few bytes cannot fill the memory.
const maxDecoded = 32 << 20

// encode returns a configuration as it goes between nodes: 1,400 rules, 300 KB in the
// store, become some 20 KB.
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

// decode returns the configuration of the version. The error is of kind Malformed.
func decode(encoded []byte, version uint64) (router.Definition, error) {
	var definition router.Definition
	plain := io.LimitReader(flate.NewReader(bytes.NewReader(encoded)), maxDecoded)
	if err := gob.NewDecoder(plain).Decode(&definition); err != nil {
		return router.Definition{}, fail("decode", "%w", err)
	}
	if definition.Version != version {
		return router.Definition{}, fail("decode", "version %d under the name of %d", definition.Version, version)
	}
	return definition, nil
}
