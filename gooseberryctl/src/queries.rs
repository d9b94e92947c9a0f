//! Commands that query the system and print the response.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::SystemTime;

use gooseberrylb_config::answer::{Addresses, Audit, Report, Status};
use gooseberrylb_config::directory::ListedUpstream;
use gooseberrylb_config::directory::rollout::Rollout;
use gooseberrylb_config::id;
use gooseberrylb_config::note::time;
use http_types::Url;

use crate::cli::{self, Access, Format};
use crate::client::{self, Call};
use crate::failure::Failure;
use crate::output::print_line;
use crate::table;

/// Number of audit entries requested at a time.
const AUDIT_PAGE_SIZE: usize = 1_000;

/// Prints the status of the system as the queried instance sees it.
pub async fn status(access: &Access) -> Result<(), Failure> {
    let call = Call::get("/v1/status");
    if let Some(status) = client::fetch::<Status>(access, &call).await? {
        print_status(&status);
    }
    Ok(())
}

fn print_status(status: &Status) {
    let leader = status.leader.as_ref().map(|leader| leader.to_string());
    print_line!(
        "{}, {}; leader {}, term {}, committed {}, revision {}, configuration {}",
        status.instance,
        status.role,
        leader.unwrap_or_else(|| "unknown".to_owned()),
        status.term,
        status.committed,
        status.revision,
        if status.fresh { "fresh" } else { "not fresh" }
    );
    if let Some(losses) = status.losses_borne {
        let voters = status.voters.len();
        print_line!(
            "{voters} voters; there is a leader until {} of those that answer are lost",
            losses + 1
        );
    }
    let rows: Vec<Vec<String>> = status
        .instances
        .iter()
        .map(|instance| {
            vec![
                instance.name.to_string(),
                instance.data_centre.to_string(),
                instance.region.to_string(),
                instance.callers.to_string(),
                instance.operators.to_string(),
                if instance.voter { "voter" } else { "" }.to_owned(),
                if instance.leaving { "leaving" } else { "" }.to_owned(),
                instance.revision.map_or("?".to_owned(), |r| r.to_string()),
            ]
        })
        .collect();
    let headers = [
        "instance",
        "data centre",
        "region",
        "callers",
        "operators",
        "votes",
        "state",
        "revision",
    ];
    print_line!("");
    table::print(&headers, &rows);
    print_views(status);
    print_moves(status);
}

fn print_views(status: &Status) {
    if status.views.is_empty() {
        return;
    }
    let rows: Vec<Vec<String>> = status
        .views
        .iter()
        .map(|view| {
            let backups: Vec<&str> = view.backups.iter().map(|name| name.as_str()).collect();
            vec![
                view.service.to_string(),
                view.region.to_string(),
                view.view.to_string(),
                view.scheduler.to_string(),
                backups.join(" "),
            ]
        })
        .collect();
    print_line!("");
    table::print(
        &["service", "region", "view", "scheduler", "backups"],
        &rows,
    );
}

fn print_moves(status: &Status) {
    if status.moves.is_empty() {
        return;
    }
    let rows: Vec<Vec<String>> = status
        .moves
        .iter()
        .map(|entry| {
            vec![
                entry.service.to_string(),
                entry.version.to_string(),
                entry.replaces.to_string(),
                entry.phase.to_string(),
                entry.share.to_string(),
                time::format(entry.move_by),
                entry.reason.to_string(),
            ]
        })
        .collect();
    let headers = [
        "service", "version", "replaces", "phase", "share", "move by", "reason",
    ];
    print_line!("");
    table::print(&headers, &rows);
}

/// Prints the addresses that a client account's callers should connect to.
pub async fn addresses(
    access: &Access,
    account: &id::Account,
    callers: &[SocketAddr],
) -> Result<(), Failure> {
    let path = with_query("/v1/addresses", &[("account", Some(account.to_string()))]);
    let body = client::send_to_any(callers, &Call::get(path), None).await?;
    if access.json {
        print_line!("{}", body.trim_end());
        return Ok(());
    }
    let response: Addresses = client::parse(&body)?;
    for address in &response.addresses {
        print_line!("{address}");
    }
    print_line!("valid for {} ms", response.ttl_ms);
    Ok(())
}

/// Prints the declaration in force, byte for byte.
pub async fn declaration(access: &Access) -> Result<(), Failure> {
    let body = client::send(access, &Call::get("/v1/declaration")).await?;
    print_line!("{body}");
    Ok(())
}

/// Prints the upstreams that the platform lists.
pub async fn upstreams(access: &Access) -> Result<(), Failure> {
    let call = Call::get("/v1/upstreams");
    let Some(listed) =
        client::fetch::<BTreeMap<id::Upstream, ListedUpstream>>(access, &call).await?
    else {
        return Ok(());
    };
    let row = |(name, upstream): (&id::Upstream, &ListedUpstream)| {
        vec![
            name.to_string(),
            upstream.service.to_string(),
            upstream.address.to_string(),
            upstream.data_centre.to_string(),
            upstream.release.to_string(),
            upstream.slots.to_string(),
            if upstream.draining { "draining" } else { "" }.to_owned(),
        ]
    };
    let rows: Vec<Vec<String>> = listed.iter().map(row).collect();
    let headers = [
        "upstream",
        "service",
        "address",
        "data centre",
        "release",
        "slots",
        "state",
    ];
    table::print(&headers, &rows);
    Ok(())
}

