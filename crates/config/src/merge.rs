//! Merges the files in the order of their names and keeps the place of every item.
//!
//! Each file is an object with the sections `fleet` (an object) and `zones`, `customers`,
//! `services`, `routes`, `model_routes`, `app_routes` and `endpoints` (lists of objects with an
//! `id`). Lists add up. An id that stands twice is an error, unless the later item says
//! `"override": true`: then its fields replace those of the earlier one.

use crate::error::{ConfigError, Place};
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

/// JSON with comments and trailing commas, and none of JSON5's other liberties.
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

/// One item of a section before it has a type.
#[derive(Debug, Clone)]
pub struct Item {
    /// Where it starts.
    pub place: Place,
    fields: Map<String, Value>,
    field_places: BTreeMap<String, Place>,
}

impl Item {
    /// The place of the field at `path` (as `keys[0].sha256`), or of its nearest enclosing field.
    pub fn place_of(&self, path: &str) -> &Place {
        let mut prefix = path;
        loop {
            match (self.field_places.get(prefix), prefix.rfind(['.', '['])) {
                (Some(place), _) => return place,
                (None, Some(cut)) => prefix = &prefix[..cut],
                (None, None) => return &self.place,
            }
        }
    }

    /// Gives the item its type.
    ///
    /// # Errors
    ///
    /// The field that doesn't fit, with its place.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, ConfigError> {
        let value = Value::Object(self.fields.clone());
        serde_path_to_error::deserialize(value).map_err(|err| {
            let problem = err.inner().to_string();
            let path = err.path().to_string();
            let place = match quoted_field(&problem) {
                Some(field) if problem.starts_with("unknown field") => {
                    self.place_of(&unknown_path(&path, field)).clone()
                }
                _ => self.place_of(&path).clone(),
            };
            ConfigError { place, fix: fix_for(&problem, &path), problem }
        })
    }
}

fn unknown_path(path: &str, field: &str) -> String {
    match path {
        "." | "" => field.to_owned(),
        path if path == field || path.ends_with(&format!(".{field}")) => path.to_owned(),
        path => format!("{path}.{field}"),
    }
}

fn quoted_field(problem: &str) -> Option<&str> {
    problem.split('`').nth(1)
}

fn fix_for(problem: &str, path: &str) -> String {
    match problem {
        p if p.starts_with("unknown field") => {
            "remove it or write one of the fields named here".to_owned()
        }
        p if p.starts_with("missing field") => "add it to this item".to_owned(),
        p if p.starts_with("unknown variant") => "write one of the values named here".to_owned(),
        p if p.contains("socket address") => format!("write `{path}` as \"10.0.0.7:8080\""),
        p if p.starts_with("invalid type") => format!("write `{path}` in the type expected here"),
        _ => format!("correct `{path}`"),
    }
}

/// The merged, still untyped configuration.
#[derive(Debug, Clone, Default)]
pub struct Merged {
    /// The fleet's own settings, if a file has them.
    pub fleet: Option<Item>,
    /// Items of each list, in the order of the files.
    pub lists: BTreeMap<String, Vec<Item>>,
    /// Where in its list each id stands.
    positions: BTreeMap<(String, String), usize>,
}

/// Merges `files` in the order of their names.
///
/// # Errors
///
/// Every error found: syntax, unknown sections, items without an id, ids that stand twice.
pub fn merge(files: &BTreeMap<String, String>) -> Result<Merged, Vec<ConfigError>> {
    let mut merged = Merged::default();
    let mut errors = Vec::new();
    for (file, text) in files {
        let source = Source { file, text };
        if let Err(mut found) = source.merge_into(&mut merged) {
            errors.append(&mut found);
        }
    }
    match errors.is_empty() {
        true => Ok(merged),
        false => Err(errors),
    }
}

struct Source<'a> {
    file: &'a str,
    text: &'a str,
}

