//! Wall-clock times in notes and responses, formatted as RFC 3339 in UTC (`2026-12-03T05:00:00Z`).

use std::time::SystemTime;

use serde::{Deserialize, Deserializer, Serializer, de};

/// Formats a time.
pub fn format(time: SystemTime) -> String {
    humantime::format_rfc3339_millis(time).to_string()
}

/// Parses a time.
pub fn parse(text: &str) -> Result<SystemTime, humantime::TimestampError> {
    humantime::parse_rfc3339(text)
}

/// Serializes a time as text.
pub fn serialize<S: Serializer>(time: &SystemTime, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(&humantime::format_rfc3339_millis(*time))
}

/// Deserializes a time from text.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<SystemTime, D::Error> {
    let text = String::deserialize(deserializer)?;
    humantime::parse_rfc3339(&text).map_err(de::Error::custom)
}

pub mod option {
    //! Serialization of an optional time.

    use std::time::SystemTime;

    use serde::{Deserialize, Deserializer, Serializer, de};

    /// Serializes an optional time as text.
    pub fn serialize<S: Serializer>(
        time: &Option<SystemTime>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        match time {
            Some(time) => serializer.serialize_some(&super::format(*time)),
            None => serializer.serialize_none(),
        }
    }

    /// Deserializes an optional time from text.
    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Option<SystemTime>, D::Error> {
        let text = Option::<String>::deserialize(deserializer)?;
        text.map(|t| humantime::parse_rfc3339(&t).map_err(de::Error::custom))
            .transpose()
    }
}
