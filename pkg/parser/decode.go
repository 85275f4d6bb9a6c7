package parser

import (
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// kindTypes maps the name of each kind to its Go type.
var kindTypes = map[string]reflect.Type{
	KindModel:        reflect.TypeFor[Model](),
	KindModelVersion: reflect.TypeFor[ModelVersion](),
	KindAdapter:      reflect.TypeFor[Adapter](),
	KindFleet:        reflect.TypeFor[Fleet](),
	KindService:      reflect.TypeFor[Service](),
	KindTeam:         reflect.TypeFor[Team](),
	KindRollout:      reflect.TypeFor[Rollout](),
	KindRoute:        reflect.TypeFor[Route](),
	KindEvacuation:   reflect.TypeFor[Evacuation](),
}

// Kinds returns the names of all kinds, in the order in which objects are listed
// and encoded.
func Kinds() []string {
	return []string{KindModel, KindModelVersion, KindAdapter, KindFleet, KindService, KindTeam, KindRoute, KindRollout, KindEvacuation}
}

// FieldNames returns the field names of a kind in the order of their declaration,
// or nil if the kind does not exist.
func FieldNames(kind string) []string {
	t, known := kindTypes[kind]
	if !known {
		return nil
	}
	names := make([]string, t.NumField())
	for i := range names {
		names[i] = fieldName(t.Field(i))
	}
	return names
}

// objectDecoder decodes a YAML mapping into an object and collects problems.
type objectDecoder struct {
	file     string
	ref      Ref
	declared *Declared
	problems []Problem
}

// decodeObject returns nil if the node is not a mapping or the kind is unknown. If
// some fields are invalid, the object has the values of the other fields.
func decodeObject(file string, node *yaml.Node) (*Declared, []Problem) {
	d := &objectDecoder{file: file, declared: &Declared{File: file, Line: node.Line, FieldLines: map[string]int{}, Invalid: map[string]bool{}}}
	if node.Kind != yaml.MappingNode {
		d.report(node.Line, "", "this is "+describeNode(node)+", not an object", "write an object with the keys kind and name")
		return nil, d.problems
	}
	d.ref = Ref{Kind: scalarValue(node, "kind"), Name: scalarValue(node, "name")}
	t, known := kindTypes[d.ref.Kind]
	if !known {
		d.reportKind(node)
		return nil, d.problems
	}
	target := reflect.New(t)
	d.decodeMapping(node, target.Elem())
	d.declared.Object = target.Interface().(Object)
	return d.declared, d.problems
}

func (d *objectDecoder) reportKind(node *yaml.Node) {
	if value := mappingValue(node, "kind"); value != nil {
		d.ref.Kind = ""
		suggestion := "write one of " + strings.Join(Kinds(), ", ")
		if near := Nearest(value.Value, Kinds()); near != "" {
			suggestion = "write " + near
		}
		d.report(value.Line, "kind", fmt.Sprintf("kind %q does not exist", truncate(value.Value)), suggestion)
		return
	}
	d.report(node.Line, "kind", "the key is missing", "write kind: "+inferKind(node))
}

func (d *objectDecoder) decodeMapping(node *yaml.Node, target reflect.Value) {
	fields := fieldIndex(target.Type())
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		index, known := fields[key.Value]
		if !known {
			d.reportUnknown(key)
			continue
		}
		if first, repeated := d.declared.FieldLines[key.Value]; repeated {
			d.report(key.Line, key.Value, fmt.Sprintf("the key is also on line %d", first), "keep one of the two")
			continue
		}
		d.declared.FieldLines[key.Value] = key.Line
		d.decodeValue(key.Value, value, target.Field(index))
	}
}

func (d *objectDecoder) reportUnknown(key *yaml.Node) {
	known := FieldNames(d.ref.Kind)
	suggestion := "write one of " + strings.Join(known, ", ")
	if near := Nearest(key.Value, known); near != "" {
		suggestion = "write " + near
		d.declared.Invalid[near] = true
	}
	d.report(key.Line, truncate(key.Value), "the key is not known for kind "+d.ref.Kind, suggestion)
}

func (d *objectDecoder) decodeValue(field string, node *yaml.Node, target reflect.Value) {
	switch target.Kind() {
	case reflect.Slice:
		d.decodeList(field, node, target)
		return
	case reflect.Pointer:
		element := reflect.New(target.Type().Elem())
		d.decodeValue(field, node, element.Elem())
		target.Set(element)
		return
	}
	if node.Kind != yaml.ScalarNode {
		d.reportType(field, node, target.Kind())
		return
	}
	if !setScalar(node, target) {
		d.reportType(field, node, target.Kind())
	}
}

