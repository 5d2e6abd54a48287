// Package peer carries calls and datagrams between the nodes of a fleet. Calls use Twirp over
// HTTP and datagrams use UDP; both are authenticated with HMAC-SHA256 and protected against
// replay. The package also converts between messages and entries of the blackboard, the node's
// in-memory view of the fleet. It makes no decisions about membership or about which node owns an
// engine.
package peer
