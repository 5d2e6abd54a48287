// Package peerpb holds the generated messages and Twirp service between nodes.
// Run "make generate" after a change of peer.proto.
package peerpb
