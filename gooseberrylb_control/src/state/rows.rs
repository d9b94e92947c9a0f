//! Compact encoding of the rows of a tally: each name is written once and referred to by index.
//!
//! Tallies make up most of the log while there is traffic, and their rows share few names.

use gooseberrylb_config::{id, number};
use gooseberrylb_policy::request::Outcome;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

use super::{Counts, Label};

/// Encoded row of one label.
///
/// The numbers are the indices of its account, service and version, its tier, its encoded outcome,
/// and its counts of requests, prompt tokens, output tokens and wasted tokens.
#[derive(Serialize, Deserialize)]
struct Row(usize, usize, Option<usize>, u8, u8, u64, u64, u64, u64);

/// Encoded rows of a tally, with the names that they refer to.
#[derive(Default, Serialize, Deserialize)]
struct Table {
    /// Client accounts.
    accounts: Vec<id::Account>,
    /// Services.
    services: Vec<id::Service>,
    /// Versions.
    versions: Vec<id::Version>,
    /// Rows in the order of the tally.
    rows: Vec<Row>,
}

/// Returns the index of `name` in `names`, appending it if it is missing.
fn intern<T: PartialEq + Clone>(names: &mut Vec<T>, name: &T) -> usize {
    match names.iter().position(|known| known == name) {
        Some(index) => index,
        None => {
            names.push(name.clone());
            names.len() - 1
        }
    }
}

/// Encodes an outcome as an even number, plus 1 if the system refused the request.
fn encode_outcome(outcome: Outcome, refused: bool) -> u8 {
    let outcome = match outcome {
        Outcome::Served => 0,
        Outcome::NotRun => 2,
        Outcome::Unknown => 4,
    };
    outcome + u8::from(refused)
}

/// Decodes an outcome and whether the system refused the request.
fn decode_outcome(number: u8) -> Option<(Outcome, bool)> {
    let outcome = match number {
        0 | 1 => Outcome::Served,
        2 | 3 => Outcome::NotRun,
        4 | 5 => Outcome::Unknown,
        _ => return None,
    };
    Some((outcome, number % 2 == 1))
}

impl Table {
    /// Appends a row.
    fn add(&mut self, label: &Label, counts: &Counts) {
        let account = intern(&mut self.accounts, &label.account);
        let service = intern(&mut self.services, &label.service);
        let version = label.version.as_ref();
        let version = version.map(|version| intern(&mut self.versions, version));
        self.rows.push(Row(
            account,
            service,
            version,
            label.tier.0,
            encode_outcome(label.outcome, label.refused),
            counts.requests,
            counts.prompt_tokens,
            counts.output_tokens,
            counts.wasted_tokens,
        ));
    }

    /// Decodes a row, or returns `None` if it refers to a missing name or unknown outcome.
    fn decode(&self, row: &Row) -> Option<(Label, Counts)> {
        let version = match row.2 {
            Some(index) => Some(self.versions.get(index)?.clone()),
            None => None,
        };
        let (outcome, refused) = decode_outcome(row.4)?;
        let label = Label {
            account: self.accounts.get(row.0)?.clone(),
            tier: number::Tier(row.3),
            service: self.services.get(row.1)?.clone(),
            version,
            outcome,
            refused,
        };
        let counts = Counts {
            requests: row.5,
            prompt_tokens: row.6,
            output_tokens: row.7,
            wasted_tokens: row.8,
        };
        Some((label, counts))
    }
}

/// Serializes the rows as a [`Table`].
pub(super) fn serialize<S: Serializer>(
    rows: &[(Label, Counts)],
    serializer: S,
) -> Result<S::Ok, S::Error> {
    let mut table = Table::default();
    for (label, counts) in rows {
        table.add(label, counts);
    }
    table.serialize(serializer)
}

/// Deserializes the rows from a [`Table`].
pub(super) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<(Label, Counts)>, D::Error> {
    let table = Table::deserialize(deserializer)?;
    let rows = table.rows.iter().map(|row| table.decode(row));
    let rows: Option<Vec<_>> = rows.collect();
    rows.ok_or_else(|| de::Error::custom("a row refers to what its table does not hold"))
}
