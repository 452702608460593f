package document

import (
	"bytes"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"github.com/chestnutarch/chestnutarch/internal/strictyaml"
)

// releaseSections are the parts of a document that a promotion copies: the models
// and the routes. Teams, upstreams and their addresses are specific to one
// environment.
var releaseSections = []string{"models", "routes"}

// ReleaseDigest returns the digest of the parts that a promotion copies, after
// defaults are applied. Environments with the same release digest have the same
// models and routes.
func (d *Document) ReleaseDigest() string {
	release := struct {
		Models []Model `yaml:"models"`
		Routes []Route `yaml:"routes"`
	}{d.Models, d.Routes}
	text, err := yaml.Marshal(release)
	if err != nil {
		// Marshaling structs of strings and numbers does not fail.
		return ""
	}
	return Digest(text)
}

// WithRelease returns the text of target with its release sections replaced by those
// of source. Comments outside of these sections are preserved.
func WithRelease(target, source []byte) ([]byte, error) {
	targetRoot, err := parseMapping(target, "target")
	if err != nil {
		return nil, err
	}
	sourceRoot, err := parseMapping(source, "source")
	if err != nil {
		return nil, err
	}
	for _, name := range releaseSections {
		setField(targetRoot.Content[0], name, field(sourceRoot.Content[0], name))
	}
	return marshal(targetRoot)
}

// WithKey returns the text with a key added to a team. It returns ErrNoTeam if the
// document does not contain the team.
func WithKey(text []byte, team string, key Key) ([]byte, error) {
	root, err := parseMapping(text, "document")
	if err != nil {
		return nil, err
	}
	teams := field(root.Content[0], "teams")
	if teams == nil {
		return nil, errors.Wrap(ErrNoTeam, team)
	}
	for _, t := range teams.Content {
		if name := field(t, "name"); name == nil || name.Value != team {
			continue
		}
		var added yaml.Node
		if err := added.Encode(key); err != nil {
			return nil, errors.Wrap(strictyaml.ErrBadValue, err.Error())
		}
		keys := field(t, "keys")
		if keys == nil || keys.Kind != yaml.SequenceNode {
			keys = &yaml.Node{Kind: yaml.SequenceNode, Tag: "!!seq"}
			setField(t, "keys", keys)
		}
		keys.Content = append(keys.Content, &added)
		return marshal(root)
	}
	return nil, errors.Wrap(ErrNoTeam, team)
}

// WithDraining returns the text with the draining field of an engine or service
// replica set. It returns ErrNoUpstream if the document does not contain the
// upstream.
func WithDraining(text []byte, upstream string, draining bool) ([]byte, error) {
	root, err := parseMapping(text, "document")
	if err != nil {
		return nil, err
	}
	top := root.Content[0]
	candidates := items(field(top, "engines"))
	for _, service := range items(field(top, "services")) {
		candidates = append(candidates, items(field(service, "replicas"))...)
	}
	for _, c := range candidates {
		if name := field(c, "name"); name == nil || name.Value != upstream {
			continue
		}
		var value *yaml.Node
		if draining {
			value = &yaml.Node{Kind: yaml.ScalarNode, Tag: "!!bool", Value: "true"}
		}
		setField(c, "draining", value)
		return marshal(root)
	}
	return nil, errors.Wrap(ErrNoUpstream, upstream)
}

// items returns the items of a list, or none if list is nil.
func items(list *yaml.Node) []*yaml.Node {
	if list == nil {
		return nil
	}
	return list.Content
}

// parseMapping parses a text whose top level is a mapping.
func parseMapping(text []byte, file string) (*yaml.Node, error) {
	root := new(yaml.Node)
	err := yaml.Unmarshal(text, root)
	if err != nil {
		return nil, errors.Wrapf(strictyaml.ErrSyntax, "%s: %v", file, err)
	}
	if len(root.Content) != 1 || root.Content[0].Kind != yaml.MappingNode {
		return nil, errors.Wrapf(strictyaml.ErrSyntax, "%s: expected a mapping at the top level", file)
	}
	return root, nil
}

// field returns the value of a field of a mapping, nil if there is no such field.
func field(m *yaml.Node, name string) *yaml.Node {
	for i := 0; i+1 < len(m.Content); i += 2 {
		if m.Content[i].Value == name {
			return m.Content[i+1]
		}
	}
	return nil
}

// setField sets a field of a mapping, or removes it if value is nil.
func setField(m *yaml.Node, name string, value *yaml.Node) {
	for i := 0; i+1 < len(m.Content); i += 2 {
		if m.Content[i].Value != name {
			continue
		}
		if value == nil {
			m.Content = append(m.Content[:i], m.Content[i+2:]...)
			return
		}
		m.Content[i+1] = value
		return
	}
	if value != nil {
		key := &yaml.Node{Kind: yaml.ScalarNode, Tag: "!!str", Value: name}
		m.Content = append(m.Content, key, value)
	}
}

// yamlIndent is the indentation of edited documents, in spaces.
const yamlIndent = 2

func marshal(root *yaml.Node) ([]byte, error) {
	var b bytes.Buffer
	encoder := yaml.NewEncoder(&b)
	encoder.SetIndent(yamlIndent)
	if err := encoder.Encode(root); err != nil {
		return nil, errors.Wrap(strictyaml.ErrSyntax, err.Error())
	}
	return b.Bytes(), nil
}
