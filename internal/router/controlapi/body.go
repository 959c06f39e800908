package controlapi

import (
	"io"
	"net/http"

	"github.com/pkg/errors"

	"pewterrudder/internal/router/resultcode"
)

// bodyRules hold the size limit of a request body, in bytes, and the result codes for bodies that cannot be read.
type bodyRules struct {
	limit      int64
	tooLarge   resultcode.Code
	unreadable resultcode.Code
}

var (
	configurationBody = bodyRules{maxConfigurationBytes, resultcode.ConfigurationTooLarge, resultcode.ConfigurationUnreadable}
	snapshotBody      = bodyRules{2 * maxConfigurationBytes, resultcode.ConfigurationTooLarge, resultcode.SnapshotDamaged}
	heartbeatBody     = bodyRules{maxHeartbeatBytes, resultcode.CallTooLarge, resultcode.HeartbeatUnreadable}
)

// readBody reads the whole request body. Its error carries one of the result codes of rules.
func readBody(w http.ResponseWriter, r *http.Request, rules bodyRules) ([]byte, *resultcode.Error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, rules.limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, resultcode.New(rules.tooLarge, "over %d bytes", rules.limit)
	}
	if err != nil {
		return nil, resultcode.New(rules.unreadable, "%v", err)
	}
	return body, nil
}
