//! Measures the costs of fleets of real processes on this machine as their size and load grow, for
//! the page `docs/CAPACITY.md`: idle instances by role, release notes, restarts, and requests by
//! role.

use std::env;
use std::fs;

use anyhow::Context;
use serde::Serialize;

pub mod idle;
pub mod notes;
pub mod process;
pub mod requests;

/// Numbers of instances of the fleets that are measured without callers.
const FLEET_SIZES: [usize; 4] = [3, 6, 9, 12];

/// Results of one run.
#[derive(Debug, Serialize)]
pub struct Slopes {
    /// Number of processors of the machine.
    pub cores: usize,
    /// Load averages of the machine before the run, which show what else was running.
    pub load_before: String,
    /// Load averages of the machine after the run.
    pub load_after: String,
    /// Costs of instances without callers.
    pub idle: Vec<idle::Row>,
    /// Rates and times of release notes and restarts.
    pub notes: notes::Figures,
    /// Costs and times of requests.
    pub requests: Vec<requests::Row>,
}

/// Runs every measurement once. Prints all results as JSON if `json` is set, else each part as a
/// table when it is done.
pub async fn run(json: bool) -> anyhow::Result<()> {
    let program = env::current_exe().context("finding this program")?;
    let load_before = load_averages()?;
    let mut idle = Vec::new();
    for instances in FLEET_SIZES {
        idle.extend(idle::measure(&program, instances).await?);
    }
    if !json {
        print_idle(&idle);
    }
    let notes = notes::measure(&program).await?;
    if !json {
        print_notes(&notes);
    }
    let requests = requests::measure(&program).await?;
    let slopes = Slopes {
        cores: std::thread::available_parallelism().map_or(1, usize::from),
        load_before,
        load_after: load_averages()?,
        idle,
        notes,
        requests,
    };
    if json {
        println!("{}", serde_json::to_string_pretty(&slopes)?);
    } else {
        print_requests(&slopes.requests);
        println!(
            "\n{} cores, load averages {} before and {} after",
            slopes.cores, slopes.load_before, slopes.load_after
        );
    }
    Ok(())
}

fn load_averages() -> anyhow::Result<String> {
    let text = fs::read_to_string("/proc/loadavg").context("reading the load averages")?;
    let averages: Vec<&str> = text.split_whitespace().take(3).collect();
    Ok(averages.join(" "))
}

fn print_idle(rows: &[idle::Row]) {
    println!("Without callers, by instance:");
    println!("instances  role      count  cpu %  KB/s    MB");
    for row in rows {
        println!(
            "{:>9}  {:<8}  {:>5}  {:>5.2}  {:>4.1}  {:>4.1}",
            row.instances,
            row.role,
            row.count,
            row.cpu_percent,
            row.kilobytes_per_second,
            row.resident_megabytes
        );
    }
}

fn print_requests(rows: &[requests::Row]) {
    println!("\nRequests:");
    println!("kind    way                   callers  ended/s  p50 ms  p95 ms  others");
    for row in rows {
        println!(
            "{:<6}  {:<20}  {:>7}  {:>7.0}  {:>6.2}  {:>6.2}  {:>6}",
            row.kind,
            row.way,
            row.callers,
            row.ended_per_second,
            row.median_ms,
            row.slow_ms,
            row.not_served
        );
    }
    println!("\nA request's cost by role:");
    println!("kind    role       cpu us   bytes    MB");
    for row in rows {
        for cost in &row.costs {
            println!(
                "{:<6}  {:<9}  {:>6.0}  {:>6.0}  {:>4.1}",
                row.kind, cost.role, cost.cpu_micros, cost.bytes, cost.resident_megabytes
            );
        }
    }
}

fn print_notes(notes: &notes::Figures) {
    println!("\nRelease notes on {} voters:", notes.voters);
    for row in &notes.accepted {
        println!(
            "  {} operators: {:.0} accepted a second",
            row.operators, row.per_second
        );
    }
    println!(
        "  in force after {:.0} ms (median), {:.0} ms (longest of {})",
        notes.in_force_median_ms, notes.in_force_longest_ms, notes.in_force_count
    );
    for row in &notes.restarts {
        println!(
            "  a voter with {} notes is healthy {:.0} ms and fresh {:.0} ms after a kill",
            row.notes, row.healthy_ms, row.fresh_ms
        );
    }
}
