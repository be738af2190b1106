package settings

import (
	"encoding/hex"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	"arbutusreel/wiregen"
)

// maxNameBytes is the longest name of an instance, region or failure domain.
const maxNameBytes = 63

// digestBytes is the length of a SHA-256 digest.
const digestBytes = 32

// check returns why the text is not valid for the kind, or "" if it is.
func check(kind wiregen.SettingKind, text string) string {
	switch kind {
	case wiregen.SettingKind_identifier:
		return checkName(text)
	case wiregen.SettingKind_address:
		return checkAddress(text)
	case wiregen.SettingKind_member:
		return checkMember(text)
	case wiregen.SettingKind_folder:
		return checkFolder(text)
	case wiregen.SettingKind_file:
		return checkFile(text)
	case wiregen.SettingKind_digest:
		return checkDigest(text)
	default:
		return ""
	}
}

func checkName(text string) string {
	if len(text) > maxNameBytes {
		return "a name must have at most 63 characters"
	}
	if ok, _ := regexp.MatchString(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`, text); !ok {
		return "a name must have lower-case letters, digits and hyphens only"
	}
	return ""
}

func checkAddress(text string) string {
	if _, err := netip.ParseAddrPort(text); err != nil {
		return "an address must be an IP address and a port; host names are not accepted"
	}
	return ""
}

func checkMember(text string) string {
	name, address, found := strings.Cut(text, "=")
	if !found {
		return "a member must be written as name=address"
	}
	if reason := checkName(name); reason != "" {
		return reason
	}
	return checkAddress(address)
}

func checkFolder(text string) string {
	if !filepath.IsAbs(text) {
		return "a folder must be written as an absolute path"
	}
	info, err := os.Stat(text)
	if os.IsNotExist(err) {
		return ""
	}
	if err != nil {
		return "the folder cannot be read"
	}
	if !info.IsDir() {
		return "the path is not a folder"
	}
	return ""
}

func checkFile(text string) string {
	f, err := os.Open(text)
	if err != nil {
		return "the file cannot be read"
	}
	_ = f.Close()
	return ""
}

func checkDigest(text string) string {
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != digestBytes {
		return "a digest must be 64 hexadecimal digits"
	}
	return ""
}
