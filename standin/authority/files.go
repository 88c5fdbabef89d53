package authority

import (
	"crypto/ecdsa"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"os"
	"path/filepath"

	"limpetcleat/failer"
)

const (
	// AuthorityFile is the name of the file with the authority's certificate.
	AuthorityFile = "authority.pem"

	certificateBlock    = "CERTIFICATE"
	keyBlock            = "PRIVATE KEY"
	certificateFileMode = 0o644
	keyFileMode         = 0o600
	directoryMode       = 0o700
)

// Certificate is a signed certificate with its private key.
type Certificate struct {
	leaf *x509.Certificate
	key  *ecdsa.PrivateKey
}

// TLSCertificate returns the certificate and its key in the form that crypto/tls uses.
func (certificate *Certificate) TLSCertificate() tls.Certificate {
	return tls.Certificate{Certificate: [][]byte{certificate.leaf.Raw}, PrivateKey: certificate.key}
}

// Write writes the certificate to NAME.pem and its key to NAME.key in the directory, and returns
// their paths. It returns an error if either file exists.
func (certificate *Certificate) Write(directory, name string) (certificatePath, keyPath string, err error) {
	key, err := x509.MarshalPKCS8PrivateKey(certificate.key)
	if err != nil {
		return "", "", writeError(err)
	}
	certificatePath, err = writePEM(directory, name+".pem", certificateBlock, certificate.leaf.Raw, certificateFileMode)
	if err != nil {
		return "", "", err
	}
	keyPath, err = writePEM(directory, name+".key", keyBlock, key, keyFileMode)
	return certificatePath, keyPath, err
}

// Write writes the authority's certificate to AuthorityFile in the directory, and returns its path.
// It returns an error if the file exists.
func (authority *Authority) Write(directory string) (string, error) {
	return writePEM(directory, AuthorityFile, certificateBlock, authority.certificate.Raw, certificateFileMode)
}

// WriteNodes writes the authority's certificate and, for each node, a certificate for
// NodeServerName with its key into the directory, which is created if necessary. It returns the
// paths written, including those before an error in issuing or writing a node's certificate.
func (authority *Authority) WriteNodes(directory string, nodes ...string) ([]string, error) {
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return nil, writeError(err)
	}
	path, err := authority.Write(directory)
	if err != nil {
		return nil, err
	}
	paths := []string{path}
	for _, node := range nodes {
		certificate, err := authority.Issue(node, NodeServerName)
		if err != nil {
			return paths, err
		}
		certificatePath, keyPath, err := certificate.Write(directory, node)
		if err != nil {
			return paths, err
		}
		paths = append(paths, certificatePath, keyPath)
	}
	return paths, nil
}

// writePEM creates a file with one PEM block and returns its path. It returns an error if the name
// contains a directory or the file exists.
func writePEM(directory, name, blockType string, data []byte, mode os.FileMode) (string, error) {
	if name != filepath.Base(name) {
		return "", failer.New("authority.write", WriteFailed, "%q is not a plain file name", name)
	}
	path := filepath.Join(directory, name)
	file, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, mode)
	if err != nil {
		return "", writeError(err)
	}
	err = pem.Encode(file, &pem.Block{Type: blockType, Bytes: data})
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return "", writeError(err)
	}
	return path, nil
}

func writeError(err error) error {
	return failer.New("authority.write", WriteFailed, "%w", err)
}
