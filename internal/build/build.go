// Package build names the build of the running program.
package build

import (
	"bytes"
	"debug/elf"
	"encoding/binary"
	"os"
	"runtime/debug"
	"strings"
	"sync"
)

const (
	// nameLength is the length of a name in characters.
	nameLength = 12
	// unnamed is the name of a build that says nothing of itself.
	unnamed = "unknown"
	// noteHeader is the size in bytes of the three numbers before the name of an ELF note.
	noteHeader = 12
)

// Name returns the revision of the source if the program holds it, otherwise the beginning of the identifier that the linker derived from its
// content. Equal builds have equal names.
var Name = sync.OnceValue(func() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				return shorten(setting.Value)
			}
		}
	}

	path, err := os.Executable()
	if err != nil {
		return unnamed
	}

	file, err := elf.Open(path)
	if err != nil {
		return unnamed
	}
	defer file.Close() //nolint:errcheck // The file was only read.

	section := file.Section(".note.go.buildid")
	if section == nil {
		return unnamed
	}

	note, err := section.Data()
	if err != nil {
		return unnamed
	}

	return contentOf(note, file.ByteOrder)
})

// contentOf returns the part of a note with a build identifier that stands for the content of the program.
func contentOf(note []byte, order binary.ByteOrder) string {
	if len(note) < noteHeader {
		return unnamed
	}

	// The name is padded to four bytes.
	begin := noteHeader + (uint64(order.Uint32(note))+3)/4*4
	end := begin + uint64(order.Uint32(note[4:]))

	if end > uint64(len(note)) {
		return unnamed
	}

	identifier := string(bytes.TrimRight(note[begin:end], "\x00"))

	return shorten(identifier[strings.LastIndexByte(identifier, '/')+1:])
}

func shorten(name string) string {
	if name == "" {
		return unnamed
	}

	return name[:min(len(name), nameLength)]
}
