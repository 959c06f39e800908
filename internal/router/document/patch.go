package document

import (
	"encoding/json"
	"maps"

	"pewterrudder/internal/router/resultcode"
)

// Names of the JSON fields that only a patch has.
const (
	fieldUpsert = "upsert"
	fieldRemove = "remove"
)

// Patch upserts and removes named items of a configuration and changes its limits.
type Patch struct {
	Generation int64

	routes   listEdit[Route, *Route]
	backends listEdit[Backend, *Backend]
	tenants  listEdit[Tenant, *Tenant]
	unknown  map[string]listEdit[unknownItem, *unknownItem]
	limits   map[string]json.RawMessage
}

// unknownItem is an item of a top-level list that the router does not know. Only its name is decoded.
type unknownItem struct {
	Name string `json:"name" validate:"required"`

	original
}

func (u *unknownItem) itemName() string { return u.Name }

// ParsePatch decodes a patch and validates what does not depend on its base. The error is a *resultcode.Error.
func ParsePatch(body []byte) (*Patch, error) {
	fields, err := decodeObject(body)
	if err != nil {
		return nil, err
	}
	patch := &Patch{unknown: make(map[string]listEdit[unknownItem, *unknownItem])}
	if patch.Generation, err = decodeGeneration(fields[fieldGeneration]); err != nil {
		return nil, err
	}
	upsert, remove, err := decodeUpsertAndRemove(fields)
	if err != nil {
		return nil, err
	}
	if err := patch.decodeLists(upsert, remove); err != nil {
		return nil, err
	}
	if err := patch.decodeLimits(fields[fieldLimits], upsert[fieldLimits]); err != nil {
		return nil, err
	}
	return patch, nil
}

func decodeUpsertAndRemove(fields map[string]json.RawMessage) (upsert map[string]json.RawMessage, remove map[string][]string, err error) {
	if err := decodeField(fieldUpsert, fields[fieldUpsert], &upsert); err != nil {
		return nil, nil, err
	}
	if err := decodeField(fieldRemove, fields[fieldRemove], &remove); err != nil {
		return nil, nil, err
	}
	if len(remove[fieldLimits]) > 0 {
		return nil, nil, resultcode.New(resultcode.FieldInvalid, "limits have no items to remove")
	}
	return upsert, remove, nil
}

// decodeField decodes one field of a patch. An absent field leaves the target unchanged.
func decodeField(name string, raw json.RawMessage, into any) error {
	if len(raw) == 0 {
		return nil
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return resultcode.Wrap(err, resultcode.ConfigurationUnreadable, "%s", name)
	}
	return nil
}

func (p *Patch) decodeLists(upsert map[string]json.RawMessage, remove map[string][]string) error {
	var err error
	if p.routes, err = decodeListEdit[Route](fieldRoutes, upsert, remove); err != nil {
		return err
	}
	if p.backends, err = decodeListEdit[Backend](fieldBackends, upsert, remove); err != nil {
		return err
	}
	if p.tenants, err = decodeListEdit[Tenant](fieldTenants, upsert, remove); err != nil {
		return err
	}
	for name := range unknownLists(upsert, remove) {
		if p.unknown[name], err = decodeListEdit[unknownItem](name, upsert, remove); err != nil {
			return err
		}
	}
	return nil
}

// unknownLists returns the names of the lists in the patch that the router does not know.
func unknownLists(upsert map[string]json.RawMessage, remove map[string][]string) map[string]struct{} {
	names := make(map[string]struct{})
	for name := range upsert {
		names[name] = struct{}{}
	}
	for name := range remove {
		names[name] = struct{}{}
	}
	for _, known := range []string{fieldRoutes, fieldBackends, fieldTenants, fieldLimits, fieldGeneration} {
		delete(names, known)
	}
	return names
}

// decodeLimits merges the limits to change, which may be given at the top level and under upsert.
func (p *Patch) decodeLimits(sources ...json.RawMessage) error {
	for _, raw := range sources {
		if err := decodeField(fieldLimits, raw, &p.limits); err != nil {
			return err
		}
	}
	return nil
}

// Apply returns the patched copy of the base after validating it; the base is not modified. The error is a
// *resultcode.Error.
func (p *Patch) Apply(base *Configuration) (*Configuration, error) {
	if base == nil {
		return nil, resultcode.New(resultcode.RevisionMismatch, "there is no configuration to patch")
	}
	result := &Configuration{
		Generation: p.Generation,
		Routes:     p.routes.apply(base.Routes),
		Backends:   p.backends.apply(base.Backends),
		Tenants:    p.tenants.apply(base.Tenants),
	}
	var err error
	if result.Unknown, err = p.applyUnknown(base.Unknown); err != nil {
		return nil, err
	}
	if result.Limits, err = p.applyLimits(base.Limits); err != nil {
		return nil, err
	}
	if err := result.checkConsistency(); err != nil {
		return nil, err
	}
	return result, nil
}

func (p *Patch) applyUnknown(base map[string]json.RawMessage) (map[string]json.RawMessage, error) {
	unknown := maps.Clone(base)
	if unknown == nil {
		unknown = make(map[string]json.RawMessage)
	}
	for name, change := range p.unknown {
		items, err := decodeItems[unknownItem](name, base[name], nil)
		if err != nil {
			return nil, err
		}
		changed := change.apply(items)
		if changed == nil {
			continue
		}
		encoded, err := encodeList[unknownItem](nil, changed)
		if err != nil {
			return nil, resultcode.Wrap(err, resultcode.Internal, "%s", name)
		}
		unknown[name] = encoded
	}
	return unknown, nil
}

// applyLimits replaces the limits that the patch contains and keeps the others.
func (p *Patch) applyLimits(base Limits) (Limits, error) {
	if len(p.limits) == 0 {
		return base, nil
	}
	encoded, err := encodePart(&base)
	if err != nil {
		return Limits{}, resultcode.Wrap(err, resultcode.Internal, "limits")
	}
	merged := make(map[string]json.RawMessage)
	if err := decodeField(fieldLimits, encoded, &merged); err != nil {
		return Limits{}, err
	}
	maps.Copy(merged, p.limits)
	raw, err := json.Marshal(merged)
	if err != nil {
		return Limits{}, resultcode.Wrap(err, resultcode.Internal, "limits")
	}
	var result Limits
	return result, decodePart(fieldLimits, raw, &result)
}
