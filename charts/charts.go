// Package charts embeds the lifecycle files that the daemons interpret. Each
// file is a state chart in the SCXML subset that internal/chart reads.
package charts

import "embed"

// Files holds every chart as name.scxml.
//
//go:embed *.scxml
var Files embed.FS
