package command

import (
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"pewterrudder/internal/router/node"
	"pewterrudder/internal/router/settings"
)

// settingsPollInterval is the interval at which the settings file is checked for changes that no SIGHUP announced.
const settingsPollInterval = 2 * time.Second

// reloadUntilTerminated reloads the settings on SIGHUP and when their file changes, until a termination signal arrives.
func reloadUntilTerminated(router *node.Node, path string, terminated, hangups <-chan os.Signal, log logrus.FieldLogger) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	seen := modificationTime(path)
	for {
		select {
		case <-terminated:
			return
		case <-hangups:
			seen = modificationTime(path)
			reload(router, path, log)
		case <-ticker.C:
			if now := modificationTime(path); !now.Equal(seen) {
				seen = now
				reload(router, path, log)
			}
		}
	}
}

// modificationTime returns the modification time of a file; the zero time if it cannot be read.
func modificationTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload reads the settings file again and applies it. An invalid file changes nothing.
func reload(router *node.Node, path string, log logrus.FieldLogger) {
	changed, err := settings.Load(path)
	if err != nil {
		log.WithError(err).Error("cannot reload the settings; the previous ones stay in effect")
		return
	}
	logWarnings(log, changed)
	router.Reload(changed)
	log.Info("settings reloaded")
}
