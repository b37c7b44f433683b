package link

import (
	"errors"
	"fmt"
	"net"
	"strconv"

	"github.com/jackc/pgx/v5/pgconn"

	"siskinrouter/internal/verdict"
)

func splitAddress(address string) (host string, port uint16, err error) {
	host, text, err := net.SplitHostPort(address)
	if err != nil {
		return "", 0, fmt.Errorf("target address %q: %w", address, err)
	}
	n, err := strconv.ParseUint(text, 10, 16)
	if err != nil {
		return "", 0, fmt.Errorf("target address %q: port: %w", address, err)
	}
	return host, uint16(n), nil
}

// dialState returns the SQLSTATE for a failed connection attempt.
func dialState(err error) string {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) && pgErr.Code == verdict.StateTooManyConnections {
		return verdict.StateTooManyConnections
	}
	return verdict.StateConnectionFailure
}
