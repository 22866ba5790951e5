// Package fake holds small stand-ins for the upstreams of the fleet: an engine
// that batches continuously, caches prefixes and resumes streams, and a plain
// service that counts its runs. Tests, measurements and the first run of the
// README use them.
package fake
