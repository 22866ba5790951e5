package demo

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/conf"
)

// This file lays out a fleet on free loopback addresses.

// mostVoters is the most voters of a fleet.
const mostVoters = 5

// seat is the place of one daemon.
type seat struct {
	name   string
	domain poplar.Domain
	number int // invariant: from 0 in each domain
	listen conf.Listen
}

// name returns the name of the first daemon in domain.
func name(domain poplar.Domain) string { return string(domain) + "-1" }

// Layout writes the settings of a fleet into dir and returns them, with the
// given number of daemons in each domain. The first two of a domain hold its
// ledger; they also vote, the first of every domain before the second, as far as
// the number of voters is odd and at most five. Data folders lie in dir.
func Layout(dir string, domains []poplar.Domain, each int) ([]*conf.Settings, error) {
	seats, err := seatAll(domains, each)
	if err != nil {
		return nil, err
	}
	shared := sharedText(seats)
	all := make([]*conf.Settings, 0, len(seats))
	for _, s := range seats {
		path := filepath.Join(dir, s.name+".jsonc")
		if err := os.WriteFile(path, []byte(s.text(shared)), 0o600); err != nil {
			return nil, fmt.Errorf("write settings: %w", err)
		}
		settings, err := conf.Load(path)
		if err != nil {
			return nil, err
		}
		all = append(all, settings)
	}
	return all, nil
}

// seatAll gives every daemon free addresses.
func seatAll(domains []poplar.Domain, each int) ([]seat, error) {
	var seats []seat
	for _, domain := range domains {
		for number := range each {
			var free [4]string
			for i := range free {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					return nil, fmt.Errorf("find an address: %w", err)
				}
				defer l.Close()
				free[i] = l.Addr().String()
			}
			seats = append(seats, seat{
				name: fmt.Sprintf("%s-%d", domain, number+1), domain: domain, number: number,
				listen: conf.Listen{Callers: free[0], Upstreams: free[1], Peers: free[2], Operators: free[3]},
			})
		}
	}
	return seats, nil
}

// sharedText returns the settings that all daemons have in common.
func sharedText(seats []seat) string {
	var peers, voters, seconds, ledgers []string
	holders := make(map[poplar.Domain][]string)
	var order []poplar.Domain
	for _, s := range seats {
		vote := fmt.Sprintf("%q: %q", s.name, s.listen.Peers)
		switch s.number {
		case 0:
			order = append(order, s.domain)
			peers = append(peers, fmt.Sprintf("%q", s.listen.Peers))
			voters = append(voters, vote)
		case 1:
			seconds = append(seconds, vote)
		default:
			continue
		}
		holders[s.domain] = append(holders[s.domain], fmt.Sprintf("%q", s.name))
	}
	for _, domain := range order {
		ledgers = append(ledgers, fmt.Sprintf("%q: [%s]", domain, strings.Join(holders[domain], ", ")))
	}
	voters = append(voters, seconds...)
	voters = voters[:min(len(voters), mostVoters)]
	if len(voters)%2 == 0 {
		voters = voters[:len(voters)-1]
	}
	return fmt.Sprintf(`"peers": [%s], "voters": {%s}, "ledgers": {%s}`,
		strings.Join(peers, ", "), strings.Join(voters, ", "), strings.Join(ledgers, ", "))
}

// text returns the settings of one daemon.
func (s seat) text(shared string) string {
	data := ""
	if s.number < 2 {
		data = fmt.Sprintf(`"data": "data-%s",`, s.name)
	}
	return fmt.Sprintf(`{
  "name": %q, "domain": %q, %s
  "listen": {"callers": %q, "upstreams": %q, "peers": %q, "operators": %q},
  %s,
  "drain": "10s",
}
`, s.name, s.domain, data, s.listen.Callers, s.listen.Upstreams, s.listen.Peers, s.listen.Operators, shared)
}
