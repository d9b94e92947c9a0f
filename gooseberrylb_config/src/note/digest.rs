//! The digest of a note's content, by which a resend is told from a conflict.
//!
//! Digests are stored, so they must not change with how a release happens to encode a note: fields
//! that hold nothing do not count, and the others count in the order of their names.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::Note;

/// A digest of a note's content.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(pub Arc<str>);

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl Note {
    /// The digest of the content, which comments and the order of fields do not change.
    pub fn digest(&self) -> Digest {
        let content = serde_json::to_value(self).expect("a note has only text keys");
        let mut canonical = String::new();
        write(&content, &mut canonical);
        let hash = blake3::hash(canonical.as_bytes());
        Digest(Arc::from(hash.to_hex().as_str()))
    }
}

/// Whether a value holds nothing, so that its field may as well be left out.
fn is_nothing(value: &Value) -> bool {
    match value {
        Value::Null => true,
        Value::Array(items) => items.is_empty(),
        Value::Object(fields) => fields.values().all(is_nothing),
        Value::Bool(_) | Value::Number(_) | Value::String(_) => false,
    }
}

fn write(value: &Value, canonical: &mut String) {
    match value {
        Value::Object(fields) => {
            let mut fields: Vec<_> = fields.iter().filter(|(_, v)| !is_nothing(v)).collect();
            fields.sort_by_key(|(name, _)| *name);
            canonical.push('{');
            for (name, value) in fields {
                canonical.push_str(&Value::from(name.as_str()).to_string());
                canonical.push(':');
                write(value, canonical);
                canonical.push(',');
            }
            canonical.push('}');
        }
        Value::Array(items) => {
            canonical.push('[');
            for item in items {
                write(item, canonical);
                canonical.push(',');
            }
            canonical.push(']');
        }
        Value::Null | Value::Bool(_) | Value::Number(_) | Value::String(_) => {
            canonical.push_str(&value.to_string());
        }
    }
}
