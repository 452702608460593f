// Package strictyaml decodes YAML into typed structs and reports every error with
// its file, line and path. Unknown fields, duplicate fields and values of the
// wrong kind are errors.
package strictyaml
