//! Merges configuration files in the order of their names and records the location of every item.
//!
//! Each file is an object with the sections `fleet` (an object) and `zones`, `customers`,
//! `services`, `routes`, `model_routes`, `app_routes` and `endpoints` (lists of objects with an
//! `id`). Lists of the same section are concatenated. A duplicate id is an error, unless the later
//! item has `"override": true`: the fields of that item then replace those of the earlier item.

use crate::error::{ConfigError, SourceLocation};
use jsonc_parser::ast::{Object, Value as AstValue};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};
use std::collections::BTreeMap;

const FLEET_SECTION: &str = "fleet";
const OVERRIDE_FIELD: &str = "override";
const ID_FIELD: &str = "id";
const SECTIONS: [&str; 8] = [
    "fleet",
    "zones",
    "customers",
    "services",
    "routes",
    "model_routes",
    "app_routes",
    "endpoints",
];

/// Allows JSON with comments and trailing commas, without the other extensions of JSON5.
const PARSE_OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// An untyped item of a section.
#[derive(Debug, Clone)]
pub struct Item {
    /// Position of the opening brace.
    pub location: SourceLocation,
    fields: Map<String, Value>,
    field_locations: BTreeMap<String, SourceLocation>,
}

impl Item {
    /// Returns the location of the field at `path` (such as `keys[0].sha256`), or of the nearest
    /// enclosing field or item with a known location.
    pub fn location_of(&self, path: &str) -> &SourceLocation {
        let mut prefix = path;
        loop {
            match (self.field_locations.get(prefix), prefix.rfind(['.', '['])) {
                (Some(location), _) => return location,
                (None, Some(cut)) => prefix = &prefix[..cut],
                (None, None) => return &self.location,
            }
        }
    }

    /// Deserializes the item into `T`.
    ///
    /// # Errors
    ///
    /// Returns the first field that does not match the schema, with the location of the field.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, ConfigError> {
        let value = Value::Object(self.fields.clone());
        serde_path_to_error::deserialize(value).map_err(|err| {
            let problem = err.inner().to_string();
            let path = err.path().to_string();
            let location = match first_quoted_name(&problem) {
                Some(field) if problem.starts_with("unknown field") => {
                    self.location_of(&unknown_field_path(&path, field)).clone()
                }
                _ => self.location_of(&path).clone(),
            };
            ConfigError { location, fix: suggest_fix(&problem, &path), problem }
        })
    }
}

/// Returns the path of unknown field `field`, given the `path` that the deserializer reports:
/// either the path of the field or that of the enclosing object.
fn unknown_field_path(path: &str, field: &str) -> String {
    match path {
        "." | "" => field.to_owned(),
        path if path == field || path.ends_with(&format!(".{field}")) => path.to_owned(),
        path => format!("{path}.{field}"),
    }
}

/// Returns the first name in backticks in `problem`.
fn first_quoted_name(problem: &str) -> Option<&str> {
    problem.split('`').nth(1)
}

/// Returns the suggested correction for a deserialization error at `path`.
fn suggest_fix(problem: &str, path: &str) -> String {
    match problem {
        p if p.starts_with("unknown field") => {
            "remove it or use one of the listed fields".to_owned()
        }
        p if p.starts_with("missing field") => "add it to this item".to_owned(),
        p if p.starts_with("unknown variant") => "use one of the listed values".to_owned(),
        p if p.contains("socket address") => format!("write `{path}` like \"10.0.0.7:8080\""),
        p if p.starts_with("invalid type") => format!("change `{path}` to the expected type"),
        _ => format!("correct `{path}`"),
    }
}

/// The merged configuration, whose items are untyped.
#[derive(Debug, Clone, Default)]
pub struct MergedConfig {
    /// The `fleet` section, if a file contains one.
    pub fleet: Option<Item>,
    /// Items of each list section, in the order of the files.
    pub lists: BTreeMap<String, Vec<Item>>,
    /// Index of each item in the list of a section, keyed by section and id.
    positions: BTreeMap<(String, String), usize>,
}

/// Merges `files` in the order of their names.
///
/// # Errors
///
/// Returns every error found: syntax errors, sections and items of the wrong type, unknown or
/// duplicate sections, items without an id, duplicate ids, overrides without an earlier item, and
/// duplicate fields. Only the first syntax error of a file and the first duplicate field of an item
/// are returned.
pub fn merge(files: &BTreeMap<String, String>) -> Result<MergedConfig, Vec<ConfigError>> {
    let mut merged = MergedConfig::default();
    let mut errors = Vec::new();
    for (file, text) in files {
        let source = SourceFile { file, text };
        if let Err(mut found) = source.merge_into(&mut merged) {
            errors.append(&mut found);
        }
    }
    match errors.is_empty() {
        true => Ok(merged),
        false => Err(errors),
    }
}

/// A configuration file and its content.
struct SourceFile<'a> {
    file: &'a str,
    text: &'a str,
}

