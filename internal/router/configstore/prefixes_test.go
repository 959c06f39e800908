package configstore

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestPrefixChangeKeepsConfiguration(t *testing.T) {
	base := withNextRevision(State{}, State{}.WithChange([]byte("x"), 3, ChangeID{1}))
	next := withNextRevision(base, base.WithPrefixes([]byte("set")))
	assert.Equal(t, next.Revision, base.Revision+1, "routers must be notified of the change")
	assert.Equal(t, next.Generation, base.Generation)
	assert.DeepEqual(t, next.Document, base.Document)
	assert.DeepEqual(t, next.AppliedChanges, base.AppliedChanges)
	payload, err := encodeState(next)
	assert.NilError(t, err)
	decoded, err := decodeState(payload)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded.Prefixes, []byte("set"))
	assert.Assert(t, decoded.hasSameContent(next))
	changed := withNextRevision(decoded, decoded.WithChange([]byte("y"), 4, ChangeID{2}))
	assert.DeepEqual(t, changed.Prefixes, []byte("set"))
	assert.Equal(t, withNextRevision(next, next.WithPrefixes([]byte("set"))).Revision, next.Revision)
}
