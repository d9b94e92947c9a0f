//! Parser for typed values in JSON with comments, which reports all errors at once.
//!
//! A deserializer that stops at the first error makes an operator fix a file one error at a time.
//! This reader continues after an error and records the position of each value, so that later
//! checks can refer to it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::SystemTime;

use jsonc_parser::ast::{self, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

use crate::finding::Findings;
use crate::{id, number};

/// Type that can be read from a document.
pub(crate) trait Read: Sized {
    /// Reads the value, or adds a finding to `reader` and returns none.
    fn read(node: &Node<'_>, reader: &mut Reader<'_>) -> Option<Self>;
}

/// Value in a document with its path.
pub(crate) struct Node<'a> {
    /// Parsed JSON value.
    value: &'a Value<'a>,
    /// Path from the root, such as `added.upstreams[2].service`.
    path: String,
}

/// State of reading one document: positions of its values, and errors found.
pub(crate) struct Reader<'t> {
    /// Complete text, used to compute lines and columns.
    text: &'t str,
    /// Errors found so far.
    findings: Findings,
    /// Byte offset of each value that was read, by path.
    offsets: BTreeMap<String, usize>,
    /// Paths of the values with errors.
    invalid_paths: BTreeSet<String>,
}

/// Reads a value from `text` and validates it with `check`. The value is checked only if all of it
/// could be read.
pub(crate) fn parse<T: Read>(
    text: &str,
    check: impl FnOnce(&T) -> Findings,
) -> Result<T, Findings> {
    let mut reader = Reader::new(text);
    let Some(value) = reader.document::<T>() else {
        return Err(reader.findings);
    };
    for finding in check(&value).iter() {
        reader.add(&finding.place, &finding.message);
    }
    reader.findings.into_result(value)
}

/// Like [`parse`], but validates the readable values with `check` even if others cannot be read.
/// `placeholders` are JSON values, by field name, for required fields that are missing or
/// unreadable.
pub(crate) fn parse_with_placeholders<T: Read>(
    text: &str,
    placeholders: &[(&str, &str)],
    check: impl FnOnce(&T) -> Findings,
) -> Result<T, Findings> {
    let mut reader = Reader::new(text);
    let read = reader.document::<T>();
    let value = match read {
        Some(value) => Some(value),
        None => reader
            .valid_document(placeholders)
            .and_then(|document| Reader::new(&document).document()),
    };
    let Some(value) = value else {
        return Err(reader.findings);
    };
    let invalid_paths = reader.invalid_paths.clone();
    for finding in check(&value)
        .iter()
        .filter(|f| !is_invalid(&invalid_paths, &f.place))
    {
        reader.add(&finding.place, &finding.message);
    }
    reader.findings.into_result(value)
}

/// Whether `place` starts with the path of an invalid value, compared as text.
fn is_invalid(invalid_paths: &BTreeSet<String>, place: &str) -> bool {
    invalid_paths
        .iter()
        .any(|path| place.starts_with(path.as_str()))
}

/// Returns the accepted syntax: JSON with comments and trailing commas.
fn options() -> ParseOptions {
    ParseOptions {
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
    }
}

impl<'t> Reader<'t> {
    fn new(text: &'t str) -> Self {
        Self {
            text,
            findings: Findings::new(),
            offsets: BTreeMap::new(),
            invalid_paths: BTreeSet::new(),
        }
    }

    /// Parses the text and reads the value at its root.
    fn document<T: Read>(&mut self) -> Option<T> {
        let parsed = match parse_to_ast(self.text, &CollectOptions::default(), &options()) {
            Ok(parsed) => parsed,
            Err(error) => {
                let place = format!("{}:{}", error.line_display(), error.column_display());
                self.findings.add(place, error.kind().to_string());
                return None;
            }
        };
        let Some(value) = parsed.value else {
            self.findings.add("1:1", "the file holds no value");
            return None;
        };
        self.offsets.insert(String::new(), value.start());
        let path = String::new();
        T::read(
            &Node {
                value: &value,
                path,
            },
            self,
        )
    }

