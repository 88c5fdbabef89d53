package loader

import (
	"net/netip"
	"slices"
	"time"

	"limpetcleat/definer"
)

// table returns every setting, section by section.
func table() []setting {
	return slices.Concat(
		nodeTable(), callersTable(), operatorsTable(), innerTable(), platformTable(),
		peersTable(), drainTable(), dispatchTable(), schedulingTable(), logTable(),
	)
}

// sectionNames returns the sections of a table, each once, in its order.
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
			func(settings *Settings) *definer.VM { return &settings.node.name }).needed(),
		nameSetting("node", "dataCentre", "The data centre in which this VM runs.",
			func(settings *Settings) *definer.DataCentre { return &settings.node.dataCentre }).needed(),
	}
}

func callersTable() []setting {
	return []setting{
		addressSetting("callers", "listen", "Where callers are served.",
			func(settings *Settings) *netip.AddrPort { return &settings.callers.listen }).needed(),
		sizeSetting("callers", "maxBodyBytes", span[int]{kibibyte, 64 * mebibyte}, "4MiB", "The largest body of a request.",
			func(settings *Settings) *int { return &settings.callers.maxBodyBytes }),
		sizeSetting("callers", "maxHeaderBytes", span[int]{kibibyte, mebibyte}, "32KiB", "The largest headers of a request.",
			func(settings *Settings) *int { return &settings.callers.maxHeaderBytes }),
		durationSetting("callers", "readHeaderTimeout", span[time.Duration]{100 * time.Millisecond, time.Minute}, "5s", "The time in which the headers must come.",
			func(settings *Settings) *time.Duration { return &settings.callers.readHeaderTimeout }),
		durationSetting("callers", "bodyTimeout", span[time.Duration]{100 * time.Millisecond, 10 * time.Minute}, "30s", "The time in which the body must come.",
			func(settings *Settings) *time.Duration { return &settings.callers.bodyTimeout }),
		durationSetting("callers", "idleTimeout", span[time.Duration]{time.Second, time.Hour}, "2m", "How long an unused connection stays open.",
			func(settings *Settings) *time.Duration { return &settings.callers.idleTimeout }),
		countSetting("callers", "maxConnections", "connections", span[int]{1, 100_000}, "4096", "The most connections that are open at once.",
			func(settings *Settings) *int { return &settings.callers.maxConnections }),
		fileSetting("callers", "tlsCertificate", "The certificate shown to callers; without one they are served plain HTTP.",
			func(settings *Settings) *string { return &settings.callers.tlsCertificate }),
		fileSetting("callers", "tlsKey", "The private key of the certificate shown to callers.",
			func(settings *Settings) *string { return &settings.callers.tlsKey }),
	}
}

func operatorsTable() []setting {
	return []setting{
		addressSetting("operators", "listen", "Where operators and the metrics scraper are served.",
			func(settings *Settings) *netip.AddrPort { return &settings.operators.listen }).needed(),
		tokenSetting("operators", "token", "The token that operators present; or else tokenFile.",
			func(settings *Settings) **string { return &settings.operators.secret.text }),
		fileSetting("operators", "tokenFile", "The file that holds the operators' token; or else token.",
			func(settings *Settings) *string { return &settings.operators.secret.file }),
	}
}

func innerTable() []setting {
	return []setting{
		addressSetting("inner", "listen", "Where the other nodes are served.",
			func(settings *Settings) *netip.AddrPort { return &settings.inner.listen }).needed(),
		addressSetting("inner", "address", "Where the other nodes reach this one; that of listen when missing.",
			func(settings *Settings) *netip.AddrPort { return &settings.inner.address }),
		fileSetting("inner", "tlsCertificate", "This node's certificate towards the other nodes.",
			func(settings *Settings) *string { return &settings.inner.tlsCertificate }),
		fileSetting("inner", "tlsKey", "The private key of this node's certificate.",
			func(settings *Settings) *string { return &settings.inner.tlsKey }),
		fileSetting("inner", "tlsAuthority", "The authority that has signed the certificates of all nodes.",
			func(settings *Settings) *string { return &settings.inner.tlsAuthority }),
		booleanSetting("inner", "plain", "Whether the nodes talk without TLS; refused beyond loopback.",
			func(settings *Settings) *bool { return &settings.inner.plain }),
		booleanSetting("inner", "plainAnywhere", "Whether plain is allowed beyond loopback, where anyone who reaches the address is believed.",
			func(settings *Settings) *bool { return &settings.inner.plainAnywhere }),
	}
}

