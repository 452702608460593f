package telemetry

import (
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

var (
	// ErrLogLevel means that the log level is unknown.
	ErrLogLevel = errors.New("telemetry: unknown log level")
	// ErrLogFormat means that the log format is unknown.
	ErrLogFormat = errors.New("telemetry: unknown log format")
)

// The formats of a log.
const (
	FormatJSON    = "json"
	FormatConsole = "console"
)

// LogSettings configures the level and format of the log.
type LogSettings struct {
	// Level is "debug", "info", "warn" or "error". The default is "info".
	Level string `yaml:"level"`
	// Format is "json" or "console". The default is "json".
	Format string `yaml:"format"`
}

// Provision fills in the defaults.
func (s *LogSettings) Provision() {
	if s.Level == "" {
		s.Level = zerolog.InfoLevel.String()
	}
	if s.Format == "" {
		s.Format = FormatJSON
	}
}

// Validate returns ErrLogLevel or ErrLogFormat, wrapped.
func (s *LogSettings) Validate() error {
	if _, err := zerolog.ParseLevel(s.Level); err != nil {
		return errors.Wrapf(ErrLogLevel, "log.level: %q", s.Level)
	}
	if s.Format != FormatJSON && s.Format != FormatConsole {
		return errors.Wrapf(ErrLogFormat, "log.format: %q", s.Format)
	}
	return nil
}

// timeFormat has milliseconds, so that the requests that several VMs sent to one upstream
// within a second can be put in order.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

func init() { zerolog.TimeFieldFormat = timeFormat }

// NewLogger returns a logger that writes one event a line to w. The settings
// must be valid.
func NewLogger(w io.Writer, s LogSettings) zerolog.Logger {
	level, err := zerolog.ParseLevel(s.Level)
	if err != nil {
		level = zerolog.InfoLevel
	}
	if s.Format == FormatConsole {
		w = zerolog.ConsoleWriter{Out: w, TimeFormat: time.TimeOnly}
	}
	return zerolog.New(w).Level(level).With().Timestamp().Logger()
}
