package loader

import (
	"errors"
	"net/netip"
	"net/url"
	"strings"

	"limpetcleat/definer"
)

func joinFaults(faults []error) error { return errors.Join(faults...) }

// isSet reports whether the file contains a setting with a non-empty value.
func (parser *parser) isSet(section, name string) bool {
	return parser.texts[qualifiedName(section, name)] != ""
}

// checkRelations checks the constraints between settings.
func (parser *parser) checkRelations() {
	parser.checkToken("operators", true)
	parser.checkToken("platform", false)
	parser.checkPair("callers", "tlsCertificate", "tlsKey")
	parser.checkPair("callers", "tlsKey", "tlsCertificate")
	parser.bindInnerAddress()
	parser.checkInnerSecurity()
	parser.checkListeners()
}

// checkToken checks that a section has at most one of token and tokenFile, and exactly one if
// required.
func (parser *parser) checkToken(section string, required bool) {
	both := parser.isSet(section, "token") && parser.isSet(section, "tokenFile")
	none := !parser.isSet(section, "token") && !parser.isSet(section, "tokenFile")
	switch {
	case both:
		parser.addSettingFault(section, "tokenFile", "both token and tokenFile", "either token or tokenFile")
	case none && required:
		parser.addSettingFault(section, "token", "neither token nor tokenFile", "either token or tokenFile")
	}
}

// checkPair rejects a setting that is set without the other one.
func (parser *parser) checkPair(section, name, other string) {
	if parser.isSet(section, name) && !parser.isSet(section, other) {
		parser.addSettingFault(section, name, name+" without "+other, "both or neither")
	}
}

// bindInnerAddress sets inner.address to the listen address by default and rejects an unspecified
// address.
func (parser *parser) bindInnerAddress() {
	inner := &parser.settings.inner
	if !parser.isSet("inner", "address") {
		inner.address = inner.listen
	}
	if inner.address.IsValid() && inner.address.Addr().IsUnspecified() {
		parser.addSettingFault("inner", "address", inner.address.String(), "an IP address that peers can reach; the default is the value of listen")
	}
}

// checkInnerSecurity checks that the inner protocol has either all TLS files or plain = true, and
// that plain is limited to loopback unless plainAnywhere is set.
func (parser *parser) checkInnerSecurity() {
	inner := &parser.settings.inner
	names := []string{"tlsCertificate", "tlsKey", "tlsAuthority"}
	for _, name := range names {
		switch has := parser.isSet("inner", name); {
		case has && inner.plain:
			parser.addSettingFault("inner", name, name+" beside plain = true", "either the TLS files or plain = true")
		case !has && !inner.plain:
			parser.addSettingFault("inner", name, "no such setting", "the path of a file, unless plain = true")
		}
	}
	if inner.listen.IsValid() && inner.Exposed() && !inner.plainAnywhere {
		parser.addSettingFault("inner", "plain", "plain = true beyond loopback", "plain = true on a loopback address, or plainAnywhere = true as well")
	}
}

// checkListeners checks that no two listeners have the same address; port 0 is exempt.
func (parser *parser) checkListeners() {
	taken := make(map[netip.AddrPort]string)
	listeners := []struct {
		section string
		address netip.AddrPort
	}{
		{"callers", parser.settings.callers.listen},
		{"operators", parser.settings.operators.listen},
		{"inner", parser.settings.inner.listen},
	}
	for _, listener := range listeners {
		if !listener.address.IsValid() || listener.address.Port() == 0 {
			continue
		}
		if other, ok := taken[listener.address]; ok {
			parser.addSettingFault(listener.section, "listen", listener.address.String()+", the address of "+other+".listen", "an address that no other listener has")
		}
		taken[listener.address] = listener.section
	}
}

// parsePeer parses "name@dataCentre@IP:port".
func parsePeer(text string) (Peer, bool) {
	parts := strings.Split(text, "@")
	if len(parts) != 3 || !isValidName(parts[0]) || !isValidName(parts[1]) {
		return Peer{}, false
	}
	address, err := netip.ParseAddrPort(parts[2])
	peer := Peer{name: definer.VM(parts[0]), dataCentre: definer.DataCentre(parts[1]), address: address}
	return peer, err == nil && address.Port() != 0 && !address.Addr().IsUnspecified()
}

// parseBaseURL parses the base URL of a platform address, whose host is an IP address.
func parseBaseURL(text string) (string, bool) {
	base, err := url.Parse(text)
	if err != nil || base.Scheme != "http" && base.Scheme != "https" {
		return "", false
	}
	if base.User != nil || base.RawQuery != "" || base.Fragment != "" || strings.Trim(base.Path, "/") != "" {
		return "", false
	}
	_, err = netip.ParseAddr(base.Hostname())
	return base.Scheme + "://" + base.Host, err == nil
}
