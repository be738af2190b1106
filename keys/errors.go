package keys

import "fmt"

// IncompleteError reports that a file is missing from the set of TLS files.
type IncompleteError struct {
	Setting string
}

// Error returns the setting of the missing file.
func (e *IncompleteError) Error() string {
	return fmt.Sprintf("setting %q is required if other TLS files are set", e.Setting)
}

// FileError reports a file that cannot be used.
type FileError struct {
	File  string
	Cause error
}

// Error returns the file and the cause.
func (e *FileError) Error() string { return fmt.Sprintf("file %q cannot be used: %v", e.File, e.Cause) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// NoCertificateError reports that a file or a connection holds no certificate.
type NoCertificateError struct{}

// Error says what is missing.
func (e *NoCertificateError) Error() string { return "no certificate found" }

// IdentityError reports a certificate that does not name exactly one instance.
type IdentityError struct {
	URIs []string
}

// Error returns the URIs of the certificate.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("certificate with the URIs %q does not name one instance", e.URIs)
}

// NameError reports that a peer is not the expected instance.
type NameError struct {
	Want string
	Got  Identity
}

// Error returns both instances.
func (e *NameError) Error() string {
	return fmt.Sprintf("peer is instance %q of region %q, not %q", e.Got.Name, e.Got.Region, e.Want)
}

// ClaimError reports that a peer claims to be an instance that its certificate does not name.
type ClaimError struct {
	Name   string
	Region string
	Got    Identity
}

// Error returns the claimed identity and that of the certificate.
func (e *ClaimError) Error() string {
	return fmt.Sprintf("peer claims to be instance %q of region %q; its certificate names %q of region %q", e.Name, e.Region, e.Got.Name, e.Got.Region)
}
