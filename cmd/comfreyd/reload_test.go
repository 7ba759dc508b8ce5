package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// TestUnreadableSettingsFileIsLoggedOnce guards against a warning in every second during which
// the settings file cannot be read. Its content is reloaded once it can be read again, and a
// signal is answered with a warning each time.
func TestUnreadableSettingsFileIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	warnings := func() int { return bytes.Count(out.Bytes(), []byte("settings file not readable")) }
	f := settingsFile{path: filepath.Join(t.TempDir(), "settings.yaml"), logger: zerolog.New(&out)}
	for range 3 {
		is.True(!f.poll(false))
	}
	is.Equal(warnings(), 1)
	is.True(!f.poll(true))
	is.Equal(warnings(), 2)
	is.NoErr(os.WriteFile(f.path, []byte("vm: a"), 0o600))
	is.True(f.poll(false))
	is.True(!f.poll(false)) // unchanged
	is.True(f.poll(true))
	is.NoErr(os.Remove(f.path))
	for range 3 {
		is.True(!f.poll(false))
	}
	is.Equal(warnings(), 3)
	is.NoErr(os.WriteFile(f.path, []byte("vm: a"), 0o600))
	is.True(!f.poll(false)) // the same content as before
}
