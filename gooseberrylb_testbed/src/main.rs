//! Command line of the testbed.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::{Context, bail};
use async_std::{future, task};
use bpaf::{OptionParser, Parser, construct, long, positional};
use gooseberrylb_testbed::demo;
use gooseberrylb_testbed::replay::trace::Trace;
use gooseberrylb_testbed::replay::{self, recorder};
use gooseberrylb_testbed::slopes;
use gooseberrylb_testbed::soak;
use gooseberrylb_testbed::standin::engine::{Engine, Settings};
use gooseberrylb_testbed::standin::plain::Service;

/// Subcommand with its options.
#[derive(Debug, Clone)]
enum Command {
    Instance {
        settings: PathBuf,
    },
    Demo,
    Engine {
        listen: SocketAddr,
        checks_fencing: bool,
    },
    Plain {
        listen: SocketAddr,
    },
    Replay {
        traces: Vec<PathBuf>,
    },
    Record {
        seed: u64,
        name: String,
    },
    Slopes {
        json: bool,
    },
    Soak(soak::Options),
}

fn instance() -> impl Parser<Command> {
    let settings = long("settings")
        .help("The instance's settings")
        .argument::<PathBuf>("FILE");
    construct!(Command::Instance { settings })
        .to_options()
        .descr("Runs an instance of gooseberrylb, by the daemon's own code.")
        .command("instance")
}

fn demo_command() -> impl Parser<Command> {
    bpaf::pure(Command::Demo)
        .to_options()
        .descr(
            "Runs a small fleet with stand-ins on loopback, and prints the results of some calls.",
        )
        .command("demo")
}

fn listen() -> impl Parser<SocketAddr> {
    long("listen")
        .help("Address to listen on")
        .argument::<SocketAddr>("IP:PORT")
}

fn engine() -> impl Parser<Command> {
    let listen = listen();
    let checks_fencing = long("checks-fencing")
        .help("Refuse orders that carry an old fencing number")
        .switch();
    construct!(Command::Engine {
        listen,
        checks_fencing
    })
    .to_options()
    .descr("Runs an engine stand-in until it is killed.")
    .command("engine")
}

fn plain() -> impl Parser<Command> {
    let listen = listen();
    construct!(Command::Plain { listen })
        .to_options()
        .descr("Runs a plain service stand-in until it is killed.")
        .command("plain")
}

fn replay() -> impl Parser<Command> {
    let traces = positional::<PathBuf>("TRACE")
        .help("Recorded trace")
        .some("at least one trace is required");
    construct!(Command::Replay { traces })
        .to_options()
        .descr("Replays traces in virtual time, and compares the scheduler with two baselines.")
        .command("replay")
}

fn record() -> impl Parser<Command> {
    let seed = long("seed")
        .help("Seed of the requests' random choices")
        .argument::<u64>("N")
        .fallback(1);
    let name = positional::<String>("NAME").help("orsenigo-dawn or benammar-launch");
    construct!(Command::Record { seed, name })
        .to_options()
        .descr("Generates a trace modelled on a company's workload, and prints it.")
        .command("record")
}

fn slopes() -> impl Parser<Command> {
    let json = long("json").help("Print JSON").switch();
    construct!(Command::Slopes { json })
        .to_options()
        .descr("Measures the costs of fleets on this machine as their size and load grow.")
        .command("slopes")
}

