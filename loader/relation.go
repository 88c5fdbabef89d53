package loader

import (
	"errors"
	"net/netip"
	"net/url"
	"strings"

	"limpetcleat/definer"
)

func joinFaults(faults []error) error { return errors.Join(faults...) }

func (parser *parser) has(section, name string) bool {
	return parser.found[joined(section, name)] != ""
}

// relations checks what settings require of each other.
func (parser *parser) relations() {
	parser.oneOf("operators", true)
	parser.oneOf("platform", false)
	parser.together("callers", "tlsCertificate", "tlsKey")
	parser.together("callers", "tlsKey", "tlsCertificate")
	parser.innerAddress()
	parser.innerSecurity()
	parser.listeners()
}

// oneOf checks that a section has its token in one place only.
func (parser *parser) oneOf(section string, required bool) {
	both := parser.has(section, "token") && parser.has(section, "tokenFile")
	none := !parser.has(section, "token") && !parser.has(section, "tokenFile")
	switch {
	case both:
		parser.rejectValue(section, "tokenFile", "both token and tokenFile", "one of the two")
	case none && required:
		parser.rejectValue(section, "token", "neither token nor tokenFile", "one of the two")
	}
}

// together checks that a setting does not stand without another.
func (parser *parser) together(section, name, other string) {
	if parser.has(section, name) && !parser.has(section, other) {
		parser.rejectValue(section, name, name+" without "+other, "both or neither")
	}
}

// innerAddress sets and checks where peers reach the node.
func (parser *parser) innerAddress() {
	inner := &parser.settings.inner
	if !parser.has("inner", "address") {
		inner.address = inner.listen
	}
	if inner.address.IsValid() && inner.address.Addr().IsUnspecified() {
		parser.rejectValue("inner", "address", inner.address.String(), "an IP address that peers can reach; it is that of listen when missing")
	}
}

// innerSecurity checks that the inner protocol is protected, or plain where
// that is allowed.
func (parser *parser) innerSecurity() {
	inner := &parser.settings.inner
	names := []string{"tlsCertificate", "tlsKey", "tlsAuthority"}
	for _, name := range names {
		switch has := parser.has("inner", name); {
		case has && inner.plain:
			parser.rejectValue("inner", name, name+" beside plain = true", "files for TLS, or plain = true, not both")
		case !has && !inner.plain:
			parser.rejectValue("inner", name, "no such setting", "the path of a file, unless plain = true")
		}
	}
	if inner.listen.IsValid() && inner.Exposed() && !inner.plainAnywhere {
		parser.rejectValue("inner", "plain", "plain = true beyond loopback", "plain = true on a loopback address, or plainAnywhere = true as well")
	}
}

// listeners checks that no two listeners have the same address.
func (parser *parser) listeners() {
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
			parser.rejectValue(listener.section, "listen", listener.address.String()+", the address of "+other+".listen", "an address of its own")
		}
		taken[listener.address] = listener.section
	}
}

// parsePeer reads "name@dataCentre@IP:port".
func parsePeer(text string) (Peer, bool) {
	parts := strings.Split(text, "@")
	if len(parts) != 3 || !isName(parts[0]) || !isName(parts[1]) {
		return Peer{}, false
	}
	address, err := netip.ParseAddrPort(parts[2])
	peer := Peer{name: definer.VM(parts[0]), dataCentre: definer.DataCentre(parts[1]), address: address}
	return peer, err == nil && address.Port() != 0 && !address.Addr().IsUnspecified()
}

// parseBase reads the base URL of a platform address.
func parseBase(text string) (string, bool) {
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
