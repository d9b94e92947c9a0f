//! The rows of a tally as the log carries them: names once, and numbers that stand for them.
//!
//! Tallies are most of the log while there is traffic, and their rows repeat few names.

use gooseberrylb_config::{id, number};
use gooseberrylb_policy::request::Outcome;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

use super::{Counts, Label};

/// The row of one label: the places of its account, service and version in their lists, its tier,
/// the number of its outcome, and its counts.
#[derive(Serialize, Deserialize)]
struct Row(usize, usize, Option<usize>, u8, u8, u64, u64, u64, u64);

/// All rows of a tally.
#[derive(Default, Serialize, Deserialize)]
struct Table {
    /// The client accounts.
    accounts: Vec<id::Account>,
    /// The services.
    services: Vec<id::Service>,
    /// The versions.
    versions: Vec<id::Version>,
    /// The rows.
    rows: Vec<Row>,
}

/// The place of `name` in `names`, to which it is added where it is missing.
fn place<T: PartialEq + Clone>(names: &mut Vec<T>, name: &T) -> usize {
    match names.iter().position(|known| known == name) {
        Some(place) => place,
        None => {
            names.push(name.clone());
            names.len() - 1
        }
    }
}

fn outcome_number(outcome: Outcome, refused: bool) -> u8 {
    let outcome = match outcome {
        Outcome::Served => 0,
        Outcome::NotRun => 2,
        Outcome::Unknown => 4,
    };
    outcome + u8::from(refused)
}

fn outcome(number: u8) -> Option<(Outcome, bool)> {
    let outcome = match number {
        0 | 1 => Outcome::Served,
        2 | 3 => Outcome::NotRun,
        4 | 5 => Outcome::Unknown,
        _ => return None,
    };
    Some((outcome, number % 2 == 1))
}

impl Table {
    fn add(&mut self, label: &Label, counts: &Counts) {
        let account = place(&mut self.accounts, &label.account);
        let service = place(&mut self.services, &label.service);
        let version = label.version.as_ref();
        let version = version.map(|version| place(&mut self.versions, version));
        self.rows.push(Row(
            account,
            service,
            version,
            label.tier.0,
            outcome_number(label.outcome, label.refused),
            counts.requests,
            counts.prompt_tokens,
            counts.output_tokens,
            counts.wasted_tokens,
        ));
    }

    fn read(&self, row: &Row) -> Option<(Label, Counts)> {
        let version = match row.2 {
            Some(place) => Some(self.versions.get(place)?.clone()),
            None => None,
        };
        let (outcome, refused) = outcome(row.4)?;
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

/// Writes the rows.
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

/// Reads the rows.
pub(super) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<(Label, Counts)>, D::Error> {
    let table = Table::deserialize(deserializer)?;
    let rows = table.rows.iter().map(|row| table.read(row));
    let rows: Option<Vec<_>> = rows.collect();
    rows.ok_or_else(|| de::Error::custom("a row refers to what its table does not hold"))
}