func (d *objectDecoder) decodeList(field string, node *yaml.Node, target reflect.Value) {
	if node.Kind != yaml.SequenceNode {
		d.report(node.Line, field, "this is "+describeNode(node)+", not a list", fmt.Sprintf("write %s: [a, b]", field))
		return
	}
	if len(node.Content) == 0 {
		return
	}
	list := reflect.MakeSlice(target.Type(), len(node.Content), len(node.Content))
	for i, item := range node.Content {
		itemField := ItemField(field, i)
		d.declared.FieldLines[itemField] = item.Line
		d.decodeValue(itemField, item, list.Index(i))
	}
	target.Set(list)
}

func (d *objectDecoder) reportType(field string, node *yaml.Node, kind reflect.Kind) {
	expected, suggestion := "", ""
	switch kind {
	case reflect.String:
		expected, suggestion = "a string", "write a string"
		if node.Kind == yaml.ScalarNode && node.Tag != "!!null" {
			suggestion = fmt.Sprintf("write it in quotes: %q", truncate(node.Value))
		}
	case reflect.Bool:
		expected, suggestion = "true or false", "write true or false"
	case reflect.Float64:
		expected, suggestion = "a number", "write a number such as 12.5"
	default:
		expected, suggestion = "a whole number", "write a number such as 12"
	}
	d.report(node.Line, field, "this is "+describeNode(node)+", not "+expected, suggestion)
}

func (d *objectDecoder) report(line int, field, message, suggestion string) {
	if field != "" {
		d.declared.Invalid[field] = true
	}
	d.problems = append(d.problems, Problem{File: d.file, Line: line, Object: d.ref, Field: field, Message: message, Suggestion: suggestion})
}

// setScalar sets the target to the value of the node and reports whether the node
// has the target's type. The target is unspecified if it has not.
func setScalar(node *yaml.Node, target reflect.Value) bool {
	tag := node.ShortTag()
	switch target.Kind() {
	case reflect.String:
		target.SetString(node.Value)
		return tag == "!!str"
	case reflect.Bool:
		target.SetBool(node.Value == "true")
		return tag == "!!bool" && (node.Value == "true" || node.Value == "false")
	case reflect.Float64:
		number, err := strconv.ParseFloat(node.Value, 64)
		if err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
			return false
		}
		target.SetFloat(number)
		return tag == "!!float" || tag == "!!int"
	case reflect.Int, reflect.Int64:
		number, err := strconv.ParseInt(strings.ReplaceAll(node.Value, "_", ""), 10, 64)
		if err != nil {
			return false
		}
		target.SetInt(number)
		return tag == "!!int"
	}
	return false
}

// ItemField returns the name of an item of a list field, for example
// "adapters[0]".
func ItemField(field string, i int) string { return field + "[" + strconv.Itoa(i) + "]" }

func describeNode(node *yaml.Node) string {
	switch node.Kind {
	case yaml.MappingNode:
		return "a mapping"
	case yaml.SequenceNode:
		return "a list"
	case yaml.AliasNode:
		return "an alias"
	}
	switch node.ShortTag() {
	case "!!null":
		return "empty"
	case "!!int", "!!float":
		return "the number " + truncate(node.Value)
	case "!!bool":
		return "the boolean " + truncate(node.Value)
	case "!!timestamp":
		return "the date " + truncate(node.Value)
	}
	return fmt.Sprintf("the string %q", truncate(node.Value))
}

func mappingValue(node *yaml.Node, key string) *yaml.Node {
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == key {
			return node.Content[i+1]
		}
	}
	return nil
}

func scalarValue(node *yaml.Node, key string) string {
	value := mappingValue(node, key)
	if value == nil || value.Kind != yaml.ScalarNode || value.ShortTag() == "!!null" {
		return ""
	}
	return value.Value
}

// inferKind returns the kind that has the most fields in common with the mapping.
func inferKind(node *yaml.Node) string {
	best, bestCount := KindModel, 0
	for _, kind := range Kinds() {
		count := 0
		for _, name := range FieldNames(kind) {
			if mappingValue(node, name) != nil {
				count++
			}
		}
		if count > bestCount {
			best, bestCount = kind, count
		}
	}
	return best
}

func fieldIndex(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		fields[fieldName(t.Field(i))] = i
	}
	return fields
}

func fieldName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

// truncate limits the length of a value that is quoted in a message.
func truncate(s string) string {
	const maxBytes = 80
	if len(s) <= maxBytes {
		return s
	}
	return s[:maxBytes] + "…"
}
