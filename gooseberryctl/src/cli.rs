//! Command line options and their parser.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::SystemTime;

use bpaf::{OptionParser, Parser, construct, long, positional, pure};
use gooseberrylb_config::{id, number};

/// Options shared by all commands: how instances are reached and how responses are printed.
#[derive(Debug, Clone)]
pub struct Access {
    /// Operators' addresses of instances, tried in this order.
    pub instances: Vec<SocketAddr>,
    /// File that holds the operators' token.
    pub token_file: Option<PathBuf>,
    /// Whether responses are printed as the JSON received.
    pub json: bool,
}

/// Format in which a report is printed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// Table with aligned columns.
    Table,
    /// JSON as received.
    Json,
    /// Comma-separated values.
    Csv,
}

impl FromStr for Format {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "table" => Ok(Format::Table),
            "json" => Ok(Format::Json),
            "csv" => Ok(Format::Csv),
            _ => Err("expected table, json or csv"),
        }
    }
}

/// Point in time given on the command line.
#[derive(Debug, Clone, Copy)]
pub struct Time(pub SystemTime);

impl FromStr for Time {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        gooseberrylb_config::note::time::parse(text)
            .map(Time)
            .map_err(|error| format!("{error}; expected a time such as 2026-12-03T05:00:00Z"))
    }
}

/// Options of the `report` command.
#[derive(Debug, Clone)]
pub struct Report {
    /// Beginning of the period.
    pub from: Time,
    /// End of the period; the current time if `None`.
    pub to: Option<Time>,
    /// Client account to which the report is limited.
    pub account: Option<id::Account>,
    /// Tier to which the report is limited.
    pub tier: Option<number::Tier>,
    /// Service to which the report is limited.
    pub service: Option<id::Service>,
    /// Version to which the report is limited.
    pub version: Option<id::Version>,
    /// Format of the output.
    pub format: Format,
}

/// Options of the `explain placement` command.
#[derive(Debug, Clone)]
pub struct Placement {
    /// Name of the route.
    pub route: String,
    /// Client account, if the request has one.
    pub account: Option<id::Account>,
    /// Data centre of the entry that takes the request.
    pub data_centre: Option<id::DataCentre>,
    /// Length of the prompt, in tokens.
    pub prompt: u64,
    /// Expected output, in tokens.
    pub output: u64,
}

/// Command to run.
#[derive(Debug, Clone)]
pub enum Command {
    /// Submit a release note.
    Submit {
        /// File that holds the note.
        file: PathBuf,
    },
    /// Show the progress of a note.
    Show {
        /// Number of the note.
        note: number::Note,
    },
    /// List the accepted notes.
    List,
    /// Print the changes of a note until its moves are done or reverted.
    Watch {
        /// Number of the note.
        note: number::Note,
    },
    /// Show the status of the system.
    Status,
    /// Print the declaration in force, as it was sent.
    Declaration,
    /// Show the upstreams that the platform lists.
    Upstreams,
    /// Show the last rollout of each service.
    Rollouts,
    /// Show the data centres, and which of them are evacuated.
    Evacuations,
    /// Explain where a request would go now, without sending it.
    Placement(Placement),
    /// Evacuate a data centre, or end that.
    Evacuate {
        /// Name of the data centre.
        data_centre: id::DataCentre,
        /// Whether the evacuation begins rather than ends.
        active: bool,
    },
    /// Show the addresses that a client account's callers should connect to.
    Addresses {
        /// Name of the client account.
        account: id::Account,
        /// Callers' addresses of the instances to query, tried in this order.
        callers: Vec<SocketAddr>,
    },
    /// Show the audit trail.
    Audit {
        /// Number of the entry after which to start.
        after: u64,
    },
    /// Show the requests and tokens of a period by client account, tier, service and version.
    Report(Report),
}

/// Parsed command line.
#[derive(Debug, Clone)]
pub struct Options {
    /// Options shared by all commands.
    pub access: Access,
    /// Command to run.
    pub command: Command,
}

/// Returns the parser of the command line.
pub fn options() -> OptionParser<Options> {
    let access = access();
    let command = command();
    construct!(Options { access, command })
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Submits release notes to gooseberrylb and shows the state of the system.")
        .footer("Exit codes: 0 fine, 1 refused by the system, 2 bad usage or input, 3 no answer.")
}

/// Returns the parser of the shared options.
fn access() -> impl Parser<Access> {
    let instances = long("instance")
        .help("An instance's address for operators; may be repeated, tried in order")
        .argument::<SocketAddr>("IP:PORT")
        .many();
    let token_file = long("token-file")
        .help("The file that holds the operators' token")
        .argument::<PathBuf>("FILE")
        .optional();
    let json = long("json")
        .help("Print responses as the JSON received")
        .switch();
    construct!(Access {
        instances,
        token_file,
        json
    })
}

/// Returns the parser of the commands.
fn command() -> impl Parser<Command> {
    let note = note_command();
    let status = pure(Command::Status)
        .to_options()
        .descr("Show the status of the system")
        .command("status");
    let declaration = pure(Command::Declaration)
        .to_options()
        .descr("Print the declaration in force, as it was sent")
        .command("declaration");
    let upstreams = pure(Command::Upstreams)
        .to_options()
        .descr("Show the upstreams that the platform lists")
        .command("upstreams");
    let rollouts = pure(Command::Rollouts)
        .to_options()
        .descr("Show the last rollout of each service")
        .command("rollouts");
    let evacuation = evacuation_command();
    let explain = explain_command();
    let addresses = addresses_command();
    let audit = audit_command();
    let report = construct!(Command::Report(report_options()))
        .to_options()
        .descr("Show requests and tokens by client account, tier, service and version")
        .command("report");
    construct!([
        note,
        status,
        declaration,
        upstreams,
        rollouts,
        evacuation,
        explain,
        addresses,
        audit,
        report
    ])
}

