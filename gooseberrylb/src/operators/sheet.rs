//! Writes reports as comma-separated values: one table, whose first column is the type of the
//! record.

use std::time::SystemTime;

use gooseberrylb_config::answer::report::{Change, Direction, Gap, Report, Row};
use serde::Serialize;

/// One record; fields that do not apply to its type are empty.
#[derive(Debug, Default, Serialize)]
struct Line {
    record: &'static str,
    from: Option<String>,
    to: Option<String>,
    account: Option<String>,
    tier: Option<String>,
    service: Option<String>,
    version: Option<String>,
    instance: Option<String>,
    served: Option<u64>,
    refused: Option<u64>,
    not_run: Option<u64>,
    unknown: Option<u64>,
    prompt_tokens: Option<u64>,
    output_tokens: Option<u64>,
    wasted_tokens: Option<u64>,
    share: Option<u16>,
    reason: Option<String>,
}

fn time(time: SystemTime) -> Option<String> {
    Some(humantime::format_rfc3339_millis(time).to_string())
}

fn counts(report: &Report, row: &Row) -> Line {
    Line {
        record: "counts",
        from: time(report.from),
        to: time(report.to),
        account: Some(row.account.to_string()),
        tier: Some(row.tier.to_string()),
        service: Some(row.service.to_string()),
        version: row.version.as_ref().map(ToString::to_string),
        served: Some(row.served),
        refused: Some(row.refused),
        not_run: Some(row.not_run),
        unknown: Some(row.unknown),
        prompt_tokens: Some(row.prompt_tokens),
        output_tokens: Some(row.output_tokens),
        wasted_tokens: Some(row.wasted_tokens),
        ..Line::default()
    }
}

fn gap(gap: &Gap) -> Line {
    Line {
        record: "gap",
        from: time(gap.from),
        to: gap.to.and_then(time),
        instance: Some(gap.instance.to_string()),
        reason: Some(gap.cause.to_string()),
        ..Line::default()
    }
}

fn change(change: &Change) -> Line {
    Line {
        record: match change.direction {
            Direction::Took => "took",
            Direction::GaveBack => "gave_back",
        },
        from: time(change.at),
        service: Some(change.service.to_string()),
        version: Some(change.version.to_string()),
        share: Some(change.share.0),
        reason: Some(change.reason.to_string()),
        ..Line::default()
    }
}

/// Returns a report as comma-separated values, with a header line.
pub fn write(report: &Report) -> Result<Vec<u8>, csv::Error> {
    let mut writer = csv::Writer::from_writer(Vec::new());
    for row in &report.rows {
        writer.serialize(counts(report, row))?;
    }
    for lost in &report.gaps {
        writer.serialize(gap(lost))?;
    }
    for moved in &report.moves {
        writer.serialize(change(moved))?;
    }
    writer
        .into_inner()
        .map_err(|error| error.into_error().into())
}
