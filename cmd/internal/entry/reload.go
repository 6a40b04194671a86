package entry

import "github.com/apricotway/apricotway/cmd/internal/settings"

// Reload reads the settings file again. A file with faults changes nothing.
func (e *Entry) Reload(path string) {
	if _, err := settings.LoadEntry(path); err != nil {
		e.logger.Info("settings not usable; the last ones stay in force", "event", 108, "error", err.Error())
		return
	}

	e.logger.Info("settings read", "event", 109)
}