func platformTable() []setting {
	return []setting{
		listSetting("platform", "addresses", "URLs by IP address, such as http://10.0.0.9:7000", "Where the platform's object API is reached; the addresses are tried in turn.", parseBase,
			func(settings *Settings) *[]string { return &settings.platform.addresses }).needed(),
		tokenSetting("platform", "token", "The token presented to the platform; or else tokenFile, or none.",
			func(settings *Settings) **string { return &settings.platform.secret.text }),
		fileSetting("platform", "tokenFile", "The file that holds the platform's token.",
			func(settings *Settings) *string { return &settings.platform.secret.file }),
		durationSetting("platform", "timeout", span[time.Duration]{50 * time.Millisecond, time.Minute}, "2s", "The time in which a call to the platform must be answered.",
			func(settings *Settings) *time.Duration { return &settings.platform.timeout }),
	}
}

func peersTable() []setting {
	seeds := listSetting("peers", "seeds", "name@dataCentre@IP:port", "VMs known before the platform's list can be read.", parsePeer,
		func(settings *Settings) *[]Peer { return &settings.peers })
	seeds.mayBeEmpty = true
	return []setting{seeds}
}

func drainTable() []setting {
	return []setting{
		durationSetting("drain", "balancerDelay", span[time.Duration]{0, 5 * time.Minute}, "5s", "How long readiness fails before a planned stop takes no more requests.",
			func(settings *Settings) *time.Duration { return &settings.drain.balancerDelay }),
		durationSetting("drain", "timeout", span[time.Duration]{time.Second, 24 * time.Hour}, "30m", "How long a planned stop waits for requests in flight.",
			func(settings *Settings) *time.Duration { return &settings.drain.timeout }),
	}
}

func dispatchTable() []setting {
	return []setting{
		durationSetting("dispatch", "firstByteTimeout", span[time.Duration]{100 * time.Millisecond, 10 * time.Minute}, "30s", "The time in which an upstream must begin its answer.",
			func(settings *Settings) *time.Duration { return &settings.dispatch.firstByteTimeout }),
		durationSetting("dispatch", "stallTimeout", span[time.Duration]{100 * time.Millisecond, 10 * time.Minute}, "20s", "The longest pause within an upstream's answer.",
			func(settings *Settings) *time.Duration { return &settings.dispatch.stallTimeout }),
		durationSetting("dispatch", "longestBackoff", span[time.Duration]{time.Second, time.Hour}, "1h", "The longest time for which an upstream that turns requests away may ask not to be sent any.",
			func(settings *Settings) *time.Duration { return &settings.dispatch.longestBackoff }),
		countSetting("dispatch", "maxPerUpstreamConnections", "connections", span[int]{1, 10_000}, "256", "The most connections to one upstream at once.",
			func(settings *Settings) *int { return &settings.dispatch.maxPerUpstreamConnections }),
	}
}

func schedulingTable() []setting {
	return []setting{
		choiceSetting("scheduling", "policy", []Policy{ServiceLevels, StrictTiers, FirstCome}, "How waiting requests are ordered; the last two are base lines for measurements.",
			func(settings *Settings) *Policy { return &settings.scheduling }),
	}
}

func logTable() []setting {
	level := choiceSetting("log", "level", []Level{Debug, Info, Warning, Failure}, "The least severity that is logged.",
		func(settings *Settings) *Level { return &settings.log.level })
	level.fallback = string(Info)
	return []setting{
		level,
		choiceSetting("log", "format", []Format{Logfmt, JSON}, "The form of a log line.",
			func(settings *Settings) *Format { return &settings.log.format }),
	}
}
