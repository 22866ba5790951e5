package poplar

// This file holds what an engine announces so that it may be ordered to load
// models.

// Loaded is one model, or adapter, that an engine has loaded.
type Loaded struct {
	Model   Model  `json:"model"`
	Version string `json:"version,omitempty"`
}
