// Package claimspb contains the generated protobuf types in which claim journals are stored.
package claimspb
