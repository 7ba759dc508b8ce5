// Package api is the administration API: its description and the server and
// client that ogen generates from it.
package api

//go:generate go run github.com/ogen-go/ogen/cmd/ogen@v1.24.0 --config ogen.yml --target . --package api --clean openapi.yaml
