//! The command line.

use argh::FromArgs;
use ploverlift_quarantine::subject::Subject;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code for invalid arguments.
const WRONG_USE: u8 = 2;

/// Router for language-model traffic with long shared prompts.
#[derive(FromArgs)]
pub struct Arguments {
    #[argh(subcommand)]
    pub command: Command,
}

impl Arguments {
    /// Reads the process's arguments; on help or wrong use prints and returns the exit code.
    pub fn parse() -> Result<Self, ExitCode> {
        let words: Vec<String> = std::env::args().collect();
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        let (name, rest) = words.split_first().unwrap_or((&"ploverlift", &[]));
        Self::from_args(&[*name], rest).map_err(|exit| match exit.status {
            Ok(()) => {
                println!("{}", exit.output);
                ExitCode::SUCCESS
            }
            Err(()) => {
                eprintln!("{}", exit.output);
                ExitCode::from(WRONG_USE)
            }
        })
    }
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Serve(ServeArguments),
    Gateway(GatewayArguments),
    Quarantine(QuarantineArguments),
    Limits(LimitsArguments),
    Dev(DevArguments),
    Check(CheckArguments),
    Apply(ApplyArguments),
    Delete(DeleteArguments),
    Get(GetArguments),
    Diff(DiffArguments),
    Status(StatusArguments),
    Drain(DrainArguments),
    Explain(ExplainArguments),
    Trace(TraceArguments),
}

/// Run a node until it is told to stop.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
pub struct ServeArguments {
    /// settings file (TOML)
    #[argh(option)]
    pub settings: PathBuf,
    /// address for callers, over the file's
    #[argh(option)]
    pub callers: Option<SocketAddr>,
    /// address for operators, over the file's
    #[argh(option)]
    pub operators: Option<SocketAddr>,
    /// address for other nodes, over the file's
    #[argh(option)]
    pub cluster: Option<SocketAddr>,
    /// address of the object API, over the file's
    #[argh(option)]
    pub platform: Option<SocketAddr>,
    /// cluster address of a node to ask first, over the file's; may be repeated
    #[argh(option)]
    pub seed: Vec<SocketAddr>,
}

/// Run a node that forwards HTTP requests by the platform's own protocols.
#[derive(FromArgs)]
#[argh(subcommand, name = "gateway")]
pub struct GatewayArguments {
    /// settings file (TOML)
    #[argh(option)]
    pub settings: PathBuf,
}

/// List the requests that all gateways refuse because engines ended under them, or release
/// one.
#[derive(FromArgs)]
#[argh(subcommand, name = "quarantine")]
pub struct QuarantineArguments {
    /// settings file (TOML) of a gateway
    #[argh(option)]
    pub settings: PathBuf,
    /// fingerprint of a request, or of a part of prompts (part-...), to release; gateways send it
    /// again within half a minute
    #[argh(option)]
    pub release: Option<Subject>,
}

/// List the engines that advertise a rate limit, with what they get beside it.
#[derive(FromArgs)]
#[argh(subcommand, name = "limits")]
pub struct LimitsArguments {
    /// metrics address of a gateway; give each node's, as only one counts for an engine
    #[argh(option)]
    pub metrics: Vec<SocketAddr>,
    /// seconds over which use is measured (default 4)
    #[argh(option, default = "4")]
    pub seconds: u64,
}

/// Run a whole small site in one process, to try things out.
#[derive(FromArgs)]
#[argh(subcommand, name = "dev")]
pub struct DevArguments {
    /// address for callers
    #[argh(option, default = "local(8080)")]
    pub listen: SocketAddr,
    /// address for operators
    #[argh(option, default = "local(8081)")]
    pub admin: SocketAddr,
}

/// Check settings files (.toml) and object files (.json) without a node.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArguments {
    /// files to check
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// Store the objects of files (.json) if nobody changed them meanwhile.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct ApplyArguments {
    /// operators' address of any node
    #[argh(option, default = "local(8081)")]
    pub admin: SocketAddr,
    /// answer as JSON
    #[argh(switch)]
    pub json: bool,
    /// files with objects
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// Delete an object.
#[derive(FromArgs)]
#[argh(subcommand, name = "delete")]
pub struct DeleteArguments {
    /// operators' address of any node
    #[argh(option, default = "local(8081)")]
    pub admin: SocketAddr,
    /// kind of object, as in 'route'
    #[argh(positional)]
    pub kind: String,
    /// name of the object
    #[argh(positional)]
    pub name: String,
}

/// Print objects as a node knows them.
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
pub struct GetArguments {
    /// operators' address of any node
    #[argh(option, default = "local(8081)")]
    pub admin: SocketAddr,
    /// answer as JSON
    #[argh(switch)]
    pub json: bool,
    /// kind of object, as in 'pools'
    #[argh(positional)]
    pub kind: String,
    /// name of one object
    #[argh(positional)]
    pub name: Option<String>,
}

/// Compare files with the objects in force; exit code 1 when they differ.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct DiffArguments {
    /// operators' address of any node
    #[argh(option, default = "local(8081)")]
    pub admin: SocketAddr,
    /// answer as JSON
    #[argh(switch)]
    pub json: bool,
    /// files with objects
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// Print a node's report on itself, its engines and the other nodes it knows.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArguments {
    /// operators' address of the node
    #[argh(option, default = "local(8081)")]
    pub admin: SocketAddr,
    /// answer as JSON
    #[argh(switch)]
    pub json: bool,
}

/// Tell a node to finish what it has and stop.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct DrainArguments {
    /// operators' address of the node
    #[argh(option, default = "local(8081)")]
    pub admin: SocketAddr,
}

/// Tell why a request went where it went.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArguments {
    /// operators' address of any node
    #[argh(option, default = "local(8081)")]
    pub admin: SocketAddr,
    /// answer as JSON
    #[argh(switch)]
    pub json: bool,
    /// the request's id, as in the answer's x-request-id
    #[argh(positional)]
    pub request: String,
}

/// Tell the story of one request from the collected logs of many nodes.
#[derive(FromArgs)]
#[argh(subcommand, name = "trace")]
pub struct TraceArguments {
    /// the request's id
    #[argh(positional)]
    pub request: String,
    /// log files (JSON lines); standard input when there are none
    #[argh(positional)]
    pub logs: Vec<PathBuf>,
}

fn local(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}
