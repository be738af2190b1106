package keys

import "fmt"

// IncompleteError says that a file is missing from a set of files.
type IncompleteError struct {
	Setting string
}

// Error names the setting.
func (e *IncompleteError) Error() string {
	return fmt.Sprintf("setting %q is required with the other files of TLS", e.Setting)
}

// FileError says that a file cannot be used.
type FileError struct {
	File  string
	Cause error
}

// Error names the file and the cause.
func (e *FileError) Error() string { return fmt.Sprintf("file %q cannot be used: %v", e.File, e.Cause) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// NoCertificateError says that nothing in a file, or on a connection, is a certificate.
type NoCertificateError struct{}

// Error says what is missing.
func (e *NoCertificateError) Error() string { return "there is no certificate" }

// IdentityError says that a certificate does not name one instance.
type IdentityError struct {
	URIs []string
}

// Error names the URIs of the certificate.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("certificate with the URIs %q does not name one instance", e.URIs)
}

// NameError says that a peer is another instance than the one that was asked for.
type NameError struct {
	Want string
	Got  Identity
}

// Error names both instances.
func (e *NameError) Error() string {
	return fmt.Sprintf("peer is instance %q of region %q, not %q", e.Got.Name, e.Got.Region, e.Want)
}

// ClaimError says that a peer claims to be an instance that its certificate does not name.
type ClaimError struct {
	Name   string
	Region string
	Got    Identity
}

// Error names the claimed and the proven identity.
func (e *ClaimError) Error() string {
	return fmt.Sprintf("peer claims to be instance %q of region %q; its certificate names %q of region %q", e.Name, e.Region, e.Got.Name, e.Got.Region)
}
