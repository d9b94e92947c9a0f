//! Parses the query parameters of the operators' interface, and formats reports.

use std::time::SystemTime;

use gooseberrylb_config::answer::report::{Filter, Report};
use gooseberrylb_config::finding::Findings;
use http_types::{Response, StatusCode};
use serde::Deserialize;

use super::{Request, default_report_start};
use crate::answer::Error;
use crate::control::Question;
use crate::control::dispatch::placement;

/// Number of audit entries returned if the query has no limit.
const DEFAULT_ENTRIES: usize = 1_000;

/// Maximum number of audit entries returned at once.
const MAX_ENTRIES: usize = 5_000;

/// Format of a report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// JSON.
    #[default]
    Json,
    /// Comma-separated values.
    Csv,
}

/// Parameters of a report query.
pub struct Parameters {
    /// Selects what the report contains.
    pub filter: Filter,
    /// Format of the response.
    pub format: Format,
}

/// Returns the error response for findings on a query.
fn bad_query(findings: Findings) -> Error {
    Error::new(
        StatusCode::BadRequest,
        "bad_query",
        "the query cannot be accepted",
    )
    .with_findings(findings)
}

/// Parser of query parameters. Each parameter may occur once; unknown and repeated ones become
/// findings.
struct Pairs {
    /// Names and values that have not been read yet.
    pairs: Vec<(String, String)>,
    findings: Findings,
}

impl Pairs {
    fn new(request: &Request) -> Self {
        let pairs = request.url().query_pairs();
        let pairs = pairs
            .map(|(name, value)| (name.into_owned(), value.into_owned()))
            .collect();
        Self {
            pairs,
            findings: Findings::new(),
        }
    }

    /// Removes the parameter `name` and returns its value; an unreadable value becomes a finding.
    fn take<T>(&mut self, name: &str, read: impl Fn(&str) -> Result<T, String>) -> Option<T> {
        let position = self.pairs.iter().position(|(known, _)| known == name)?;
        let (_, value) = self.pairs.remove(position);
        match read(&value) {
            Ok(value) => Some(value),
            Err(message) => {
                self.findings.add(name, message);
                None
            }
        }
    }

    fn parse<T: std::str::FromStr>(&mut self, name: &str) -> Option<T>
    where
        T::Err: std::fmt::Display,
    {
        self.take(name, |text| {
            text.parse().map_err(|error: T::Err| error.to_string())
        })
    }

    /// Returns an error if there are findings or parameters that have not been read.
    fn finish(mut self) -> Result<(), Error> {
        for (name, _) in &self.pairs {
            self.findings
                .add(name.as_str(), "this parameter is not known or stands twice");
        }
        if self.findings.is_empty() {
            Ok(())
        } else {
            Err(bad_query(self.findings))
        }
    }
}

fn read_time(text: &str) -> Result<SystemTime, String> {
    humantime::parse_rfc3339_weak(text)
        .map_err(|error| format!("a time such as 2026-12-03T05:00:00Z is required: {error}"))
}

/// Parses a query for the audit trail.
pub fn audit(request: &Request) -> Result<Question, Error> {
    let mut pairs = Pairs::new(request);
    let after = pairs.parse("after").unwrap_or(0);
    let limit: usize = pairs.parse("limit").unwrap_or(DEFAULT_ENTRIES);
    pairs.finish()?;
    Ok(Question::Audit {
        after,
        limit: limit.min(MAX_ENTRIES),
    })
}

/// Parses a question for where a request would go.
pub fn placement(request: &Request) -> Result<Question, Error> {
    let mut pairs = Pairs::new(request);
    let route: Option<String> = pairs.parse("route");
    let question = placement::Question {
        route: route.unwrap_or_default().into(),
        account: pairs.parse("account"),
        data_centre: pairs.parse::<String>("data_centre").map(Into::into),
        prompt: pairs.parse("prompt").unwrap_or(0),
        output: pairs.parse("output").unwrap_or(0),
    };
    if question.route.is_empty() {
        pairs.findings.add("route", "a route is required");
    }
    pairs.finish()?;
    Ok(Question::Placement(question))
}

/// Parses a query for a report; without a `to` parameter, the report ends at `now`.
pub fn report(request: &Request, now: SystemTime) -> Result<Parameters, Error> {
    let mut pairs = Pairs::new(request);
    let to = pairs.take("to", read_time).unwrap_or(now);
    let from = pairs
        .take("from", read_time)
        .unwrap_or_else(|| default_report_start(to));
    let mut filter = Filter::new(from, to);
    filter.account = pairs.parse("account");
    filter.tier = pairs.parse("tier");
    filter.service = pairs.parse("service");
    filter.version = pairs.parse("version");
    let format = pairs.take("format", |text| match text {
        "json" => Ok(Format::Json),
        "csv" => Ok(Format::Csv),
        _ => Err("json or csv is required".to_owned()),
    });
    if from >= to {
        pairs
            .findings
            .add("from", "the report must begin before it ends");
    }
    pairs.finish()?;
    Ok(Parameters {
        filter,
        format: format.unwrap_or_default(),
    })
}

/// Converts a response with a JSON report to `format`.
pub async fn format(mut response: tide::Response, format: Format) -> tide::Response {
    if format == Format::Json || !response.status().is_success() {
        return response;
    }
    let Ok(report) = response.take_body().into_json::<Report>().await else {
        let message = "the report cannot be read back";
        let error = Error::new(StatusCode::InternalServerError, "internal", message);
        return Response::from(error).into();
    };
    let text = match super::sheet::write(&report) {
        Ok(text) => text,
        Err(error) => {
            let status = StatusCode::InternalServerError;
            return Response::from(Error::new(status, "internal", error.to_string())).into();
        }
    };
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(text);
    response.insert_header("Content-Type", "text/csv; charset=utf-8");
    response.into()
}
