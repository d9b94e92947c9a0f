//! Digest of a note's content, used to distinguish a resend from a conflicting note of the same
//! number.
//!
//! Digests are stored, so they must not depend on how a release of the software encodes a note.
//! They are computed from a canonical form without empty fields and with fields sorted by name.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::Note;

/// Digest of a note's content, in hexadecimal.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(pub Arc<str>);

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl Note {
    /// Returns the digest of the content. Comments and the order of fields do not affect it.
    pub fn digest(&self) -> Digest {
        let content =
            serde_json::to_value(self).expect("a note serializes to objects with text keys");
        let mut canonical = String::new();
        write_canonical(&content, &mut canonical);
        let hash = blake3::hash(canonical.as_bytes());
        Digest(Arc::from(hash.to_hex().as_str()))
    }
}

/// Whether a value is empty, so that its field is omitted from the canonical form.
fn is_empty_value(value: &Value) -> bool {
    match value {
        Value::Null => true,
        Value::Array(items) => items.is_empty(),
        Value::Object(fields) => fields.values().all(is_empty_value),
        Value::Bool(_) | Value::Number(_) | Value::String(_) => false,
    }
}

/// Appends the canonical form of a value.
fn write_canonical(value: &Value, canonical: &mut String) {
    match value {
        Value::Object(fields) => {
            let mut fields: Vec<_> = fields.iter().filter(|(_, v)| !is_empty_value(v)).collect();
            fields.sort_by_key(|(name, _)| *name);
            canonical.push('{');
            for (name, value) in fields {
                canonical.push_str(&Value::from(name.as_str()).to_string());
                canonical.push(':');
                write_canonical(value, canonical);
                canonical.push(',');
            }
            canonical.push('}');
        }
        Value::Array(items) => {
            canonical.push('[');
            for item in items {
                write_canonical(item, canonical);
                canonical.push(',');
            }
            canonical.push(']');
        }
        Value::Null | Value::Bool(_) | Value::Number(_) | Value::String(_) => {
            canonical.push_str(&value.to_string());
        }
    }
}
