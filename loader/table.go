package loader

import (
	"net/netip"
	"slices"
	"time"

	"limpetcleat/definer"
)

// table returns all settings, ordered by section.
func table() []setting {
	return slices.Concat(
		nodeTable(), callersTable(), operatorsTable(), innerTable(), platformTable(),
		peersTable(), drainTable(), dispatchTable(), schedulingTable(), logTable(),
	)
}

// sectionNames returns the distinct section names of a table, in the order of the table.
func sectionNames(table []setting) []string {
	var names []string
	for _, setting := range table {
		if !slices.Contains(names, setting.section) {
			names = append(names, setting.section)
		}
	}
	return names
}

func nodeTable() []setting {
	return []setting{
		nameSetting("node", "name", "The name of this VM, as the platform lists it.",
			func(settings *Settings) *definer.VM { return &settings.node.name }).asRequired(),
		nameSetting("node", "dataCentre", "The data centre in which this VM runs.",
			func(settings *Settings) *definer.DataCentre { return &settings.node.dataCentre }).asRequired(),
	}
}

func callersTable() []setting {
	return []setting{
		addressSetting("callers", "listen", "The address on which callers are served.",
			func(settings *Settings) *netip.AddrPort { return &settings.callers.listen }).asRequired(),
		sizeSetting("callers", "maxBodyBytes", interval[int]{kibibyte, 64 * mebibyte}, "4MiB", "The maximum size of a request's body.",
			func(settings *Settings) *int { return &settings.callers.maxBodyBytes }),
		sizeSetting("callers", "maxHeaderBytes", interval[int]{kibibyte, mebibyte}, "32KiB", "The maximum size of a request's headers.",
			func(settings *Settings) *int { return &settings.callers.maxHeaderBytes }),
		durationSetting("callers", "readHeaderTimeout", interval[time.Duration]{100 * time.Millisecond, time.Minute}, "5s", "The maximum time to receive the headers.",
			func(settings *Settings) *time.Duration { return &settings.callers.readHeaderTimeout }),
		durationSetting("callers", "bodyTimeout", interval[time.Duration]{100 * time.Millisecond, 10 * time.Minute}, "30s", "The maximum time to receive the body.",
			func(settings *Settings) *time.Duration { return &settings.callers.bodyTimeout }),
		durationSetting("callers", "idleTimeout", interval[time.Duration]{time.Second, time.Hour}, "2m", "The time after which an idle connection is closed.",
			func(settings *Settings) *time.Duration { return &settings.callers.idleTimeout }),
		countSetting("callers", "maxConnections", "connections", interval[int]{1, 100_000}, "4096", "The maximum number of open connections. Where GOMEMLIMIT is set, at most 0.15 of it divided by 32 KB.",
			func(settings *Settings) *int { return &settings.callers.maxConnections }),
		fileSetting("callers", "tlsCertificate", "The certificate presented to callers; without a certificate they are served plain HTTP.",
			func(settings *Settings) *string { return &settings.callers.tlsCertificate }),
		fileSetting("callers", "tlsKey", "The private key of the certificate presented to callers.",
			func(settings *Settings) *string { return &settings.callers.tlsKey }),
	}
}

func operatorsTable() []setting {
	return []setting{
		addressSetting("operators", "listen", "The address on which operators and the metrics scraper are served.",
			func(settings *Settings) *netip.AddrPort { return &settings.operators.listen }).asRequired(),
		tokenSetting("operators", "token", "The token that operators present; set either token or tokenFile.",
			func(settings *Settings) **string { return &settings.operators.secret.text }),
		fileSetting("operators", "tokenFile", "The file with the operators' token; set either token or tokenFile.",
			func(settings *Settings) *string { return &settings.operators.secret.file }),
	}
}

