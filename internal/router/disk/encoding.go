package disk

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// A file consists of a header and the content. The header has four big-endian 8-byte fields: the magic number, the
// version, the length of the content, and the checksum of these three and the content.
const (
	fileMagic      uint64 = 0x70776472_73746131
	magicOffset           = 0
	versionOffset         = 8
	lengthOffset          = 16
	checksumOffset        = 24
	headerSize            = 32
)

const (
	namePrefix      = "version-"
	nameSuffix      = ".state"
	temporarySuffix = ".aside"
	versionDigits   = 16
	versionBase     = 16
)

func encodeFile(version uint64, content []byte) []byte {
	file := make([]byte, headerSize, headerSize+len(content))
	binary.BigEndian.PutUint64(file[magicOffset:], fileMagic)
	binary.BigEndian.PutUint64(file[versionOffset:], version)
	binary.BigEndian.PutUint64(file[lengthOffset:], uint64(len(content)))
	file = append(file, content...)
	binary.BigEndian.PutUint64(file[checksumOffset:], checksum(file))
	return file
}

// decodeFile returns the content of a file, and false if the file is not a complete and undamaged file of that version.
func decodeFile(version uint64, file []byte) ([]byte, bool) {
	if len(file) < headerSize {
		return nil, false
	}
	content := file[headerSize:]
	isValid := binary.BigEndian.Uint64(file[magicOffset:]) == fileMagic &&
		binary.BigEndian.Uint64(file[versionOffset:]) == version &&
		binary.BigEndian.Uint64(file[lengthOffset:]) == uint64(len(content)) &&
		binary.BigEndian.Uint64(file[checksumOffset:]) == checksum(file)
	return content, isValid
}

// checksum returns the checksum of the file, the checksum field left out.
func checksum(file []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.Write(file[:checksumOffset])
	_, _ = digest.Write(file[headerSize:])
	return digest.Sum64()
}

func versionName(version uint64) string {
	return fmt.Sprintf("%s%0*x%s", namePrefix, versionDigits, version, nameSuffix)
}

func temporaryName(version uint64) string {
	return fmt.Sprintf("%s%0*x%s", namePrefix, versionDigits, version, temporarySuffix)
}

// parseVersionName returns the version encoded in a file name, and false for any other name.
func parseVersionName(name string) (uint64, bool) {
	digits, hasPrefix := strings.CutPrefix(name, namePrefix)
	digits, hasSuffix := strings.CutSuffix(digits, nameSuffix)
	if !hasPrefix || !hasSuffix {
		return 0, false
	}
	version, err := strconv.ParseUint(digits, versionBase, 64)
	return version, err == nil && versionName(version) == name
}

// isTemporaryName reports whether the name is that of a temporary file.
func isTemporaryName(name string) bool {
	return strings.HasPrefix(name, namePrefix) && strings.HasSuffix(name, temporarySuffix)
}