/// Prints the last rollout of each service.
pub async fn rollouts(access: &Access) -> Result<(), Failure> {
    let call = Call::get("/v1/rollouts");
    let Some(rollouts) = client::fetch::<BTreeMap<id::Service, Rollout>>(access, &call).await?
    else {
        return Ok(());
    };
    let row = |(service, rollout): (&id::Service, &Rollout)| {
        vec![
            service.to_string(),
            rollout.release.to_string(),
            rollout.stage.to_string(),
            gooseberrylb_config::note::time::format(rollout.since),
            gooseberrylb_config::note::time::format(rollout.finish_by),
            rollout.reason.to_string(),
        ]
    };
    let rows: Vec<Vec<String>> = rollouts.iter().map(row).collect();
    let headers = ["service", "release", "stage", "since", "by", "reason"];
    table::print(&headers, &rows);
    Ok(())
}

/// Prints the audit trail after the entry with number `after`, page by page to its end.
pub async fn audit(access: &Access, after: u64) -> Result<(), Failure> {
    let mut after = after;
    loop {
        let call = Call::get(format!("/v1/audit?after={after}&limit={AUDIT_PAGE_SIZE}"));
        let body = client::send(access, &call).await?;
        let page: Audit = client::parse(&body)?;
        if access.json {
            print_line!("{}", body.trim_end());
        } else {
            print_audit(&page, after);
        }
        if !page.more {
            return Ok(());
        }
        after = page.after;
    }
}

fn print_audit(page: &Audit, after: u64) {
    if page.oldest > after + 1 {
        print_line!(
            "entries {} to {} are no longer kept",
            after + 1,
            page.oldest - 1
        );
    }
    for entry in &page.entries {
        print_line!(
            "{} {} {} {} {}: {}",
            entry.sequence,
            time::format(entry.at),
            entry.actor,
            entry.kind,
            entry.subject,
            entry.cause
        );
    }
}

/// Prints the requests and tokens of a period by client account, tier, service and version.
pub async fn report(access: &Access, options: &cli::Report) -> Result<(), Failure> {
    let to = options.to.map_or_else(SystemTime::now, |time| time.0);
    let format = match options.format {
        Format::Csv => "csv",
        Format::Json | Format::Table => "json",
    };
    let query = [
        ("from", Some(time::format(options.from.0))),
        ("to", Some(time::format(to))),
        (
            "account",
            options.account.as_ref().map(|name| name.to_string()),
        ),
        ("tier", options.tier.map(|tier| tier.to_string())),
        (
            "service",
            options.service.as_ref().map(|name| name.to_string()),
        ),
        (
            "version",
            options.version.as_ref().map(|name| name.to_string()),
        ),
        ("format", Some(format.to_owned())),
    ];
    let body = client::send(access, &Call::get(with_query("/v1/report", &query))).await?;
    if access.json || options.format != Format::Table {
        print_line!("{}", body.trim_end());
        return Ok(());
    }
    print_report(&client::parse(&body)?);
    Ok(())
}

fn print_report(report: &Report) {
    print_line!(
        "{} to {}",
        time::format(report.from),
        time::format(report.to)
    );
    if let Some(oldest) = report.kept_from {
        print_line!("counts before {} are no longer kept", time::format(oldest));
    }
    let headers = [
        "account",
        "tier",
        "service",
        "version",
        "served",
        "refused",
        "not run",
        "unknown",
        "prompt tokens",
        "output tokens",
        "wasted tokens",
    ];
    let rows: Vec<Vec<String>> = report
        .rows
        .iter()
        .map(|row| {
            vec![
                row.account.to_string(),
                row.tier.to_string(),
                row.service.to_string(),
                row.version
                    .as_ref()
                    .map_or("-".to_owned(), |v| v.to_string()),
                row.served.to_string(),
                row.refused.to_string(),
                row.not_run.to_string(),
                row.unknown.to_string(),
                row.prompt_tokens.to_string(),
                row.output_tokens.to_string(),
                row.wasted_tokens.to_string(),
            ]
        })
        .collect();
    table::print(&headers, &rows);
    for gap in &report.gaps {
        let to = gap.to.map_or("now".to_owned(), time::format);
        print_line!(
            "gap: counts of {} from {} to {to} are lost: {}",
            gap.instance,
            time::format(gap.from),
            gap.cause
        );
    }
    for change in &report.moves {
        let direction = change.direction;
        print_line!(
            "{} {} {} {direction} traffic, share {}: {}",
            time::format(change.at),
            change.service,
            change.version,
            change.share,
            change.reason
        );
    }
    for coverage in &report.counted {
        let until = time::format(coverage.until);
        print_line!("counts of {} are complete up to {until}", coverage.instance);
    }
}

/// Returns the path with a query made of the fields that have a value.
fn with_query(path: &str, fields: &[(&str, Option<String>)]) -> String {
    let mut url = Url::parse("http://localhost").expect("the base is a URL");
    url.set_path(path);
    for (name, value) in fields {
        if let Some(value) = value {
            url.query_pairs_mut().append_pair(name, value);
        }
    }
    format!("{}?{}", url.path(), url.query().unwrap_or_default())
}