fn soak() -> impl Parser<Command> {
    let seed = long("seed")
        .help("First seed")
        .argument::<u64>("N")
        .fallback(1);
    let seed_count = long("seeds")
        .help("Number of seeds to run")
        .argument::<u64>("N")
        .fallback(1);
    let fault_seconds = long("seconds")
        .help("Seconds during which faults are injected")
        .argument::<u64>("S")
        .fallback(20);
    let keepers = long("keepers")
        .help("Number of instances that store the configuration on disk")
        .argument::<u8>("N")
        .fallback(3);
    let entries = long("entries")
        .help("Number of instances that take requests from callers")
        .argument::<u8>("N")
        .fallback(3);
    let callers = long("callers")
        .help("Number of concurrent callers")
        .argument::<usize>("N")
        .fallback(12);
    let change_limit_ms = long("change-limit-ms")
        .help("Time within which the instances put a confirmed declaration in force")
        .argument::<u64>("MS")
        .fallback(2_500);
    let drain_limit_ms = long("drain-limit-ms")
        .help("Time within which the instances stop using an upstream that leaves")
        .argument::<u64>("MS")
        .fallback(4_000);
    let full_disks = long("full-disks")
        .help("Fill the disks of keepers one after the other, once the faults are over")
        .switch();
    let lost_keepers = long("lost-keepers")
        .help("Replace keepers for good one after the other, once the faults are over")
        .switch();
    let log_folder = long("keep")
        .help("Folder for the logs of failed seeds")
        .argument::<PathBuf>("FOLDER")
        .fallback("target/soak".into());
    let program = long("program")
        .help("Program of the instances, run as `PROGRAM instance --settings FILE`")
        .argument::<PathBuf>("FILE")
        .map(soak::Program::older)
        .fallback_with(soak::Program::current);
    construct!(soak::Options {
        seed,
        seed_count,
        fault_seconds,
        keepers,
        entries,
        callers,
        change_limit_ms,
        drain_limit_ms,
        full_disks,
        lost_keepers,
        log_folder,
        program
    })
    .map(Command::Soak)
    .to_options()
    .descr("Injects random faults into deployments on a stand-in platform, and checks guarantees.")
    .command("soak")
}

fn options() -> OptionParser<Command> {
    let instance = instance();
    let demo = demo_command();
    let engine = engine();
    let plain = plain();
    let replay = replay();
    let record = record();
    let slopes = slopes();
    let soak = soak();
    construct!([instance, demo, engine, plain, replay, record, slopes, soak])
        .to_options()
        .descr("Stand-ins, fleets and replays for developing gooseberrylb.")
}

fn main() -> ExitCode {
    let result = match options().run() {
        Command::Instance { settings } => {
            let options = gooseberrylb::cli::Options {
                settings,
                check: false,
            };
            return gooseberrylb::run(options, std::sync::Arc::new(platform::Platform));
        }
        Command::Demo => task::block_on(demo::run()),
        Command::Engine {
            listen,
            checks_fencing,
        } => task::block_on(run_engine(listen, checks_fencing)),
        Command::Plain { listen } => task::block_on(run_plain(listen)),
        Command::Replay { traces } => run_replay(&traces),
        Command::Record { seed, name } => run_record(&name, seed),
        Command::Slopes { json } => task::block_on(slopes::run(json)),
        Command::Soak(options) => soak::run(&options),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run_engine(listen: SocketAddr, checks_fencing: bool) -> anyhow::Result<()> {
    let settings = Settings {
        checks_fencing,
        ..Settings::default()
    };
    let engine = Engine::start(listen, settings).await?;
    println!("engine at {}", engine.address());
    future::pending().await
}

async fn run_plain(listen: SocketAddr) -> anyhow::Result<()> {
    let service = Service::start(listen).await?;
    println!("plain service at {}", service.address());
    future::pending().await
}

fn run_replay(traces: &[PathBuf]) -> anyhow::Result<()> {
    for path in traces {
        let trace = Trace::load(path).with_context(|| format!("reading {}", path.display()))?;
        println!("{}", replay::report(&trace));
    }
    Ok(())
}

fn run_record(name: &str, seed: u64) -> anyhow::Result<()> {
    let trace = match name {
        "orsenigo-dawn" => recorder::orsenigo_dawn(seed)?,
        "benammar-launch" => recorder::benammar_launch(seed)?,
        _ => bail!("no trace is called {name}"),
    };
    let requests = trace.requests.iter().map(serde_json::to_string);
    let rows = requests.collect::<Result<Vec<_>, _>>()?.join(",\n");
    let head = Trace {
        requests: Vec::new(),
        ..trace
    };
    // One request per line keeps the file readable and its diffs small.
    let head = serde_json::to_string_pretty(&head)?;
    println!(
        "{}",
        head.replace("\"requests\": []", &format!("\"requests\": [\n{rows}\n]"))
    );
    Ok(())
}
