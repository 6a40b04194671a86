package entry

import (
	"bytes"
	"os"
	"time"

	"github.com/apricotway/apricotway/cmd/internal/settings"
)

// Reload reads the settings file again. A file with faults changes nothing. Bounds of the platform come into force; addresses
// and the place of the process hold until its end.
func (e *Entry) Reload(path string) {
	content, err := os.ReadFile(path)
	if err != nil {
		e.keep(err)
		return
	}

	e.apply(path, content)
}

// ReloadChanged reads the settings file again if its content has changed.
func (e *Entry) ReloadChanged(path string) {
	content, err := os.ReadFile(path)
	// The file may be missing for a moment while it is replaced; SIGHUP tells of lasting faults.
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

	s, err := settings.ParseEntry(path, content)
	if err != nil {
		e.keep(err)
		return
	}

	e.catalog.SetKeyValidity(keyValidity(s))
	e.logger.Info("settings read", "event", 109, "keyRevocation", time.Duration(s.KeyRevocation))
}

// keep logs why the last settings stay in force.
func (e *Entry) keep(err error) {
	e.logger.Info("settings not usable; the last ones stay in force", "event", 108, "error", err.Error())
}

// keyValidity returns the time for which a proof of the configuration holds for keys.
func keyValidity(s settings.Entry) time.Duration {
	return time.Duration(float64(s.KeyRevocation) * keyMargin)
}