    /// Returns the document without its invalid values and with placeholders for required fields,
    /// if it is an object.
    fn valid_document(&self, placeholders: &[(&str, &str)]) -> Option<String> {
        let parsed = parse_to_ast(self.text, &CollectOptions::default(), &options()).ok()?;
        let Some(Value::Object(object)) = parsed.value else {
            return None;
        };
        let mut fields = self.valid_fields(&object, "");
        let present = |name: &str| object.properties.iter().any(|p| p.name.as_str() == name);
        for (name, json) in placeholders {
            if !present(name) || self.invalid_paths.contains(*name) {
                fields.push(format!("\"{name}\": {json}"));
            }
        }
        Some(format!("{{{}}}", fields.join(",")))
    }

    /// Returns the valid fields of an object as JSON. A list with an invalid item is left out as a
    /// whole.
    fn valid_fields(&self, object: &ast::Object<'_>, path: &str) -> Vec<String> {
        let mut fields = Vec::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let path = match path {
                "" => name.to_owned(),
                outer => format!("{outer}.{name}"),
            };
            if self.invalid_paths.contains(&path) {
                continue;
            }
            let is_inside =
                |invalid: &String| invalid.starts_with(&path) && invalid.len() > path.len();
            let has_invalid_part = self.invalid_paths.iter().any(is_inside);
            match &property.value {
                Value::Object(object) if has_invalid_part => {
                    let inner = self.valid_fields(object, &path).join(",");
                    fields.push(format!("\"{name}\": {{{inner}}}"));
                }
                _ if has_invalid_part => {}
                value => {
                    let json = &self.text[value.start()..value.end()];
                    fields.push(format!("\"{name}\": {json}"));
                }
            }
        }
        fields
    }

    /// Adds a finding about the value at `path`.
    pub(crate) fn add(&mut self, path: &str, message: &str) {
        let offset = self.nearest_offset(path);
        self.add_at(offset, path, message);
    }

    /// Returns the offset of the value at `path`, or of the nearest enclosing value that was read.
    fn nearest_offset(&self, path: &str) -> usize {
        let mut ancestor = path;
        loop {
            if let Some(offset) = self.offsets.get(ancestor) {
                return *offset;
            }
            let end = ancestor.rfind(['.', '[']).unwrap_or(0);
            ancestor = &ancestor[..end];
            if ancestor.is_empty() {
                return self.offsets.get("").copied().unwrap_or(0);
            }
        }
    }

    /// Adds a finding about the value at `path`, with the line and column of `offset`.
    fn add_at(&mut self, offset: usize, path: &str, message: &str) {
        let before = &self.text[..offset];
        let line_start = before.rfind('\n').map_or(0, |at| at + 1);
        let line = before.matches('\n').count() + 1;
        let column = before[line_start..].chars().count() + 1;
        let place = match path {
            "" => format!("{line}:{column}"),
            path => format!("{line}:{column} {path}"),
        };
        self.findings.add(place, message);
        self.invalid_paths.insert(path.to_owned());
    }

    /// Adds a finding about a value of an unexpected type.
    fn wrong_type(&mut self, node: &Node<'_>, expected: &str) {
        let found = match node.value {
            Value::StringLit(_) => "a text",
            Value::NumberLit(_) => "a number",
            Value::BooleanLit(_) => "true or false",
            Value::Object(_) => "an object",
            Value::Array(_) => "a list",
            Value::NullKeyword(_) => "null",
        };
        self.add(
            &node.path,
            &format!("{expected} is wanted here, not {found}"),
        );
    }

    /// Returns the fields of an object, or adds a finding if the value is not an object.
    pub(crate) fn object<'a>(&mut self, node: &'a Node<'a>) -> Option<Fields<'a>> {
        match node.value {
            Value::Object(object) => Some(Fields {
                object,
                path: &node.path,
                requested: Vec::new(),
            }),
            _ => {
                self.wrong_type(node, "an object");
                None
            }
        }
    }

    /// Parses a string.
    fn parse_text<T>(&mut self, node: &Node<'_>, expected: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: std::fmt::Display,
    {
        let Value::StringLit(text) = node.value else {
            self.wrong_type(node, expected);
            return None;
        };
        match text.value.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                let message = format!("{:?} is not {expected}: {error}", text.value);
                self.add(&node.path, &message);
                None
            }
        }
    }

    /// Parses a whole number; `max` is the largest accepted one, for the message of a finding.
    fn parse_number<T>(&mut self, node: &Node<'_>, max: u64) -> Option<T>
    where
        T: FromStr,
    {
        let Value::NumberLit(number) = node.value else {
            self.wrong_type(node, "a whole number");
            return None;
        };
        let value = number.value.parse().ok();
        if value.is_none() {
            let message = format!("{} is not a whole number from 0 to {max}", number.value);
            self.add(&node.path, &message);
        }
        value
    }
}