/// Returns the parser of `note` and its subcommands.
fn note_command() -> impl Parser<Command> {
    let file = positional::<PathBuf>("FILE").help("The file that holds the note");
    let submit = construct!(Command::Submit { file })
        .to_options()
        .descr("Submit a release note; it is safe to submit the same note again")
        .command("submit");
    let note = number();
    let show = construct!(Command::Show { note })
        .to_options()
        .descr("Show the progress of a note")
        .command("show");
    let list = pure(Command::List)
        .to_options()
        .descr("List the accepted notes")
        .command("list");
    let note = number();
    let watch = construct!(Command::Watch { note })
        .to_options()
        .descr("Print the changes of a note until its moves are done or reverted")
        .command("watch");
    construct!([submit, show, list, watch])
        .to_options()
        .descr("Submit release notes and show their progress")
        .command("note")
}

/// Returns the parser of `explain` and its subcommands.
fn explain_command() -> impl Parser<Command> {
    let route = long("route")
        .help("The route of the declaration")
        .argument::<String>("ROUTE");
    let account = long("account")
        .help("The client account")
        .argument::<id::Account>("ACCOUNT")
        .optional();
    let data_centre = long("data-centre")
        .help("The data centre of the entry that takes the request")
        .argument::<id::DataCentre>("DATA_CENTRE")
        .optional();
    let prompt = long("prompt")
        .help("The length of the prompt, in tokens")
        .argument::<u64>("N")
        .fallback(0);
    let output = long("output")
        .help("The expected output, in tokens")
        .argument::<u64>("N")
        .fallback(0);
    let options = construct!(Placement {
        route,
        account,
        data_centre,
        prompt,
        output
    });
    construct!(Command::Placement(options))
        .to_options()
        .descr("Show where a request would go now and why, without sending or reserving anything")
        .command("placement")
        .to_options()
        .descr("Explain decisions")
        .command("explain")
}

/// Returns the parser of `evacuation` and its subcommands.
fn evacuation_command() -> impl Parser<Command> {
    let data_centre = || positional::<id::DataCentre>("DATA_CENTRE").help("The data centre's name");
    let order = |data_centre, active| Command::Evacuate {
        data_centre,
        active,
    };
    let start = data_centre()
        .map(move |name| order(name, true))
        .to_options()
        .descr("Send nothing more to the upstreams of a data centre; it is safe to repeat")
        .command("start");
    let end = data_centre()
        .map(move |name| order(name, false))
        .to_options()
        .descr("Send requests to the upstreams of a data centre again; it is safe to repeat")
        .command("end");
    let list = pure(Command::Evacuations)
        .to_options()
        .descr("Show the data centres, and which of them are evacuated")
        .command("list");
    construct!([start, end, list])
        .to_options()
        .descr("Evacuate data centres and show which are evacuated")
        .command("evacuation")
}

/// Returns the parser of the number of a note.
fn number() -> impl Parser<number::Note> {
    positional::<number::Note>("NUMBER").help("The note's number")
}

/// Returns the parser of `addresses`.
fn addresses_command() -> impl Parser<Command> {
    let account = long("account")
        .help("The client account")
        .argument::<id::Account>("ACCOUNT");
    let callers = long("callers")
        .help("An instance's address for callers; may be repeated, tried in order")
        .argument::<SocketAddr>("IP:PORT")
        .some("at least one address for callers is required");
    construct!(Command::Addresses { account, callers })
        .to_options()
        .descr("Show the addresses that a client account's callers should connect to")
        .command("addresses")
}

/// Returns the parser of `audit`.
fn audit_command() -> impl Parser<Command> {
    let after = long("after")
        .help("The number of the entry after which to start")
        .argument::<u64>("N")
        .fallback(0);
    construct!(Command::Audit { after })
        .to_options()
        .descr("Show the audit trail")
        .command("audit")
}

/// Returns the parser of the options of `report`.
fn report_options() -> impl Parser<Report> {
    let from = long("from")
        .help("The beginning of the period, such as 2026-12-03T05:00:00Z")
        .argument::<Time>("TIME");
    let to = long("to")
        .help("The end of the period; defaults to the current time")
        .argument::<Time>("TIME")
        .optional();
    let account = long("account")
        .help("Only this client account")
        .argument::<id::Account>("ACCOUNT")
        .optional();
    let tier = long("tier")
        .help("Only this tier")
        .argument::<number::Tier>("TIER")
        .optional();
    let service = long("service")
        .help("Only this service")
        .argument::<id::Service>("SERVICE")
        .optional();
    let version = long("version")
        .help("Only this version")
        .argument::<id::Version>("VERSION")
        .optional();
    let format = long("format")
        .help("The output format: table, json or csv")
        .argument::<Format>("FORMAT")
        .fallback(Format::Table);
    construct!(Report {
        from,
        to,
        account,
        tier,
        service,
        version,
        format
    })
}
