package entry

import "strconv"

// quarantinedContent is a content in the answer to /v1/quarantine.
type quarantinedContent struct {
	// Common lists what the calls have in common: the identifiers of prompt parts, and the digest of the whole content if that is alike.
	Common []string `json:"common"`
	// Crashes is the number of crashes of backend servers during such calls.
	Crashes int `json:"crashes"`
	// Refused is set when such calls are refused.
	Refused bool `json:"refused"`
}

// quarantine returns the contents that crashed several backend servers.
func (e *Entry) quarantine() []quarantinedContent {
	contents := []quarantinedContent{}

	for _, finding := range e.suspects.Findings() {
		names := make([]string, len(finding.Common))
		for i, part := range finding.Common {
			names[i] = strconv.FormatUint(uint64(part), 16)
		}

		contents = append(contents, quarantinedContent{Common: names, Crashes: finding.Crashes, Refused: finding.Refused})
	}

	return contents
}
