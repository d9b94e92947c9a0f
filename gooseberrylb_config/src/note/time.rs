//! Times of day in notes and answers, written as RFC 3339 in UTC (`2026-12-03T05:00:00Z`).

use std::time::SystemTime;

use serde::{Deserialize, Deserializer, Serializer, de};

/// The text of a time.
pub fn format(time: SystemTime) -> String {
    humantime::format_rfc3339_millis(time).to_string()
}

/// The time that a text says.
pub fn parse(text: &str) -> Result<SystemTime, humantime::TimestampError> {
    humantime::parse_rfc3339(text)
}

/// Writes the time.
pub fn serialize<S: Serializer>(time: &SystemTime, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(&humantime::format_rfc3339_millis(*time))
}

/// Reads the time.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<SystemTime, D::Error> {
    let text = String::deserialize(deserializer)?;
    humantime::parse_rfc3339(&text).map_err(de::Error::custom)
}

pub mod option {
    //! The same for a time that may be missing.

    use std::time::SystemTime;

    use serde::{Deserialize, Deserializer, Serializer, de};

    /// Writes the time.
    pub fn serialize<S: Serializer>(
        time: &Option<SystemTime>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        match time {
            Some(time) => serializer.serialize_some(&super::format(*time)),
            None => serializer.serialize_none(),
        }
    }

    /// Reads the time.
    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Option<SystemTime>, D::Error> {
        let text = Option::<String>::deserialize(deserializer)?;
        text.map(|t| humantime::parse_rfc3339(&t).map_err(de::Error::custom))
            .transpose()
    }
}
