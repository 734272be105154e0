package rows

import "github.com/bambooscale/bambooscale/internal/model"

// ConfigLog is the value of the row with an accepted edit of the
// configuration. Edit is the id that the editor chose; with it the outcome of
// an edit is read back after a lost response.
type ConfigLog struct {
	Version model.ConfigVersion  `json:"version"`
	Edit    string               `json:"edit"`
	Author  string               `json:"author,omitempty"`
	Changes []model.ConfigChange `json:"changes"`
}
