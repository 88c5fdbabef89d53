package definer

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"time"
)

// Configuration is a validated, immutable configuration.
type Configuration struct {
	// version grows by one with each accepted change; 0 means that there is none yet.
	version uint64
	// classes holds the classes by name.
	classes map[ClassName]*Class
	// pools holds the pools by name.
	pools map[PoolName]*Pool
	// organisations holds the organisations by name.
	organisations map[OrganisationName]*Organisation
	// keys maps the hash of an API key to the one organisation that owns the key.
	keys map[string]*Organisation
	// rules are in the order of the document.
	rules []*Rule
	// document is the stored form from which all other fields are built.
	document Document
}

// Version returns the version of the configuration; a higher one is newer.
func (configuration *Configuration) Version() uint64 { return configuration.version }

// Class returns the class with the given name, and whether it exists.
func (configuration *Configuration) Class(name ClassName) (*Class, bool) {
	class, ok := configuration.classes[name]
	return class, ok
}

// Classes returns all classes sorted by tier, highest priority first, then by name.
func (configuration *Configuration) Classes() []*Class {
	classes := make([]*Class, 0, len(configuration.document.Classes))
	for _, class := range configuration.document.Classes {
		classes = append(classes, configuration.classes[ClassName(class.Name)])
	}
	sortClasses(classes)
	return classes
}

// Pool returns the pool with the given name, and whether it exists.
func (configuration *Configuration) Pool(name PoolName) (*Pool, bool) {
	pool, ok := configuration.pools[name]
	return pool, ok
}

// Pools returns all pools in the order of the document.
func (configuration *Configuration) Pools() []*Pool {
	pools := make([]*Pool, 0, len(configuration.document.Pools))
	for _, pool := range configuration.document.Pools {
		pools = append(pools, configuration.pools[PoolName(pool.Name)])
	}
	return pools
}

// Organisation returns the organisation with the given name, and whether it exists.
func (configuration *Configuration) Organisation(name OrganisationName) (*Organisation, bool) {
	organisation, ok := configuration.organisations[name]
	return organisation, ok
}

// OrganisationByKeyHash returns the organisation that owns the API key with the
// given SHA-256 hash, in lower-case hexadecimal, and whether there is one.
func (configuration *Configuration) OrganisationByKeyHash(hash string) (*Organisation, bool) {
	organisation, ok := configuration.keys[hash]
	return organisation, ok
}

// Rules returns the rules in the order of the document.
func (configuration *Configuration) Rules() []*Rule { return configuration.rules }

// RetryShare returns the retry budget as a share of the successful requests.
func (configuration *Configuration) RetryShare() float64 {
	return configuration.document.Limits.RetryShare
}

// ClaimKeep returns how long the response to a claimed Idempotency-Key is kept.
func (configuration *Configuration) ClaimKeep() time.Duration {
	return milliseconds(configuration.document.Limits.ClaimKeepMs)
}

// Document returns the stored form of the configuration.
func (configuration *Configuration) Document() Document { return configuration.document }

// Models returns the distinct names of the models that upstreams of any pool
// hold, in the order of the pools and their upstreams.
func (configuration *Configuration) Models() []string {
	var models []string
	seen := make(map[string]bool)
	for _, pool := range configuration.Pools() {
		for _, upstream := range pool.Upstreams() {
			for _, model := range upstream.Models() {
				if !seen[model] {
					seen[model] = true
					models = append(models, model)
				}
			}
		}
	}
	return models
}

// Parse decodes a configuration from JSON and validates it with Build. It
// returns one error of kind Malformed if the data cannot be decoded, or all
// faults of kind Invalid joined. It rejects unknown fields, since a misspelt
// field would otherwise count as not set.
func Parse(version uint64, data []byte) (*Configuration, error) {
	var document Document
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&document); err != nil {
		return nil, fail("parse", Malformed, "%w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, fail("parse", Malformed, "unexpected data after the configuration")
	}
	return Build(version, document)
}

func milliseconds(count int) time.Duration { return time.Duration(count) * time.Millisecond }
