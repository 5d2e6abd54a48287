// Package claimspb holds the generated code of the stored form of claim journals.
package claimspb