/// Fields of an object. Fields that are not requested are reported as unknown.
pub(crate) struct Fields<'a> {
    /// Object that is read.
    object: &'a ast::Object<'a>,
    /// Path of the object.
    path: &'a str,
    /// Names of the requested fields.
    requested: Vec<&'static str>,
}

impl<'a> Fields<'a> {
    /// Returns the path of a field.
    fn path_of(&self, name: &str) -> String {
        match self.path {
            "" => name.to_owned(),
            path => format!("{path}.{name}"),
        }
    }

    /// Returns a field, if present, and marks it as requested.
    fn get(&mut self, reader: &mut Reader<'_>, name: &'static str) -> Option<Node<'a>> {
        self.requested.push(name);
        let value = &self.object.get(name)?.value;
        let path = self.path_of(name);
        reader.offsets.insert(path.clone(), value.start());
        Some(Node { value, path })
    }

    /// Reads a required field.
    pub(crate) fn required<T: Read>(
        &mut self,
        reader: &mut Reader<'_>,
        name: &'static str,
    ) -> Option<T> {
        match self.get(reader, name) {
            Some(node) => T::read(&node, reader),
            None => {
                reader.add(&self.path_of(name), "this field is missing");
                None
            }
        }
    }

    /// Reads an optional field, or returns `default` if it is missing.
    pub(crate) fn with_default<T: Read>(
        &mut self,
        reader: &mut Reader<'_>,
        name: &'static str,
        default: T,
    ) -> Option<T> {
        match self.get(reader, name) {
            Some(node) => T::read(&node, reader),
            None => Some(default),
        }
    }

    /// Adds findings for unknown and duplicate fields.
    pub(crate) fn finish(self, reader: &mut Reader<'_>) {
        let mut seen = Vec::new();
        for property in &self.object.properties {
            let name = property.name.as_str();
            let path = self.path_of(name);
            if !self.requested.contains(&name) {
                let message = format!(
                    "there is no such field; known: {}",
                    self.requested.join(", ")
                );
                reader.add_at(property.start(), &path, &message);
            } else if seen.contains(&name) {
                reader.add_at(property.start(), &path, "this field stands twice");
            }
            seen.push(name);
        }
    }
}

/// Implements [`Read`] for a struct. Fields without a default are required.
macro_rules! read_object {
    ($type:ident { $($field:ident $(= $default:expr)?),* $(,)? }) => {
        impl $crate::reader::Read for $type {
            fn read(
                node: &$crate::reader::Node<'_>,
                reader: &mut $crate::reader::Reader<'_>,
            ) -> Option<Self> {
                let mut fields = reader.object(node)?;
                $(let $field = read_object!(@field fields reader $field $($default)?);)*
                fields.finish(reader);
                Some(Self { $($field: $field?),* })
            }
        }
    };
    (@field $fields:ident $reader:ident $field:ident) => {
        $fields.required($reader, stringify!($field))
    };
    (@field $fields:ident $reader:ident $field:ident $default:expr) => {
        $fields.with_default($reader, stringify!($field), $default)
    };
}
pub(crate) use read_object;

