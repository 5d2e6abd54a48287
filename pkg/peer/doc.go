// Package peer carries calls and datagrams between the nodes of a fleet. Calls use Twirp over
// HTTP and datagrams use UDP; both are authenticated with HMAC-SHA256 and protected against
// replay. The package decides nothing about membership or ownership.
package peer
