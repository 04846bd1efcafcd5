package config

import (
	"os"
	"strings"

	"birchwood.example/birchwood/contract"
)

// SettingsFile holds the initial settings tree of a deployment.
type SettingsFile struct {
	// ID and Actor are those of the change that consists of the edits.
	ID    string `yaml:"id" help:"The id of the change that the edits make up."`
	Actor string `yaml:"actor" help:"Who makes the change, as the history shows it."`
	// Edits holds one edit per branch, parents first.
	Edits []contract.Edit `yaml:"edits" help:"The branches with what each sets, parents first."`
}

// LoadSettings reads a file of initial settings and validates them against an
// empty tree. The file holds hashes of tokens, not the tokens.
func LoadSettings(path string) ([]contract.Change, []Finding) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, []Finding{{File: path, Path: rootPath, Message: err.Error()}}
	}
	return ParseSettings(path, data)
}

// ParseSettings is LoadSettings for the content of a file. Findings carry the
// given name.
func ParseSettings(name string, data []byte) ([]contract.Change, []Finding) {
	decoder := &decoder{source: source{name: name, positions: map[string]position{}}}
	var file SettingsFile
	decoder.decode(data, &file)
	if len(decoder.findings) > 0 {
		return nil, decoder.findings
	}
	change := contract.Change{ID: file.ID, Actor: file.Actor, Edits: file.Edits}
	var findings []Finding
	for _, found := range contract.NewTree().Check(change) {
		path := rootPath + "." + strings.TrimPrefix(found.Place, rootPath)
		findings = append(findings, decoder.source.finding(path, "%s", found.Message))
	}
	if len(findings) > 0 {
		return nil, findings
	}
	return []contract.Change{change}, nil
}

// Check validates a settings file of either kind: a file with a top-level key
// "edits" holds edits of the settings tree, any other file the settings of a
// process.
func Check(path string) []Finding {
	data, err := os.ReadFile(path)
	if err != nil {
		return []Finding{{File: path, Path: rootPath, Message: err.Error()}}
	}
	if hasEdits(data) {
		_, findings := ParseSettings(path, data)
		return findings
	}
	file, findings := Parse(path, data)
	if file != nil && file.Standin != nil && file.Standin.Settings != "" {
		_, settingsFindings := LoadSettings(file.Standin.Settings)
		findings = append(findings, settingsFindings...)
	}
	return findings
}

func hasEdits(data []byte) bool {
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, "edits:") {
			return true
		}
	}
	return false
}