/// Implements [`Read`] for types that are written as strings.
macro_rules! read_text {
    ($($type:ty: $expected:literal),* $(,)?) => {$(
        impl Read for $type {
            fn read(node: &Node<'_>, reader: &mut Reader<'_>) -> Option<Self> {
                reader.parse_text(node, $expected)
            }
        }
    )*};
}

/// Implements [`Read`] for types that are written as whole numbers.
macro_rules! read_number {
    ($($type:ty: $inner:ty),* $(,)?) => {$(
        impl Read for $type {
            fn read(node: &Node<'_>, reader: &mut Reader<'_>) -> Option<Self> {
                reader.parse_number(node, <$inner>::MAX as u64)
            }
        }
    )*};
}

read_text! {
    id::Instance: "an instance's name",
    id::DataCentre: "a data centre's name",
    id::Region: "a region's name",
    id::Service: "a service's name",
    id::Route: "a route's name",
    id::Account: "a client account's name",
    id::Upstream: "an upstream's name",
    id::Version: "a version's name",
    id::Model: "a model's name",
    id::Adapter: "an adapter's name",
    id::Author: "an author's name",
    crate::note::Kind: "a kind of service",
    crate::settings::Level: "a log level",
    SocketAddr: "an IP number and a port such as 127.0.0.1:7001",
    PathBuf: "a path",
}

read_number! {
    u32: u32,
    u64: u64,
    usize: usize,
    number::Tier: u8,
    number::Note: u64,
    number::Bytes: u64,
    number::Slots: u32,
}

impl Read for f64 {
    fn read(node: &Node<'_>, reader: &mut Reader<'_>) -> Option<Self> {
        let Value::NumberLit(number) = node.value else {
            reader.wrong_type(node, "a number");
            return None;
        };
        let value = number
            .value
            .parse()
            .ok()
            .filter(|value: &f64| *value >= 0.0);
        if value.is_none() {
            let message = format!("{} is not a number from 0 up", number.value);
            reader.add(&node.path, &message);
        }
        value
    }
}

impl Read for bool {
    fn read(node: &Node<'_>, reader: &mut Reader<'_>) -> Option<Self> {
        match node.value {
            Value::BooleanLit(literal) => Some(literal.value),
            _ => {
                reader.wrong_type(node, "true or false");
                None
            }
        }
    }
}

impl Read for SystemTime {
    fn read(node: &Node<'_>, reader: &mut Reader<'_>) -> Option<Self> {
        let time: humantime::Timestamp =
            reader.parse_text(node, "a time in UTC such as 2026-12-03T05:00:00Z")?;
        Some(time.into())
    }
}

impl<T: Read> Read for Option<T> {
    fn read(node: &Node<'_>, reader: &mut Reader<'_>) -> Option<Self> {
        match node.value {
            Value::NullKeyword(_) => Some(None),
            _ => T::read(node, reader).map(Some),
        }
    }
}

impl<T: Read> Read for Vec<T> {
    fn read(node: &Node<'_>, reader: &mut Reader<'_>) -> Option<Self> {
        let Value::Array(array) = node.value else {
            reader.wrong_type(node, "a list");
            return None;
        };
        let items: Vec<Option<T>> = array
            .elements
            .iter()
            .enumerate()
            .map(|(i, value)| {
                let path = format!("{}[{i}]", node.path);
                reader.offsets.insert(path.clone(), value.start());
                T::read(&Node { value, path }, reader)
            })
            .collect();
        items.into_iter().collect()
    }
}
