package settings

// Default values of keys that are missing from the file. For other keys the default is the zero value, which means "not
// served" or "no limit".
const (
	// DefaultHeartbeatMs is the heartbeat interval of instances, in milliseconds.
	DefaultHeartbeatMs = 1000
	// DefaultCores is the number of CPU cores.
	DefaultCores = 1
	// DefaultGraceS is the time from SIGTERM to the end of the process, in seconds.
	DefaultGraceS = 5
)

// defaults returns the settings of an empty file.
func defaults() Settings {
	return Settings{
		HeartbeatMs: DefaultHeartbeatMs,
		Limits:      Limits{Cores: DefaultCores},
		Bounds:      Bounds{GraceS: DefaultGraceS},
	}
}
