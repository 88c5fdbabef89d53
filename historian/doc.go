// Package historian keeps the software versions that the upstreams of each service have had in the
// platform's store, so that nodes which have all started again know which versions may have begun a stream.
//
// A version has an entry before it begins its first stream, and until no upstream of it has been listed for
// registrar.VersionRetention. Any node may write an entry: creating one is idempotent, all other writes depend
// on its revision. Times are spans that nodes measure by their own clocks, and errors of these only make
// entries last longer.
package historian