impl SourceFile<'_> {
    fn location(&self, offset: usize) -> SourceLocation {
        SourceLocation::at(self.file, self.text, offset)
    }

    fn error(&self, offset: usize, problem: impl Into<String>, fix: &str) -> ConfigError {
        let location = self.location(offset);
        ConfigError { location, problem: problem.into(), fix: fix.to_owned() }
    }

    fn merge_into(&self, merged: &mut MergedConfig) -> Result<(), Vec<ConfigError>> {
        let parsed = parse_to_ast(self.text, &CollectOptions::default(), &PARSE_OPTIONS);
        let root = match parsed {
            Ok(parsed) => parsed.value,
            Err(err) => {
                let problem = err.kind().to_string();
                let fix = "correct the JSON syntax (comments and trailing commas are allowed)";
                return Err(vec![self.error(err.range().start, problem, fix)]);
            }
        };
        let Some(AstValue::Object(root)) = root else {
            return Err(vec![self.error(
                0,
                "the file is not a JSON object",
                "enclose the sections in { … }",
            )]);
        };
        let mut errors = Vec::new();
        let mut seen = BTreeMap::new();
        for property in &root.properties {
            let section = property.name.as_str();
            let start = property.range.start;
            let first = seen.insert(section.to_owned(), start).is_none();
            let result = match (&property.value, section) {
                _ if !first => Err(self.error(
                    start,
                    format!("duplicate section `{section}` in this file"),
                    "move all items into one list",
                )),
                (AstValue::Object(object), FLEET_SECTION) => self.merge_fleet(object, merged),
                (AstValue::Array(list), name)
                    if name != FLEET_SECTION && is_known_section(name) =>
                {
                    let values = list.elements.iter();
                    values.for_each(|v| errors.extend(self.merge_item(name, v, merged).err()));
                    Ok(())
                }
                (_, name) if is_known_section(name) => Err(self.error(
                    property.value.range().start,
                    format!("section `{name}` has the wrong type"),
                    "write `fleet` as an object, every other section as a list of objects",
                )),
                (_, name) => Err(self.error(
                    start,
                    format!("unknown section `{name}`"),
                    &format!("write one of {}", SECTIONS.join(", ")),
                )),
            };
            errors.extend(result.err());
        }
        match errors.is_empty() {
            true => Ok(()),
            false => Err(errors),
        }
    }

    fn merge_fleet(
        &self,
        object: &Object<'_>,
        merged: &mut MergedConfig,
    ) -> Result<(), ConfigError> {
        let item = self.parse_item(object)?;
        match &merged.fleet {
            Some(earlier) => Err(ConfigError {
                problem: format!("`fleet` is already defined at {}", earlier.location),
                fix: "remove one of the two".to_owned(),
                location: item.location,
            }),
            None => {
                merged.fleet = Some(item);
                Ok(())
            }
        }
    }

    fn merge_item(
        &self,
        section: &str,
        value: &AstValue<'_>,
        merged: &mut MergedConfig,
    ) -> Result<(), ConfigError> {
        let AstValue::Object(object) = value else {
            let start = value.range().start;
            return Err(self.error(start, "this item is not an object", "write { \"id\": … }"));
        };
        let mut item = self.parse_item(object)?;
        let Some(Value::String(id)) = item.fields.get(ID_FIELD).cloned() else {
            let start = object.range.start;
            return Err(self.error(start, "this item has no `id`", "add \"id\": \"a-name\""));
        };
        let overrides = item.fields.remove(OVERRIDE_FIELD) == Some(Value::Bool(true));
        let list = merged.lists.entry(section.to_owned()).or_default();
        let position = (section.to_owned(), id.clone());
        let earlier = merged.positions.get(&position).and_then(|index| list.get_mut(*index));
        match earlier {
            Some(earlier) if overrides => {
                earlier.fields.extend(item.fields);
                earlier.field_locations.extend(item.field_locations);
                Ok(())
            }
            Some(earlier) => Err(ConfigError {
                problem: format!("`{id}` stands in `{section}` at {} already", earlier.location),
                fix: "rename one, or add \"override\": true to change the earlier one".to_owned(),
                location: item.location,
            }),
            None if overrides => Err(ConfigError {
                problem: format!(
                    "`{id}` has \"override\", but no earlier item in `{section}` has this id"
                ),
                fix: "remove \"override\", or use the id of an earlier item".to_owned(),
                location: item.location,
            }),
            None => {
                merged.positions.insert(position, list.len());
                list.push(item);
                Ok(())
            }
        }
    }

    fn parse_item(&self, object: &Object<'_>) -> Result<Item, ConfigError> {
        let mut field_locations = BTreeMap::new();
        self.collect_locations(object, "", &mut field_locations)?;
        let value: Value = AstValue::Object(object.clone()).into();
        let fields = match value {
            Value::Object(fields) => fields,
            _ => Map::new(),
        };
        Ok(Item { location: self.location(object.range.start), fields, field_locations })
    }

    fn collect_locations(
        &self,
        object: &Object<'_>,
        prefix: &str,
        locations: &mut BTreeMap<String, SourceLocation>,
    ) -> Result<(), ConfigError> {
        for property in &object.properties {
            let name = property.name.as_str();
            let path = match prefix {
                "" => name.to_owned(),
                prefix => format!("{prefix}.{name}"),
            };
            let location = self.location(property.range.start);
            if locations.insert(path.clone(), location).is_some() {
                let problem = format!("duplicate field `{name}` in this item");
                return Err(self.error(property.range.start, problem, "remove one of the two"));
            }
            self.collect_value_locations(&property.value, &path, locations)?;
        }
        Ok(())
    }

    fn collect_value_locations(
        &self,
        value: &AstValue<'_>,
        path: &str,
        locations: &mut BTreeMap<String, SourceLocation>,
    ) -> Result<(), ConfigError> {
        match value {
            AstValue::Object(object) => self.collect_locations(object, path, locations),
            AstValue::Array(list) => {
                list.elements.iter().enumerate().try_for_each(|(n, element)| {
                    let path = format!("{path}[{n}]");
                    locations.insert(path.clone(), self.location(element.range().start));
                    self.collect_value_locations(element, &path, locations)
                })
            }
            _ => Ok(()),
        }
    }
}

fn is_known_section(section: &str) -> bool {
    SECTIONS.contains(&section)
}
