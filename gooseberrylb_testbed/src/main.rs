//! The testbed's command line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use async_std::{future, task};
use bpaf::{OptionParser, Parser, construct, long};
use gooseberrylb_testbed::demo;
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

fn options() -> OptionParser<Command> {
    let instance = instance();
    let demo = demonstration();
    let engine = engine();
    let plain = plain();
    construct!([instance, demo, engine, plain])
        .to_options()
        .descr("Stand-ins, fleets and replays for developing gooseberrylb.")
}

fn main() -> ExitCode {
    let done = match options().run() {
        Command::Instance { settings } => {
            eprintln!("{} is not run yet", settings.display());
            return ExitCode::FAILURE;
        }
        Command::Demo => task::block_on(demo::run()),
        Command::Engine {
            listen,
            checks_fencing,
        } => task::block_on(run_engine(listen, checks_fencing)),
        Command::Plain { listen } => task::block_on(run_plain(listen)),
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
