//! Fields that follow the last one that earlier releases know, in messages without field names.
//!
//! An earlier release ignores them, and its own messages end before them. Such a field has to be the
//! last one of the whole message. See `docs/design/README.md`.

use serde::{Deserialize, Deserializer};

/// Returns the value of the field, or the default if the message ends before it.
pub fn or_default<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de> + Default,
{
    Ok(T::deserialize(deserializer).unwrap_or_default())
}
