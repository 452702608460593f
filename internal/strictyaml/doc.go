// Package strictyaml decodes YAML into typed structs and says of every mistake
// in which file, on which line and under which path it stands. Unknown fields,
// repeated fields and values of the wrong kind are mistakes.
package strictyaml
