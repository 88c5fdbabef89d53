package definer

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"time"
)

// Configuration is a checked configuration. It never changes once built.
type Configuration struct {
	// version grows by one with each accepted change; 0 means none yet.
	version uint64
	// classes holds each class once, under its own name.
	classes map[ClassName]*Class
	// pools holds each pool once, under its own name.
	pools map[PoolName]*Pool
	// organisations holds each organisation once, under its own name.
	organisations map[OrganisationName]*Organisation
	// keys maps the hash of a caller's key to the one organisation that has it.
	keys map[string]*Organisation
	// rules are in the operators' order.
	rules []*Rule
	// document is the stored form that all of the above was built from.
	document Document
}

// Version returns the number of this configuration; higher is newer.
func (configuration *Configuration) Version() uint64 { return configuration.version }

// Class returns the class of that name, if there is one.
func (configuration *Configuration) Class(name ClassName) (*Class, bool) {
	class, ok := configuration.classes[name]
	return class, ok
}

// Classes returns all classes, highest tier first, then by name.
func (configuration *Configuration) Classes() []*Class {
	names := make([]*Class, 0, len(configuration.document.Classes))
	for _, class := range configuration.document.Classes {
		names = append(names, configuration.classes[ClassName(class.Name)])
	}
	sortClasses(names)
	return names
}

// Pool returns the pool of that name, if there is one.
func (configuration *Configuration) Pool(name PoolName) (*Pool, bool) {
	pool, ok := configuration.pools[name]
	return pool, ok
}

// Pools returns all pools in the operators' order.
func (configuration *Configuration) Pools() []*Pool {
	pools := make([]*Pool, 0, len(configuration.document.Pools))
	for _, pool := range configuration.document.Pools {
		pools = append(pools, configuration.pools[PoolName(pool.Name)])
	}
	return pools
}

// Organisation returns the organisation of that name, if there is one.
func (configuration *Configuration) Organisation(name OrganisationName) (*Organisation, bool) {
	organisation, ok := configuration.organisations[name]
	return organisation, ok
}

// OrganisationByKeyHash returns the organisation whose key has that SHA-256
// sum, in hexadecimal.
func (configuration *Configuration) OrganisationByKeyHash(hash string) (*Organisation, bool) {
	organisation, ok := configuration.keys[hash]
	return organisation, ok
}

// Rules returns the rules in the operators' order.
func (configuration *Configuration) Rules() []*Rule { return configuration.rules }

// RetryShare returns the share of successes that may be spent on retries.
func (configuration *Configuration) RetryShare() float64 {
	return configuration.document.Limits.RetryShare
}

// ClaimKeep returns how long the answer of a claim is kept.
func (configuration *Configuration) ClaimKeep() time.Duration {
	return milliseconds(configuration.document.Limits.ClaimKeepMs)
}

// Document returns the stored form.
func (configuration *Configuration) Document() Document { return configuration.document }

// Models returns the names of the models that some pool offers, each once, in
// the order of the pools.
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

// Parse decodes and checks a whole configuration and returns all its faults
// joined in one error of kind Malformed or Invalid. A field that it does not
// know is a fault, since a mistyped one would count as not set.
func Parse(version uint64, data []byte) (*Configuration, error) {
	var document Document
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&document); err != nil {
		return nil, fail("parse", Malformed, "%w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, fail("parse", Malformed, "something follows the configuration")
	}
	return Build(version, document)
}

func milliseconds(count int) time.Duration { return time.Duration(count) * time.Millisecond }
