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
	// AuthorityFile is the name of the file that holds the authority's certificate.
	AuthorityFile = "authority.pem"

	certificateBlock = "CERTIFICATE"
	keyBlock         = "PRIVATE KEY"
	publicMode       = 0o644
	secretMode       = 0o600
	directoryMode    = 0o700
)

// Certificate is a signed certificate with its key.
type Certificate struct {
	signed *x509.Certificate
	key    *ecdsa.PrivateKey
}

// Pair returns the certificate as package tls takes it.
func (certificate *Certificate) Pair() tls.Certificate {
	return tls.Certificate{Certificate: [][]byte{certificate.signed.Raw}, PrivateKey: certificate.key}
}

// Write writes NAME.pem and NAME.key into the directory and returns their paths. A file that is
// there already is an error.
func (certificate *Certificate) Write(directory, name string) (certificatePath, keyPath string, err error) {
	key, err := x509.MarshalPKCS8PrivateKey(certificate.key)
	if err != nil {
		return "", "", unwritten(err)
	}
	certificatePath, err = write(directory, name+".pem", certificateBlock, certificate.signed.Raw, publicMode)
	if err != nil {
		return "", "", err
	}
	keyPath, err = write(directory, name+".key", keyBlock, key, secretMode)
	return certificatePath, keyPath, err
}

// Write writes the authority's certificate into the directory and returns its path. A file that is
// there already is an error.
func (authority *Authority) Write(directory string) (string, error) {
	return write(directory, AuthorityFile, certificateBlock, authority.certificate.Raw, publicMode)
}

// WriteNodes writes the authority's certificate, and for each node a certificate under the name that
// all nodes share with its key, into the directory, which is made if need be. It returns the paths.
func (authority *Authority) WriteNodes(directory string, nodes ...string) ([]string, error) {
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return nil, unwritten(err)
	}
	path, err := authority.Write(directory)
	if err != nil {
		return nil, err
	}
	paths := []string{path}
	for _, node := range nodes {
		certificate, err := authority.Issue(node, InnerName)
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

func write(directory, name, kind string, data []byte, mode os.FileMode) (string, error) {
	if name != filepath.Base(name) {
		return "", failer.New("authority.write", Unwritten, "%q is no plain file name", name)
	}
	path := filepath.Join(directory, name)
	file, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, mode)
	if err != nil {
		return "", unwritten(err)
	}
	err = pem.Encode(file, &pem.Block{Type: kind, Bytes: data})
	if closed := file.Close(); err == nil {
		err = closed
	}
	if err != nil {
		return "", unwritten(err)
	}
	return path, nil
}

func unwritten(err error) error {
	return failer.New("authority.write", Unwritten, "%w", err)
}
