package entry

import (
	"bytes"
	"os"
	"time"

	"github.com/apricotway/apricotway/cmd/internal/process"
	"github.com/apricotway/apricotway/cmd/internal/settings"
)

// Reload reads the settings file again and applies the key revocation time. An invalid file changes nothing. Other settings, such
// as addresses, region and zone, take effect only at a restart.
func (e *Entry) Reload(path string) {
	content, err := os.ReadFile(path)
	if err != nil {
		e.logRejected(err)
		return
	}

	e.apply(path, content)
}

// ReloadChanged applies the settings file if its content has changed since the last call. The first call only remembers the
// content.
func (e *Entry) ReloadChanged(path string) {
	content, err := os.ReadFile(path)
	// The file may be missing briefly while it is replaced. If it stays unreadable, Reload logs the error on SIGHUP.
	if err != nil || bytes.Equal(content, e.content) {
		return
	}

	first := e.content == nil
	e.content = content

	if !first {
		e.apply(path, content)
	}
}

func (e *Entry) apply(path string, content []byte) {
	e.content = content

	s, err := settings.ParseEntry(path, content, settings.WithUnknownKeys(func(fault settings.Fault) {
		process.UnknownSetting(e.logger, fault)
	}))
	if err != nil {
		e.logRejected(err)
		return
	}

	e.catalog.SetKeyValidity(keyValidity(s))
	e.logger.Info("applied settings", "event", 109, "keyRevocation", time.Duration(s.KeyRevocation))
}

// logRejected logs the error because of which the previous settings stay in force.
func (e *Entry) logRejected(err error) {
	e.logger.Info("settings file is unreadable or invalid; the previous settings stay in force", "event", 108, "error", err.Error())
}

// keyValidity returns how long API keys are accepted after the configuration was last confirmed as current.
func keyValidity(s settings.Entry) time.Duration {
	return time.Duration(float64(s.KeyRevocation) * keyValidityFraction)
}
