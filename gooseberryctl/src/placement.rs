//! Shows where a request would go now, and why.

use gooseberrylb_config::answer::placement::{Candidate, Obstacle, Placement, Verdict};
use http_types::Url;

use crate::cli::{self, Access};
use crate::client::{self, Call};
use crate::failure::Failure;
use crate::output::print_line;
use crate::table;

/// Prints the decision that would be made on a request, and the candidates.
pub async fn explain(access: &Access, question: &cli::Placement) -> Result<(), Failure> {
    let call = Call::get(path(question));
    let Some(placement) = client::fetch::<Placement>(access, &call).await? else {
        return Ok(());
    };
    let Some(service) = &placement.service else {
        print_line!("there is no such route or account");
        return Ok(());
    };
    match &placement.decided_by {
        Some(name) if *name == placement.answered_by => print_line!("decided by {name}"),
        Some(name) => print_line!(
            "answered by {}, which does not decide: {name} would",
            placement.answered_by
        ),
        None => print_line!("answered by {}; nobody decides now", placement.answered_by),
    }
    let Some(explanation) = &placement.explanation else {
        print_line!("{service}: {} has no dispatcher", placement.answered_by);
        return Ok(());
    };
    print_line!("{service}: {}", describe(&explanation.verdict));
    print_line!("{} requests of the service wait", explanation.waiting);
    let rows: Vec<_> = explanation.candidates.iter().map(row).collect();
    let headers = [
        "upstream",
        "data centre",
        "release",
        "running",
        "tokens",
        "first ms",
        "end ms",
        "obstacles",
    ];
    table::print(&headers, &rows);
    Ok(())
}

/// Returns the path of the query.
fn path(question: &cli::Placement) -> String {
    // Names of routes may have characters that a query must not.
    let mut url = Url::parse("http://instance/v1/placement").expect("the address is valid");
    let mut query = url.query_pairs_mut();
    query.append_pair("route", &question.route);
    query.append_pair("prompt", &question.prompt.to_string());
    query.append_pair("output", &question.output.to_string());
    if let Some(account) = &question.account {
        query.append_pair("account", account.as_str());
    }
    if let Some(data_centre) = &question.data_centre {
        query.append_pair("data_centre", data_centre.as_str());
    }
    drop(query);
    format!("{}?{}", url.path(), url.query().unwrap_or_default())
}

fn describe(verdict: &Verdict) -> String {
    match verdict {
        Verdict::Granted(upstream) => format!("would go to {upstream} at once"),
        Verdict::Waits { ahead } => format!("would wait behind {ahead} requests"),
        Verdict::Refused {
            reason,
            retry_after_ms,
        } => format!("would be refused ({reason}), to come back after {retry_after_ms} ms"),
        Verdict::Unknown => "nobody would decide on it".to_owned(),
    }
}

fn row(candidate: &Candidate) -> Vec<String> {
    let obstacles: Vec<String> = candidate.obstacles.iter().map(obstacle).collect();
    vec![
        candidate.upstream.to_string(),
        candidate.data_centre.to_string(),
        candidate.release.to_string(),
        format!("{} of {}", candidate.running, candidate.slots),
        candidate.tokens.to_string(),
        candidate.first_ms.to_string(),
        candidate.end_ms.to_string(),
        obstacles.join(", "),
    ]
}

fn obstacle(obstacle: &Obstacle) -> String {
    match obstacle {
        Obstacle::Excluded => "excluded".to_owned(),
        Obstacle::Leaving => "leaving".to_owned(),
        Obstacle::Release => "another release".to_owned(),
        Obstacle::Ejected => "fails".to_owned(),
        Obstacle::Closed { opens_ms: Some(ms) } => format!("closed for {ms} ms"),
        Obstacle::Closed { opens_ms: None } => "closed".to_owned(),
        Obstacle::Cold => "cold".to_owned(),
        Obstacle::Busy => "busy".to_owned(),
        Obstacle::Memory => "memory".to_owned(),
    }
}
