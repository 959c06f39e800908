package document

func (r *Route) read(fields *objectReader) {
	fields.readString("name", &r.Name)
	fields.readString("hostname", &r.Hostname)
	fields.readString("path_prefix", &r.PathPrefix)
	fields.readString("kind", &r.Kind)
	fields.readFloat("timeout_ms", &r.TimeoutMs)
	fields.readFloat("target_ms", &r.TargetMs)
	fields.readInteger("priority", &r.Priority)
	fields.readString("backend", &r.Backend)
	fields.readShares("split", &r.Split)
	fields.readInteger("retries", &r.Retries)
	fields.readBool("public", &r.Public)
	fields.readBool("sticky", &r.Sticky)
	fields.readBool("resume", &r.Resume)
	fields.readFloat("gap_aim_ms", &r.GapAimMs)
}

func (s *Share) decode(raw []byte) error {
	fields := newObjectReader(raw)
	fields.readString("backend", &s.Backend)
	fields.readFloat("weight", &s.Weight)
	return fields.err
}

func (b *Backend) read(fields *objectReader) {
	fields.readString("name", &b.Name)
	fields.readString("health_path", &b.HealthPath)
	fields.readInteger("max_conns", &b.MaxConns)
	fields.readFloat("cold_per_s", &b.ColdPerS)
	fields.readString("protocol", &b.Protocol)
	fields.readBool("tls", &b.TLS)
	fields.readJSON("engine", &b.Engine)
}

func (l *Limits) read(fields *objectReader) {
	fields.readInteger("max_header_bytes", &l.MaxHeaderBytes)
	fields.readInteger("max_body_bytes", &l.MaxBodyBytes)
	fields.readFloat("header_timeout_ms", &l.HeaderTimeoutMs)
	fields.readFloat("idle_timeout_ms", &l.IdleTimeoutMs)
}

func (t *Tenant) read(fields *objectReader) {
	fields.readString("name", &t.Name)
	fields.readStrings("api_keys", &t.APIKeys)
	fields.readInteger("priority", &t.Priority)
	fields.readString("unit", &t.Unit)
	fields.readFloat("plain_tokens", &t.PlainTokens)
	fields.readFloat("per_s", &t.PerS)
	fields.readFloat("burst", &t.Burst)
}

func (u *unknownItem) read(fields *objectReader) {
	fields.readString("name", &u.Name)
}
