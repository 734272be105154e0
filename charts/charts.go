// Package charts embeds the state charts that the daemons interpret. Each file
// is in the SCXML subset that internal/chart reads.
package charts

import "embed"

// Files holds each chart as a file <name>.scxml.
//
//go:embed *.scxml
var Files embed.FS
