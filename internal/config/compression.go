package config

// Compression says when calls to other failure domains are compressed.
type Compression string

// The settings of compression.
const (
	// CompressionAuto: where load control is in force.
	CompressionAuto Compression = "auto"
	// CompressionOn: always.
	CompressionOn Compression = "on"
	// CompressionOff: never.
	CompressionOff Compression = "off"
)

// Valid reports whether c is one of the settings.
func (c Compression) Valid() bool {
	return c == CompressionAuto || c == CompressionOn || c == CompressionOff
}

// InForce reports whether compression is in force, given whether load control is in force.
func (c Compression) InForce(loadControl bool) bool {
	switch c {
	case CompressionOn:
		return true
	case CompressionOff:
		return false
	}
	return loadControl
}
