package proxy

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"
)

// selfSigned returns a certificate for tests.
func selfSigned(t *testing.T) tls.Certificate {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}

// Guards against a login over TLS that fails or falls back to cleartext.
func TestCallersConnectWithTLS(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, nil)
	v := f.vm("a")
	v.server.cfg.TLS = &tls.Config{Certificates: []tls.Certificate{selfSigned(t)}, MinVersion: tls.VersionTLS12}
	cfg, err := pgx.ParseConfig("postgres://" + testWorkspace + ":" + testKey + "@" + v.addr + "/ledger?sslmode=require")
	is.NoErr(err)
	ctx := context.Background()
	conn, err := pgx.ConnectConfig(ctx, cfg)
	is.NoErr(err)
	defer conn.Close(ctx)
	_, encrypted := conn.PgConn().Conn().(*tls.Conn)
	is.True(encrypted)
	exec(t, conn, "PUT a 1")
	is.Equal(get(t, conn, "a"), "1")
}

// Guards against a cancel request that is lost, and against a link that is reused after one.
func TestCancelEndsTheRunningStatement(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, nil)
	v := f.vm("a")
	conn := f.connect(v, "ledger", nil)
	exec(t, conn, "PUT a 1")
	ctx := context.Background()
	go func() {
		time.Sleep(100 * time.Millisecond)
		_ = conn.PgConn().CancelRequest(ctx)
	}()
	start := time.Now()
	_, err := conn.Exec(ctx, "SLEEP 3000")
	is.True(err != nil)
	is.True(time.Since(start) < 2*time.Second)
	is.Equal(get(t, conn, "a"), "1")
}