func innerTable() []setting {
	return []setting{
		addressSetting("inner", "listen", "The address on which the other nodes are served.",
			func(settings *Settings) *netip.AddrPort { return &settings.inner.listen }).asRequired(),
		addressSetting("inner", "address", "The address at which the other nodes reach this node; the default is the value of listen.",
			func(settings *Settings) *netip.AddrPort { return &settings.inner.address }),
		fileSetting("inner", "tlsCertificate", "The certificate that this node presents to the other nodes.",
			func(settings *Settings) *string { return &settings.inner.tlsCertificate }),
		fileSetting("inner", "tlsKey", "The private key of this node's certificate.",
			func(settings *Settings) *string { return &settings.inner.tlsKey }),
		fileSetting("inner", "tlsAuthority", "The certificate of the authority that has signed the certificates of all nodes.",
			func(settings *Settings) *string { return &settings.inner.tlsAuthority }),
		booleanSetting("inner", "plain", "Whether the nodes communicate without TLS; rejected beyond loopback unless plainAnywhere is set.",
			func(settings *Settings) *bool { return &settings.inner.plain }),
		booleanSetting("inner", "plainAnywhere", "Whether plain is allowed beyond loopback, where anyone who reaches the address is trusted.",
			func(settings *Settings) *bool { return &settings.inner.plainAnywhere }),
	}
}

func platformTable() []setting {
	return []setting{
		listSetting("platform", "addresses", "URLs by IP address, such as http://10.0.0.9:7000", "The addresses of the platform's object API, which are tried in turn.", parseBaseURL,
			func(settings *Settings) *[]string { return &settings.platform.addresses }).asRequired(),
		tokenSetting("platform", "token", "The token presented to the platform; set token, tokenFile or neither.",
			func(settings *Settings) **string { return &settings.platform.secret.text }),
		fileSetting("platform", "tokenFile", "The file with the token presented to the platform; set token, tokenFile or neither.",
			func(settings *Settings) *string { return &settings.platform.secret.file }),
		durationSetting("platform", "timeout", interval[time.Duration]{50 * time.Millisecond, time.Minute}, "2s", "The maximum duration of one call to the platform.",
			func(settings *Settings) *time.Duration { return &settings.platform.timeout }),
	}
}

func peersTable() []setting {
	seeds := listSetting("peers", "seeds", "name@dataCentre@IP:port", "VMs to contact before the platform's list has been read.", parsePeer,
		func(settings *Settings) *[]Peer { return &settings.peers })
	seeds.mayBeEmpty = true
	return []setting{seeds}
}

func drainTable() []setting {
	return []setting{
		durationSetting("drain", "balancerDelay", interval[time.Duration]{0, 5 * time.Minute}, "5s", "How long the node reports that it is not ready before a planned stop refuses new requests.",
			func(settings *Settings) *time.Duration { return &settings.drain.balancerDelay }),
		durationSetting("drain", "timeout", interval[time.Duration]{time.Second, 24 * time.Hour}, "30m", "How long a planned stop waits for requests in flight.",
			func(settings *Settings) *time.Duration { return &settings.drain.timeout }),
	}
}

func dispatchTable() []setting {
	return []setting{
		durationSetting("dispatch", "firstByteTimeout", interval[time.Duration]{100 * time.Millisecond, 10 * time.Minute}, "30s", "The maximum time until the first byte of an upstream's response.",
			func(settings *Settings) *time.Duration { return &settings.dispatch.firstByteTimeout }),
		durationSetting("dispatch", "stallTimeout", interval[time.Duration]{100 * time.Millisecond, 10 * time.Minute}, "20s", "The maximum pause within an upstream's response.",
			func(settings *Settings) *time.Duration { return &settings.dispatch.stallTimeout }),
		durationSetting("dispatch", "longestBackoff", interval[time.Duration]{time.Second, time.Hour}, "1h", "The maximum backoff that an upstream may request when it rejects a request.",
			func(settings *Settings) *time.Duration { return &settings.dispatch.longestBackoff }),
		countSetting("dispatch", "maxPerUpstreamConnections", "connections", interval[int]{1, 10_000}, "256", "The maximum number of connections to one upstream.",
			func(settings *Settings) *int { return &settings.dispatch.maxPerUpstreamConnections }),
	}
}

func schedulingTable() []setting {
	return []setting{
		choiceSetting("scheduling", "policy", []Policy{ServiceLevels, StrictTiers, FirstCome}, "How waiting requests are ordered; strictTiers and firstCome are baselines for measurements.",
			func(settings *Settings) *Policy { return &settings.scheduling }),
	}
}

func logTable() []setting {
	level := choiceSetting("log", "level", []Level{Debug, Info, Warning, Failure}, "The minimum severity of the events that are logged.",
		func(settings *Settings) *Level { return &settings.log.level })
	level.defaultValue = string(Info)
	return []setting{
		level,
		choiceSetting("log", "format", []Format{Logfmt, JSON}, "The encoding of log lines.",
			func(settings *Settings) *Format { return &settings.log.format }),
	}
}
