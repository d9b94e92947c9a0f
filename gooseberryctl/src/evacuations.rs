//! Orders and shows evacuations of data centres.

use std::sync::Arc;

use gooseberrylb_config::directory::evacuation::Overview;
use gooseberrylb_config::id;
use gooseberrylb_config::note::time;

use crate::cli::Access;
use crate::client::{self, Call};
use crate::failure::Failure;
use crate::output::print_line;
use crate::table;

/// Orders an evacuation or withdraws it.
pub async fn order(
    access: &Access,
    data_centre: &id::DataCentre,
    active: bool,
) -> Result<(), Failure> {
    let path = format!("/v1/evacuations/{data_centre}");
    let call = match active {
        true => Call::post(path, String::new()),
        false => Call::delete(path),
    };
    let body = client::send(access, &call).await?;
    match (access.json, active) {
        (true, _) => print_line!("{}", body.trim_end()),
        (false, true) => print_line!("{data_centre} is evacuated"),
        (false, false) => print_line!("{data_centre} is not evacuated"),
    }
    Ok(())
}

/// Prints the data centres with the times of their evacuations.
pub async fn list(access: &Access) -> Result<(), Failure> {
    let call = Call::get("/v1/evacuations");
    let Some(overview) = client::fetch::<Overview>(access, &call).await? else {
        return Ok(());
    };
    let row = |name: &Arc<str>| {
        let since = overview.evacuated.get(name);
        let since = since.map(|evacuation| time::format(evacuation.since));
        vec![name.to_string(), since.unwrap_or_default()]
    };
    let names = overview.known.iter();
    let gone = overview.evacuated.keys();
    let gone = gone.filter(|name| !overview.known.contains(*name));
    let rows: Vec<Vec<String>> = names.chain(gone).map(row).collect();
    table::print(&["data centre", "evacuated since"], &rows);
    Ok(())
}
