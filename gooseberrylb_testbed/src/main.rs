//! The testbed's command line.

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

/// What the command line asks for.
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

fn demonstration() -> impl Parser<Command> {
    bpaf::pure(Command::Demo)
        .to_options()
        .descr("Runs a small fleet with stand-ins on loopback, and shows what comes of some calls.")
        .command("demo")
}

fn listen() -> impl Parser<SocketAddr> {
    long("listen")
        .help("Where to listen")
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
        .help("A recorded trace")
        .some("a trace is needed");
    construct!(Command::Replay { traces })
        .to_options()
        .descr("Replays traces in virtual time, and compares the scheduler with two baselines.")
        .command("replay")
}

fn record() -> impl Parser<Command> {
    let seed = long("seed")
        .help("The seed that the requests are drawn from")
        .argument::<u64>("N")
        .fallback(1);
    let name = positional::<String>("NAME").help("orsenigo-dawn or benammar-launch");
    construct!(Command::Record { seed, name })
        .to_options()
        .descr("Records a trace in the shape of a firm's workload, and writes it to the output.")
        .command("record")
}

fn slopes() -> impl Parser<Command> {
    let json = long("json").help("Print JSON").switch();
    construct!(Command::Slopes { json })
        .to_options()
        .descr("Measures what fleets cost on this machine as their numbers grow.")
        .command("slopes")
}

fn soak() -> impl Parser<Command> {
    let seed = long("seed")
        .help("The first seed")
        .argument::<u64>("N")
        .fallback(1);
    let seed_count = long("seeds")
        .help("How many seeds are played")
        .argument::<u64>("N")
        .fallback(1);
    let fault_seconds = long("seconds")
        .help("How long faults are put in")
        .argument::<u64>("S")
        .fallback(20);
    let keepers = long("keepers")
        .help("The instances with a disk")
        .argument::<u8>("N")
        .fallback(3);
    let entries = long("entries")
        .help("The instances that serve callers")
        .argument::<u8>("N")
        .fallback(3);
    let callers = long("callers")
        .help("The callers")
        .argument::<usize>("N")
        .fallback(12);
    let log_folder = long("keep")
        .help("Where the logs of failed seeds are kept")
        .argument::<PathBuf>("FOLDER")
        .fallback("target/soak".into());
    let program = bpaf::pure_with(std::env::current_exe);
    construct!(soak::Options {
        seed,
        seed_count,
        fault_seconds,
        keepers,
        entries,
        callers,
        log_folder,
        program
    })
    .map(Command::Soak)
    .to_options()
    .descr("Harms deployments on a stand-in platform at random, and checks what is promised.")
    .command("soak")
}

fn options() -> OptionParser<Command> {
    let instance = instance();
    let demo = demonstration();
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
    let done = match options().run() {
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
    match done {
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
    // One row a line keeps the file readable and its differences small.
    let head = serde_json::to_string_pretty(&head)?;
    println!(
        "{}",
        head.replace("\"requests\": []", &format!("\"requests\": [\n{rows}\n]"))
    );
    Ok(())
}
