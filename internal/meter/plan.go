package meter

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"

	"poplarbend.example/poplar/internal/conf"
)

// This file holds the settings of fleets on loopback addresses.

// Layout describes a fleet. Domains are named a, b, c and so on, their daemons
// a-1, a-2 and so on.
type Layout struct {
	// Domains and Each are the failure domains and the daemons in each. The
	// first two of a domain hold its ledger, and the first one of each domain
	// votes, without the last domain when their number is even.
	Domains, Each int
	// Drain bounds the wait of a planned stop, such as "10s".
	Drain string
	// Log is the lowest level that is logged.
	Log string
}

// ledgerHolders bounds the daemons of a domain that may hold its ledger.
const ledgerHolders = 2

// Plan writes the settings of a fleet into dir, as NAME.json with data folders
// beside them, and returns them in the order of the names.
func Plan(dir string, l Layout) ([]*conf.Settings, error) {
	ports, err := free(4 * l.Domains * l.Each)
	if err != nil {
		return nil, err
	}
	voters, ledgers := map[string]string{}, map[string][]string{}
	for d := range l.Domains {
		domain := string(rune('a' + d))
		for i := range min(l.Each, ledgerHolders) {
			ledgers[domain] = append(ledgers[domain], daemonName(d, i))
		}
		first := ports[4*d*l.Each]
		if d < l.Domains-1+l.Domains%2 {
			voters[daemonName(d, 0)] = first
		}
	}
	var all []*conf.Settings
	for n := range l.Domains * l.Each {
		d, i := n/l.Each, n%l.Each
		listen := ports[4*n : 4*n+4]
		set := map[string]any{
			"name": daemonName(d, i), "domain": string(rune('a' + d)), "voters": voters, "ledgers": ledgers,
			"peers": seeds(ports, l, d),
			"listen": map[string]string{
				"peers": listen[0], "callers": listen[1], "upstreams": listen[2], "operators": listen[3],
			},
		}
		if l.Log != "" {
			set["log"] = l.Log
		}
		if l.Drain != "" {
			set["drain"] = l.Drain
		}
		if i < ledgerHolders {
			set["data"] = "data-" + daemonName(d, i)
		}
		s, err := writeSettings(dir, daemonName(d, i), set)
		if err != nil {
			return nil, err
		}
		all = append(all, s)
	}
	return all, nil
}

// seeds returns the addresses that a daemon of domain d starts from: the ledger
// of its domain and the first daemon of the others.
func seeds(ports []string, l Layout, d int) []string {
	var all []string
	for other := range l.Domains {
		first := 4 * other * l.Each
		all = append(all, ports[first])
		if other == d && l.Each > 1 {
			all = append(all, ports[first+4])
		}
	}
	return all
}

func daemonName(domain, i int) string { return fmt.Sprintf("%c-%d", 'a'+domain, i+1) }

func writeSettings(dir, name string, set map[string]any) (*conf.Settings, error) {
	text, err := json.Marshal(set)
	if err != nil {
		return nil, fmt.Errorf("settings of %s: %w", name, err)
	}
	path := filepath.Join(dir, name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, fmt.Errorf("settings of %s: %w", name, err)
	}
	return conf.Load(path)
}

// The ports are below those that the system hands to outgoing connections, so
// that the port of a stopped daemon stays free.
const (
	firstPort  = 10000
	lastPort   = 32000
	portStride = 257
)

// probed counts the ports that this process has looked at, so that no two fleets
// in it get the same.
var probed atomic.Int64

// free returns addresses whose ports are free for TCP and UDP.
func free(n int) ([]string, error) {
	var found []string
	start := os.Getpid() * portStride
	for range lastPort - firstPort {
		if len(found) == n {
			return found, nil
		}
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+(start+int(probed.Add(1)))%(lastPort-firstPort))
		if isFree(address) {
			found = append(found, address)
		}
	}
	return nil, errors.New("find addresses: too few ports are free")
}

func isFree(address string) bool {
	stream, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer stream.Close()
	packets, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	packets.Close()
	return true
}
