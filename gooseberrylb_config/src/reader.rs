//! Reads typed values from JSON with comments and collects everything that is wrong on the way.
//!
//! A deserializer that stops at the first error makes an operator mend a file one run at a time,
//! so this reader goes on and remembers where each value stood.

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

/// A value that can be read from a document.
pub(crate) trait Read: Sized {
    /// Reads the value, or notes in `reader` why it cannot be read.
    fn read(node: &Node<'_>, reader: &mut Reader<'_>) -> Option<Self>;
}

/// A value in the document and the path to it.
pub(crate) struct Node<'a> {
    /// The value.
    value: &'a Value<'a>,
    /// The path from the top, such as `added.upstreams[2].service`.
    path: String,
}

/// Where the values stand, and what is wrong with them.
pub(crate) struct Reader<'t> {
    /// The whole text, from which lines and columns are counted.
    text: &'t str,
    /// What has been found so far.
    findings: Findings,
    /// The offset of each value that was read, by its path.
    offsets: BTreeMap<String, usize>,
    /// The paths that something is wrong with.
    broken: BTreeSet<String>,
}

/// Reads `text` as a whole, then adds what `check` finds in the value.
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

/// The same for a text of which some values cannot be read: what the others mean is checked all the
/// same, with `stand_ins` (fields and their JSON) in the places of required fields that are missing
/// or cannot be read.
pub(crate) fn parse_whole<T: Read>(
    text: &str,
    stand_ins: &[(&str, &str)],
    check: impl FnOnce(&T) -> Findings,
) -> Result<T, Findings> {
    let mut reader = Reader::new(text);
    let read = reader.document::<T>();
    let value = match read {
        Some(value) => Some(value),
        None => reader
            .salvage(stand_ins)
            .and_then(|rest| Reader::new(&rest).document()),
    };
    let Some(value) = value else {
        return Err(reader.findings);
    };
    let broken = reader.broken.clone();
    for finding in check(&value)
        .iter()
        .filter(|f| !concerns(&broken, &f.place))
    {
        reader.add(&finding.place, &finding.message);
    }
    reader.findings.into_result(value)
}

