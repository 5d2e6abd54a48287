package settings

import (
	"fmt"
	"net"
	"net/url"
	"strconv"

	"cassiawall.example/cassiawall/pkg/strictyaml"
)

func (s *Settings) validate(d *strictyaml.Document) {
	s.validateListeners(d)
	for i, seed := range s.Seeds {
		checkAddress(d, fmt.Sprintf("seeds[%d]", i), seed)
	}
	checkURL(d, "platform.objects", s.Platform.Objects)
	checkURL(d, "platform.vms", s.Platform.VMs)
	checkURL(d, "platform.weights", s.Platform.Weights)
	s.validateEngines(d)
	s.validatePeerKeys(d)
}

func (s *Settings) validateListeners(d *strictyaml.Document) {
	bound := map[string]string{}
	for _, l := range []struct {
		path     string
		listener Listener
	}{{"callers", s.Callers}, {"peers", s.Peers}, {"operators", s.Operators}} {
		checkAddress(d, l.path+".address", l.listener.Address)
		checkAddress(d, l.path+".advertise", l.listener.Advertise)
		checkTLS(d, l.path+".tls", l.listener.TLS)
		checkNotBoundTwice(d, bound, l.path+".address", l.listener.Address)
	}
	checkAddress(d, "gossip.address", s.Gossip.Address)
	checkAddress(d, "gossip.advertise", s.Gossip.Advertise)
}

// checkNotBoundTwice reports a TCP address that another listener already binds. bound maps addresses
// to the fields that set them. Port 0 is exempt, because it binds a different port each time.
func checkNotBoundTwice(d *strictyaml.Document, bound map[string]string, path, address string) {
	if _, port, err := net.SplitHostPort(address); err != nil || port == "0" {
		return
	}
	if other, ok := bound[address]; ok {
		d.Add(path, fmt.Sprintf("%s is already used by %s", address, other), "give each listener its own port")
		return
	}
	bound[address] = path
}

func checkAddress(d *strictyaml.Document, path, address string) {
	if address == "" {
		return
	}
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		d.Add(path, fmt.Sprintf("%q is not an address", address), `write host:port, such as "10.0.0.7:8080"`)
		return
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		d.Add(path, fmt.Sprintf("%q is not a port", port), "use a port from 0 to 65535")
	}
}

func checkURL(d *strictyaml.Document, path, text string) {
	if text == "" {
		return
	}
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		d.Add(path, fmt.Sprintf("%q is not a URL", text), `write http://host:port or https://host:port`)
	}
}

func checkTLS(d *strictyaml.Document, path string, t TLS) {
	if (t.CertificateFile == "") != (t.KeyFile == "") {
		d.Add(path, "certificate_file and key_file belong together", "set both or neither")
	}
	if t.CAFile != "" && t.CertificateFile == "" {
		d.Add(path+".ca_file", "ca_file has no effect without certificate_file", "set certificate_file and key_file too")
	}
}

func (s *Settings) validateEngines(d *strictyaml.Document) {
	if len(s.Engines.Static) == 0 && s.Platform.VMs == "" {
		d.Add("engines", "no source of engines", "set platform.vms or list engines under engines.static")
	}
	seen := map[string]int{}
	for i, e := range s.Engines.Static {
		path := fmt.Sprintf("engines.static[%d]", i)
		checkAddress(d, path+".address", e.Address)
		if first, ok := seen[e.ID]; ok && e.ID != "" {
			d.Add(path+".id", fmt.Sprintf("engine %q is already listed on line %d", e.ID, first), "give each engine its own id")
			continue
		}
		seen[e.ID] = d.Line(path + ".id")
	}
}

func (s *Settings) validatePeerKeys(d *strictyaml.Document) {
	if len(s.PeerKeys) > maxPeerKeys {
		d.Add("peer_keys", fmt.Sprintf("%d keys are listed", len(s.PeerKeys)), "list one key, or the new and the old one during a rotation")
	}
	for i, k := range s.PeerKeys {
		if (k.File == "") == (k.Env == "") {
			d.Add(fmt.Sprintf("peer_keys[%d]", i), "exactly one of file and env must be set", "set either file or env")
		}
	}
}
