package command

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"pewterrudder/internal/router/node"
	"pewterrudder/internal/router/settings"
)

// memoryLimitFraction is the soft memory limit of the Go runtime as a fraction of the machine's memory. The rest is
// left for stacks, socket buffers and code.
const memoryLimitFraction = 0.6

// addRouter adds the command that runs a router.
func addRouter(app *kingpin.Application, registered commands) {
	command := app.Command("router", "Run one router of the fleet.")
	path := command.Flag("settings", "Settings file (TOML).").Envar(settings.EnvironmentVariable).Required().String()
	checkOnly := command.Flag("check-settings", "Check the settings file and exit.").Bool()
	commonPrefixes := command.Flag("common-prefixes", "Agree on common prompt prefixes, even if the settings do not enable it.").Bool()
	level := command.Flag("log-level", "Minimum level of log lines.").Default("info").Enum("debug", "info", "warning", "error")
	registered[command.FullCommand()] = func(out io.Writer) error {
		if *checkOnly {
			return checkSettings(out, *path)
		}
		return runRouter(*path, *level, *commonPrefixes)
	}
}

// checkSettings checks a settings file and prints its warnings.
func checkSettings(out io.Writer, path string) error {
	loaded, err := settings.Load(path)
	if err != nil {
		return err
	}
	for _, warning := range loaded.Warnings() {
		fmt.Fprintln(out, "warning:", warning)
	}
	fmt.Fprintln(out, "no faults")
	return nil
}

// runRouter runs the router until a termination signal arrives.
func runRouter(path, level string, commonPrefixes bool) error {
	loaded, err := settings.Load(path)
	if err != nil {
		return err
	}
	loaded.CommonPrefixes = loaded.CommonPrefixes || commonPrefixes
	log, err := newLog(loaded, level)
	if err != nil {
		return err
	}
	terminated := make(chan os.Signal, 1)
	signal.Notify(terminated, syscall.SIGTERM, os.Interrupt)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	logWarnings(log, loaded)
	applyMachineLimits(loaded)
	router, err := node.Start(loaded, log)
	if err != nil {
		return err
	}
	reloadUntilTerminated(router, path, terminated, hangups, log)
	router.Stop()
	return nil
}

// newLog returns the logger of the process, which writes to the standard error.
func newLog(s *settings.Settings, level string) (logrus.FieldLogger, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	log := logrus.New()
	log.SetOutput(os.Stderr)
	log.SetLevel(parsed)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true})
	return log.WithField("node", s.Node), nil
}

// logWarnings logs the warnings about the settings.
func logWarnings(log logrus.FieldLogger, s *settings.Settings) {
	for _, warning := range s.Warnings() {
		log.WithField("key", warning.Key).Warn("settings: " + warning.Problem)
	}
}

// applyMachineLimits sets GOMAXPROCS and the memory limit of the runtime to the limits of the machine.
func applyMachineLimits(s *settings.Settings) {
	runtime.GOMAXPROCS(max(1, s.Limits.Cores))
	if s.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.Limits.MemoryMB) * (1 << 20)))
	}
}