/// Whether a place, or what holds it, is among the broken ones.
fn concerns(broken: &BTreeSet<String>, place: &str) -> bool {
    broken.iter().any(|path| place.starts_with(path.as_str()))
}

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
            broken: BTreeSet::new(),
        }
    }

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

    /// The document without what is broken in it, where it is an object.
    fn salvage(&self, stand_ins: &[(&str, &str)]) -> Option<String> {
        let parsed = parse_to_ast(self.text, &CollectOptions::default(), &options()).ok()?;
        let Some(Value::Object(object)) = parsed.value else {
            return None;
        };
        let mut fields = self.sound_fields(&object, "");
        let present = |name: &str| object.properties.iter().any(|p| p.name.as_str() == name);
        for (name, json) in stand_ins {
            if !present(name) || self.broken.contains(*name) {
                fields.push(format!("\"{name}\": {json}"));
            }
        }
        Some(format!("{{{}}}", fields.join(",")))
    }

    /// The fields of an object that are not broken; lists go as a whole when an item is broken.
    fn sound_fields(&self, object: &ast::Object<'_>, path: &str) -> Vec<String> {
        let mut fields = Vec::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let path = match path {
                "" => name.to_owned(),
                outer => format!("{outer}.{name}"),
            };
            if self.broken.contains(&path) {
                continue;
            }
            let inner = |known: &String| known.starts_with(&path) && known.len() > path.len();
            let is_hurt = self.broken.iter().any(inner);
            match &property.value {
                Value::Object(object) if is_hurt => {
                    let inside = self.sound_fields(object, &path).join(",");
                    fields.push(format!("\"{name}\": {{{inside}}}"));
                }
                _ if is_hurt => {}
                value => {
                    let json = &self.text[value.start()..value.end()];
                    fields.push(format!("\"{name}\": {json}"));
                }
            }
        }
        fields
    }

    /// Notes that `message` is wrong with the value at `path`.
    pub(crate) fn add(&mut self, path: &str, message: &str) {
        let offset = self.nearest_offset(path);
        self.add_at(offset, path, message);
    }

    /// The offset of the value at `path`, or of the nearest value that holds it.
    fn nearest_offset(&self, path: &str) -> usize {
        let mut known = path;
        loop {
            if let Some(offset) = self.offsets.get(known) {
                return *offset;
            }
            let end = known.rfind(['.', '[']).unwrap_or(0);
            known = &known[..end];
            if known.is_empty() {
                return self.offsets.get("").copied().unwrap_or(0);
            }
        }
    }

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
        self.broken.insert(path.to_owned());
    }

    fn wrong_type(&mut self, node: &Node<'_>, wanted: &str) {
        let found = match node.value {
            Value::StringLit(_) => "a text",
            Value::NumberLit(_) => "a number",
            Value::BooleanLit(_) => "true or false",
            Value::Object(_) => "an object",
            Value::Array(_) => "a list",
            Value::NullKeyword(_) => "null",
        };
        self.add(&node.path, &format!("{wanted} is wanted here, not {found}"));
    }

    /// The fields of an object.
    pub(crate) fn object<'a>(&mut self, node: &'a Node<'a>) -> Option<Fields<'a>> {
        match node.value {
            Value::Object(object) => Some(Fields {
                object,
                path: &node.path,
                known: Vec::new(),
            }),
            _ => {
                self.wrong_type(node, "an object");
                None
            }
        }
    }

    fn parse_text<T>(&mut self, node: &Node<'_>, wanted: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: std::fmt::Display,
    {
        let Value::StringLit(text) = node.value else {
            self.wrong_type(node, wanted);
            return None;
        };
        match text.value.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                let message = format!("{:?} is not {wanted}: {error}", text.value);
                self.add(&node.path, &message);
                None
            }
        }
    }

    fn parse_number<T>(&mut self, node: &Node<'_>, largest: u64) -> Option<T>
    where
        T: FromStr,
    {
        let Value::NumberLit(number) = node.value else {
            self.wrong_type(node, "a whole number");
            return None;
        };
        let value = number.value.parse().ok();
        if value.is_none() {
            let message = format!("{} is not a whole number from 0 to {largest}", number.value);
            self.add(&node.path, &message);
        }
        value
    }
}

/// The fields of an object, of which those that nobody asks for are findings.
pub(crate) struct Fields<'a> {
    /// The object.
    object: &'a ast::Object<'a>,
    /// The path to it.
    path: &'a str,
    /// The names that were asked for.
    known: Vec<&'static str>,
}

impl<'a> Fields<'a> {
    fn path_of(&self, name: &str) -> String {
        match self.path {
            "" => name.to_owned(),
            path => format!("{path}.{name}"),
        }
    }

    fn get(&mut self, reader: &mut Reader<'_>, name: &'static str) -> Option<Node<'a>> {
        self.known.push(name);
        let value = &self.object.get(name)?.value;
        let path = self.path_of(name);
        reader.offsets.insert(path.clone(), value.start());
        Some(Node { value, path })
    }

    /// Reads a field that must be there.
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

    /// Reads a field that stands for `default` where it is missing.
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

    /// Notes the fields that nobody asked for and those that stand twice.
    pub(crate) fn finish(self, reader: &mut Reader<'_>) {
        let mut seen = Vec::new();
        for property in &self.object.properties {
            let name = property.name.as_str();
            let path = self.path_of(name);
            if !self.known.contains(&name) {
                let message = format!("there is no such field; known: {}", self.known.join(", "));
                reader.add_at(property.start(), &path, &message);
            } else if seen.contains(&name) {
                reader.add_at(property.start(), &path, "this field stands twice");
            }
            seen.push(name);
        }
    }
}

/// Implements [`Read`] for a struct: a field with no default is required.
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

/// Implements [`Read`] for types that are written as a text.
macro_rules! read_text {
    ($($type:ty: $wanted:literal),* $(,)?) => {$(
        impl Read for $type {
            fn read(node: &Node<'_>, reader: &mut Reader<'_>) -> Option<Self> {
                reader.parse_text(node, $wanted)
            }
        }
    )*};
}

/// Implements [`Read`] for types that are written as a whole number.
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