impl Source<'_> {
    fn place(&self, offset: usize) -> Place {
        Place::at(self.file, self.text, offset)
    }

    fn error(&self, offset: usize, problem: impl Into<String>, fix: &str) -> ConfigError {
        let place = self.place(offset);
        ConfigError { place, problem: problem.into(), fix: fix.to_owned() }
    }

    fn merge_into(&self, merged: &mut Merged) -> Result<(), Vec<ConfigError>> {
        let parsed = parse_to_ast(self.text, &CollectOptions::default(), &PARSE_OPTIONS);
        let root = match parsed {
            Ok(parsed) => parsed.value,
            Err(err) => {
                let problem = err.kind().to_string();
                let fix = "write JSON with comments";
                return Err(vec![self.error(err.range().start, problem, fix)]);
            }
        };
        let Some(AstValue::Object(root)) = root else {
            return Err(vec![self.error(0, "the file is not an object", "write { … }")]);
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
                    format!("section `{section}` stands twice in this file"),
                    "write its items into one list",
                )),
                (AstValue::Object(object), FLEET_SECTION) => self.take_fleet(object, merged),
                (AstValue::Array(list), name) if name != FLEET_SECTION && known(name) => {
                    let values = list.elements.iter();
                    values.for_each(|v| errors.extend(self.take_item(name, v, merged).err()));
                    Ok(())
                }
                (_, name) if known(name) => Err(self.error(
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

    fn take_fleet(&self, object: &Object<'_>, merged: &mut Merged) -> Result<(), ConfigError> {
        let item = self.item(object)?;
        match &merged.fleet {
            Some(earlier) => Err(ConfigError {
                problem: format!("`fleet` stands at {} already", earlier.place),
                fix: "keep one of the two".to_owned(),
                place: item.place,
            }),
            None => {
                merged.fleet = Some(item);
                Ok(())
            }
        }
    }

    fn take_item(
        &self,
        section: &str,
        value: &AstValue<'_>,
        merged: &mut Merged,
    ) -> Result<(), ConfigError> {
        let AstValue::Object(object) = value else {
            let start = value.range().start;
            return Err(self.error(start, "this item is not an object", "write { \"id\": … }"));
        };
        let mut item = self.item(object)?;
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
                earlier.field_places.extend(item.field_places);
                Ok(())
            }
            Some(earlier) => Err(ConfigError {
                problem: format!("`{id}` stands in `{section}` at {} already", earlier.place),
                fix: "rename one, or add \"override\": true to change the earlier one".to_owned(),
                place: item.place,
            }),
            None if overrides => Err(ConfigError {
                problem: format!("`{id}` overrides nothing in `{section}`"),
                fix: "remove \"override\", or name an id of an earlier file".to_owned(),
                place: item.place,
            }),
            None => {
                merged.positions.insert(position, list.len());
                list.push(item);
                Ok(())
            }
        }
    }

    fn item(&self, object: &Object<'_>) -> Result<Item, ConfigError> {
        let mut field_places = BTreeMap::new();
        self.collect_places(object, "", &mut field_places)?;
        let value: Value = AstValue::Object(object.clone()).into();
        let fields = match value {
            Value::Object(fields) => fields,
            _ => Map::new(),
        };
        Ok(Item { place: self.place(object.range.start), fields, field_places })
    }

    fn collect_places(
        &self,
        object: &Object<'_>,
        prefix: &str,
        places: &mut BTreeMap<String, Place>,
    ) -> Result<(), ConfigError> {
        for property in &object.properties {
            let name = property.name.as_str();
            let path = match prefix {
                "" => name.to_owned(),
                prefix => format!("{prefix}.{name}"),
            };
            let place = self.place(property.range.start);
            if places.insert(path.clone(), place).is_some() {
                let problem = format!("field `{name}` stands twice in this item");
                return Err(self.error(property.range.start, problem, "keep one of the two"));
            }
            self.collect_value_places(&property.value, &path, places)?;
        }
        Ok(())
    }

    fn collect_value_places(
        &self,
        value: &AstValue<'_>,
        path: &str,
        places: &mut BTreeMap<String, Place>,
    ) -> Result<(), ConfigError> {
        match value {
            AstValue::Object(object) => self.collect_places(object, path, places),
            AstValue::Array(list) => {
                list.elements.iter().enumerate().try_for_each(|(n, element)| {
                    let path = format!("{path}[{n}]");
                    places.insert(path.clone(), self.place(element.range().start));
                    self.collect_value_places(element, &path, places)
                })
            }
            _ => Ok(()),
        }
    }
}

fn known(section: &str) -> bool {
    SECTIONS.contains(&section)
}
