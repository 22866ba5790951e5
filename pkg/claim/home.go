package claim

import (
	"github.com/cespare/xxhash/v2"

	"poplarbend.example/poplar"
)

// This file chooses the home domain of a request.

// separator separates the parts of a hashed name. It cannot occur in a header
// value, so two different pairs never give the same bytes.
const separator = "\x00"

// Fingerprint returns the 64-bit hash of a request's workspace and key.
func Fingerprint(request poplar.Request) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(string(request.Workspace()))
	_, _ = digest.WriteString(separator)
	_, _ = digest.WriteString(string(request.Key()))
	return digest.Sum64()
}

// Home returns the home domain of request, which is the domain with the highest
// score (rendezvous hashing), or "" if domains is empty. When a domain is added
// or removed, only the requests that have this domain as their new or old home
// are reassigned.
func Home(request poplar.Request, domains []poplar.Domain) poplar.Domain {
	var home poplar.Domain
	var best uint64
	for _, domain := range domains {
		score := domainScore(request, domain)
		if home == "" || score > best || score == best && domain < home {
			home, best = domain, score
		}
	}
	return home
}

func domainScore(request poplar.Request, domain poplar.Domain) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(Fingerprint(request))
	_, _ = digest.WriteString(string(domain))
	return digest.Sum64()
}
