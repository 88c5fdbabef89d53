package registrar

import (
	"maps"
	"slices"
	"time"

	"limpetcleat/definer"
)

// VersionRetention is how long a software version counts as one of a service's after its last
// upstream is not listed any more. Streams that it began may still be taken up, and upstreams may
// serve for some time after their entry has gone.
const VersionRetention = 10 * time.Minute

// ListedVersion is a software version of a service's upstreams.
type ListedVersion struct {
	Version definer.SoftwareVersion
	// Age is how long ago an upstream of this version was listed last; 0 if one is listed now.
	Age time.Duration
}

// versionLog keeps the software versions of the upstreams of each service.
type versionLog struct {
	listed map[definer.PoolName]map[definer.SoftwareVersion]bool
	// gone holds when versions that are not listed were listed last, at most VersionRetention ago
	// as of the last update.
	gone map[definer.PoolName]map[definer.SoftwareVersion]time.Time
}

func newVersionLog() versionLog {
	return versionLog{
		listed: make(map[definer.PoolName]map[definer.SoftwareVersion]bool),
		gone:   make(map[definer.PoolName]map[definer.SoftwareVersion]time.Time),
	}
}

// update replaces the listed versions by those of the upstreams.
func (versionLog *versionLog) update(now time.Time, upstreams map[definer.UpstreamName]*Upstream) {
	previous := versionLog.listed
	versionLog.listed = make(map[definer.PoolName]map[definer.SoftwareVersion]bool, len(previous))
	for _, upstream := range upstreams {
		versions, ok := versionLog.listed[upstream.Service]
		if !ok {
			versions = make(map[definer.SoftwareVersion]bool)
			versionLog.listed[upstream.Service] = versions
		}
		versions[upstream.Version] = true
	}
	for service, versions := range previous {
		for version := range versions {
			versionLog.learn(service, version, now)
		}
	}
	for service, versions := range versionLog.gone {
		maps.DeleteFunc(versions, func(version definer.SoftwareVersion, at time.Time) bool {
			return versionLog.listed[service][version] || now.Sub(at) > VersionRetention
		})
		if len(versions) == 0 {
			delete(versionLog.gone, service)
		}
	}
}

// learn records that a version was listed at the time, unless it is listed now or was listed later.
func (versionLog *versionLog) learn(service definer.PoolName, version definer.SoftwareVersion, at time.Time) {
	if versionLog.listed[service][version] {
		return
	}
	versions, ok := versionLog.gone[service]
	if !ok {
		versions = make(map[definer.SoftwareVersion]time.Time)
		versionLog.gone[service] = versions
	}
	if at.After(versions[version]) {
		versions[version] = at
	}
}

// Versions returns the software versions of a service's upstreams, sorted by version: those that are
// listed, also as leaving, and those that were listed within VersionRetention.
func (registrar *Registrar) Versions(now time.Time, service definer.PoolName) []ListedVersion {
	registrar.mutex.RLock()
	defer registrar.mutex.RUnlock()
	var versions []ListedVersion
	for _, version := range slices.Sorted(maps.Keys(registrar.versions.listed[service])) {
		versions = append(versions, ListedVersion{Version: version})
	}
	gone := registrar.versions.gone[service]
	for _, version := range slices.Sorted(maps.Keys(gone)) {
		if age := now.Sub(gone[version]); age <= VersionRetention {
			versions = append(versions, ListedVersion{Version: version, Age: age})
		}
	}
	return versions
}

// Services returns the services with listed upstreams, sorted by name.
func (registrar *Registrar) Services() []definer.PoolName {
	registrar.mutex.RLock()
	defer registrar.mutex.RUnlock()
	return slices.Sorted(maps.Keys(registrar.versions.listed))
}

// LearnVersions records versions that another node has listed, by their age at the time.
func (registrar *Registrar) LearnVersions(now time.Time, service definer.PoolName, versions []ListedVersion) {
	registrar.mutex.Lock()
	defer registrar.mutex.Unlock()
	for _, listed := range versions {
		registrar.versions.learn(service, listed.Version, now.Add(-listed.Age))
	}
}
