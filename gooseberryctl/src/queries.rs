//! Commands that read.

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
use crate::output::say;
use crate::table;

/// The number of audit entries asked for at a time.
const AUDIT_PAGE: usize = 1_000;

/// Shows how the system stands.
pub async fn status(access: &Access) -> Result<(), Failure> {
    let call = Call::get("/v1/status");
    if let Some(status) = client::ask_for::<Status>(access, &call).await? {
        print_status(&status);
    }
    Ok(())
}

fn print_status(status: &Status) {
    let leader = status.leader.as_ref().map(|leader| leader.to_string());
    say!(
        "{}, {}; leader {}, term {}, committed {}, revision {}, configuration {}",
        status.instance,
        status.role,
        leader.unwrap_or_else(|| "unknown".to_owned()),
        status.term,
        status.committed,
        status.revision,
        if status.fresh { "fresh" } else { "not fresh" }
    );
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
    let heads = [
        "instance",
        "data centre",
        "region",
        "callers",
        "operators",
        "votes",
        "state",
        "revision",
    ];
    say!("");
    table::print(&heads, &rows);
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
    say!("");
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
        .map(|known| {
            vec![
                known.service.to_string(),
                known.version.to_string(),
                known.replaces.to_string(),
                known.phase.to_string(),
                known.share.to_string(),
                time::format(known.move_by),
                known.reason.to_string(),
            ]
        })
        .collect();
    let heads = [
        "service", "version", "replaces", "phase", "share", "move by", "reason",
    ];
    say!("");
    table::print(&heads, &rows);
}

/// Shows where a client account's callers should connect.
pub async fn addresses(
    access: &Access,
    account: &id::Account,
    callers: &[SocketAddr],
) -> Result<(), Failure> {
    let path = with_query("/v1/addresses", &[("account", Some(account.to_string()))]);
    let body = client::ask_any(callers, &Call::get(path), None).await?;
    if access.json {
        say!("{}", body.trim_end());
        return Ok(());
    }
    let answer: Addresses = client::parse(&body)?;
    for address in &answer.addresses {
        say!("{address}");
    }
    say!("to be asked again after {} ms", answer.ttl_ms);
    Ok(())
}

/// Prints the declaration in force, byte for byte.
pub async fn declaration(access: &Access) -> Result<(), Failure> {
    let body = client::ask(access, &Call::get("/v1/declaration")).await?;
    say!("{body}");
    Ok(())
}

/// Shows the upstreams that the platform lists.
pub async fn upstreams(access: &Access) -> Result<(), Failure> {
    let call = Call::get("/v1/upstreams");
    let Some(listed) =
        client::ask_for::<BTreeMap<id::Upstream, ListedUpstream>>(access, &call).await?
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
    let heads = [
        "upstream",
        "service",
        "address",
        "data centre",
        "release",
        "slots",
        "state",
    ];
    table::print(&heads, &rows);
    Ok(())
}

/// Shows the last rollout of each service.
pub async fn rollouts(access: &Access) -> Result<(), Failure> {
    let call = Call::get("/v1/rollouts");
    let Some(known) = client::ask_for::<BTreeMap<id::Service, Rollout>>(access, &call).await?
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
    let rows: Vec<Vec<String>> = known.iter().map(row).collect();
    let heads = ["service", "release", "stage", "since", "by", "reason"];
    table::print(&heads, &rows);
    Ok(())
}

/// Shows the audit trail, page by page to its end.
pub async fn audit(access: &Access, after: u64) -> Result<(), Failure> {
    let mut after = after;
    loop {
        let call = Call::get(format!("/v1/audit?after={after}&limit={AUDIT_PAGE}"));
        let body = client::ask(access, &call).await?;
        let page: Audit = client::parse(&body)?;
        if access.json {
            say!("{}", body.trim_end());
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
        say!(
            "entries {} to {} are no longer kept",
            after + 1,
            page.oldest - 1
        );
    }
    for entry in &page.entries {
        say!(
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

/// Shows who got what.
pub async fn report(access: &Access, wanted: &cli::Report) -> Result<(), Failure> {
    let to = wanted.to.map_or_else(SystemTime::now, |time| time.0);
    let format = match wanted.format {
        Format::Csv => "csv",
        Format::Json | Format::Table => "json",
    };
    let query = [
        ("from", Some(time::format(wanted.from.0))),
        ("to", Some(time::format(to))),
        (
            "account",
            wanted.account.as_ref().map(|name| name.to_string()),
        ),
        ("tier", wanted.tier.map(|tier| tier.to_string())),
        (
            "service",
            wanted.service.as_ref().map(|name| name.to_string()),
        ),
        (
            "version",
            wanted.version.as_ref().map(|name| name.to_string()),
        ),
        ("format", Some(format.to_owned())),
    ];
    let body = client::ask(access, &Call::get(with_query("/v1/report", &query))).await?;
    if access.json || wanted.format != Format::Table {
        say!("{}", body.trim_end());
        return Ok(());
    }
    print_report(&client::parse(&body)?);
    Ok(())
}

fn print_report(report: &Report) {
    say!(
        "{} to {}",
        time::format(report.from),
        time::format(report.to)
    );
    if let Some(kept) = report.kept_from {
        say!("counts before {} are no longer kept", time::format(kept));
    }
    let heads = [
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
    table::print(&heads, &rows);
    for gap in &report.gaps {
        let to = gap.to.map_or("now".to_owned(), time::format);
        say!(
            "gap: counts of {} from {} to {to} are lost: {}",
            gap.instance,
            time::format(gap.from),
            gap.cause
        );
    }
    for change in &report.moves {
        let direction = change.direction;
        say!(
            "{} {} {} {direction} traffic, share {}: {}",
            time::format(change.at),
            change.service,
            change.version,
            change.share,
            change.reason
        );
    }
    for counted in &report.counted {
        let until = time::format(counted.until);
        say!("{} is counted up to {until}", counted.instance);
    }
}

/// The path with the fields that have a value as its query.
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
