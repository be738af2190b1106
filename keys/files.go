package keys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
)

// Files names the PEM files of an instance; without any, connections use no TLS.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// check returns *IncompleteError if a file is given without another one that it needs.
func (f Files) check() error {
	switch {
	case f.Certificate == "" && f.Key == "":
		return nil
	case f.Certificate == "":
		return &IncompleteError{Setting: "tlsCertificateFile"}
	case f.Key == "":
		return &IncompleteError{Setting: "tlsKeyFile"}
	case f.Authority == "":
		return &IncompleteError{Setting: "tlsAuthorityFile"}
	}
	return nil
}

// fileContents holds the contents of the three files, in the order of Files.
type fileContents [3]string

// read returns the contents of the named files; one that cannot be read returns *FileError.
func (f Files) read() (fileContents, error) {
	var c fileContents
	for i, name := range []string{f.Certificate, f.Key, f.Authority} {
		if name == "" {
			continue
		}
		b, err := os.ReadFile(name)
		if err != nil {
			return c, &FileError{File: name, Cause: err}
		}
		c[i] = string(b)
	}
	return c, nil
}

// parsedFiles holds the certificate and the authority that the files contain.
type parsedFiles struct {
	certificate *tls.Certificate
	authority   *x509.CertPool
}

// parse returns the certificate and the authority in the contents; invalid contents return *FileError.
func (f Files) parse(c fileContents) (*parsedFiles, error) {
	m := &parsedFiles{}
	if f.Certificate != "" {
		pair, err := tls.X509KeyPair([]byte(c[0]), []byte(c[1]))
		if err != nil {
			return nil, &FileError{File: f.Certificate, Cause: err}
		}
		m.certificate = &pair
	}
	if f.Authority != "" {
		m.authority = x509.NewCertPool()
		if !m.authority.AppendCertsFromPEM([]byte(c[2])) {
			return nil, &FileError{File: f.Authority, Cause: &NoCertificateError{}}
		}
	}
	return m, nil
}
