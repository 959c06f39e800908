package status

import (
	"runtime/debug"
	"sync"
)

// unknownVersion is the version of a program that was built without version information.
const unknownVersion = "unknown"

// Version returns the source revision of the program, or else the version of its main module.
var Version = sync.OnceValue(func() string {
	info, found := debug.ReadBuildInfo()
	if !found {
		return unknownVersion
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	if info.Main.Version != "" {
		return info.Main.Version
	}
	return unknownVersion
})
