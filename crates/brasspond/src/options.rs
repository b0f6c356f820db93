//! Definition of the command line. The doc comments of options and commands are the help texts.

use bpaf::{Bpaf, OptionParser, Parser};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Output format of the client commands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OutputFormat {
    Table,
    Json,
    Yaml,
}

impl std::str::FromStr for OutputFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            "yaml" => Ok(Self::Yaml),
            _ => Err("allowed: table, json, yaml".to_owned()),
        }
    }
}

/// Node to call and format of the output.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct ClientOptions {
    /// Address of a node
    #[bpaf(argument("ADDRESS"))]
    pub(crate) server: SocketAddr,
    /// File with the caller's token
    #[bpaf(argument("FILE"))]
    pub(crate) token_file: PathBuf,
    /// Format of the output: table, json or yaml
    #[bpaf(
        short('o'),
        long("output"),
        argument("FORMAT"),
        fallback(OutputFormat::Table)
    )]
    pub(crate) output: OutputFormat,
}

/// Options of a cluster process.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct ProcessOptions {
    /// Settings file; if omitted, the file that the platform wrote for this process
    #[bpaf(argument("FILE"), optional)]
    pub(crate) settings: Option<PathBuf>,
    /// Least severe level to log: error, warn, info or debug
    #[bpaf(argument("LEVEL"), fallback("info".to_owned()))]
    pub(crate) log_level: String,
    /// Port that serves metrics, on the machine's own address
    #[bpaf(argument("PORT"), optional)]
    pub(crate) metrics_port: Option<u16>,
}

/// Object to explain and log files to read.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct ExplainOptions {
    /// ID of a request, item, job, usage window or request content
    #[bpaf(positional("ID"))]
    pub(crate) id: String,
    /// Log files, one per process
    #[bpaf(positional("FILE"), some("at least one log file"))]
    pub(crate) files: Vec<PathBuf>,
}

/// Settings to check.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct CheckProcessOptions {
    /// Settings file
    #[bpaf(positional("FILE"))]
    pub(crate) settings: PathBuf,
}

/// Settings file of a node, and options that override it.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct NodeOptions {
    /// Settings file
    #[bpaf(argument("FILE"))]
    pub(crate) settings: PathBuf,
    /// Unique name of the node
    #[bpaf(argument("NAME"), optional)]
    pub(crate) name: Option<String>,
    /// Region of the node
    #[bpaf(argument("NAME"), optional)]
    pub(crate) region: Option<String>,
    /// Zone of the node
    #[bpaf(argument("NAME"), optional)]
    pub(crate) zone: Option<String>,
    /// Address to listen on for callers, trainers and operators
    #[bpaf(argument("ADDRESS"), optional)]
    pub(crate) http: Option<String>,
    /// Address to listen on for other nodes
    #[bpaf(argument("ADDRESS"), optional)]
    pub(crate) peers: Option<String>,
    /// Address of another node; may be given several times
    #[bpaf(long("seed"), argument("ADDRESS"), many)]
    pub(crate) seed_addresses: Vec<String>,
    /// Address of the platform's object store
    #[bpaf(argument("ADDRESS"), optional)]
    pub(crate) store: Option<String>,
    /// Data folder, on a small local disk
    #[bpaf(argument("FOLDER"), optional)]
    pub(crate) data_folder: Option<String>,
    /// File with a key of the protocol between nodes; may be given several times
    #[bpaf(argument("FILE"), many)]
    pub(crate) key_file: Vec<String>,
    /// File to log to
    #[bpaf(argument("FILE"), optional)]
    pub(crate) log_file: Option<String>,
    /// Least severe level to log: error, warn, info or debug
    #[bpaf(argument("LEVEL"), optional)]
    pub(crate) log_level: Option<String>,
    /// Any other setting, such as limits.connections=500; may be given several times
    #[bpaf(argument("KEY=VALUE"), many)]
    pub(crate) set: Vec<String>,
}

/// Files to check.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct CheckOptions {
    /// Settings (.toml) and resource manifests (.yaml, .yml, .json)
    #[bpaf(positional("FILE"), some("at least one FILE is needed"))]
    pub(crate) files: Vec<PathBuf>,
}

/// Resources to show.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct GetOptions {
    #[bpaf(external)]
    pub(crate) client_options: ClientOptions,
    /// Kind of resource, such as researchgroups
    #[bpaf(positional("KIND"))]
    pub(crate) kind: String,
    /// Name of the resource; if omitted, all resources of the kind are shown
    #[bpaf(positional("NAME"), optional)]
    pub(crate) name: Option<String>,
}

/// Resources to write.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct ApplyOptions {
    #[bpaf(external)]
    pub(crate) client_options: ClientOptions,
    /// Check only, write nothing
    #[bpaf(switch)]
    pub(crate) dry_run: bool,
    /// Manifest files
    #[bpaf(positional("FILE"), some("at least one FILE is needed"))]
    pub(crate) files: Vec<PathBuf>,
}

/// Resources to watch.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct WatchOptions {
    #[bpaf(external)]
    pub(crate) client_options: ClientOptions,
    /// Number of changes after which to stop; if omitted, runs until interrupted
    #[bpaf(argument("N"), optional)]
    pub(crate) changes: Option<u64>,
    /// Kind of resource, such as researchgroups
    #[bpaf(positional("KIND"))]
    pub(crate) kind: String,
}

/// Options of the demonstration.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct DemoOptions {
    /// Seed of the run
    #[bpaf(argument("N"), fallback(1))]
    pub(crate) seed: u64,
    /// Steps that each trainer runs
    #[bpaf(argument("N"), fallback(4))]
    pub(crate) steps: u64,
    /// File to write the report to, as JSON
    #[bpaf(argument("FILE"), optional)]
    pub(crate) report: Option<PathBuf>,
    /// Least severe level to log: error, warn, info or debug
    #[bpaf(argument("LEVEL"), fallback("error".to_owned()))]
    pub(crate) log_level: String,
}

// Options of an emulated model engine. This is not a doc comment, because bpaf would add it to the
// help text.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct EngineOptions {
    /// Unique name of the engine
    #[bpaf(argument("NAME"))]
    pub(crate) name: String,
    /// Address to listen on
    #[bpaf(argument("ADDRESS"))]
    pub(crate) listen: SocketAddr,
    /// Address of the weight store
    #[bpaf(argument("ADDRESS"))]
    pub(crate) weights: SocketAddr,
    /// Model and version served at the start; may be given several times
    #[bpaf(argument("MODEL=VERSION"), many)]
    pub(crate) model: Vec<String>,
    /// Maximum number of requests in a batch
    #[bpaf(argument("N"), fallback(16))]
    pub(crate) max_running: u32,
    /// Median length of a response, in tokens
    #[bpaf(argument("N"), fallback(110.0))]
    pub(crate) median_tokens: f64,
    /// Random seed of failed weight changes
    #[bpaf(argument("N"), fallback(1))]
    pub(crate) seed: u64,
    /// File with the fault schedule
    #[bpaf(argument("FILE"), optional)]
    pub(crate) faults: Option<PathBuf>,
}

/// Stand-ins that run as separate processes.
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum EmulateOptions {
    /// The platform's object store, with its list of machines
    ///
    /// Example: brasspond emulate store --listen 127.0.0.1:7000 --load resources.yaml
    #[bpaf(command)]
    Store {
        /// Address to listen on
        #[bpaf(argument("ADDRESS"))]
        listen: SocketAddr,
        /// Manifest file to load at the start; may be given several times
        #[bpaf(argument("FILE"), many)]
        load: Vec<PathBuf>,
        /// File with the fault schedule
        #[bpaf(argument("FILE"), optional)]
        faults: Option<PathBuf>,
    },
    /// The rate-limited weight store
    ///
    /// Example: brasspond emulate weights --listen 127.0.0.1:7001
    #[bpaf(command)]
    Weights {
        /// Address to listen on
        #[bpaf(argument("ADDRESS"))]
        listen: SocketAddr,
        /// Maximum number of concurrent transfers
        #[bpaf(argument("N"), fallback(3))]
        slots: usize,
        /// Duration of a transfer, in milliseconds
        #[bpaf(argument("N"), fallback(400))]
        transfer_milliseconds: u64,
    },
    /// A model engine
    ///
    /// Example: brasspond emulate engine --name engine-0 --listen 127.0.0.1:9000
    ///   --weights 127.0.0.1:7001 --model blurbs=1
    #[bpaf(command)]
    Engine(#[bpaf(external(engine_options))] EngineOptions),
    /// A replica of a plain HTTP service
    ///
    /// Example: brasspond emulate service --name lending-0 --listen 127.0.0.1:9100
    #[bpaf(command)]
    Service {
        /// Name of the replica
        #[bpaf(argument("NAME"))]
        name: String,
        /// Address to listen on
        #[bpaf(argument("ADDRESS"))]
        listen: SocketAddr,
        /// Latency of each request, in milliseconds
        #[bpaf(argument("N"), fallback(2))]
        latency_milliseconds: u64,
    },
}

/// A half-open range of seeds, such as 1..100.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SeedRange(pub(crate) std::ops::Range<u64>);

impl std::str::FromStr for SeedRange {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let parsed = text
            .split_once("..")
            .and_then(|(first, end)| Some(first.parse().ok()?..end.parse().ok()?));
        let range = parsed.filter(|range: &std::ops::Range<u64>| !range.is_empty());
        range
            .map(Self)
            .ok_or_else(|| "allowed: FIRST..END, such as 1..100".to_owned())
    }
}

/// Options of the fuzzer.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct FuzzOptions {
    /// Range of seeds to run; END is not included
    #[bpaf(argument("FIRST..END"), fallback(SeedRange(1..101)))]
    pub(crate) seeds: SeedRange,
    /// Steps that each trainer runs
    #[bpaf(argument("N"), fallback(3))]
    pub(crate) steps: u64,
    /// Number of fault pairs per seed; the faults of a pair begin close together
    #[bpaf(argument("N"), fallback(2))]
    pub(crate) pairs: usize,
    /// Kind of fault to inject; may be given several times; all if not given
    #[bpaf(argument("KIND"), many)]
    pub(crate) fault: Vec<String>,
    /// Number of threads
    #[bpaf(argument("N"), fallback(4))]
    pub(crate) threads: usize,
}

/// Commands of the program.
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum Command {
    /// Run a node
    ///
    /// Example: brasspond node --settings node-0.toml --zone zone-b
    #[bpaf(command)]
    Node(#[bpaf(external(node_options))] NodeOptions),
    /// Run an edge process of a cluster, which serves callers
    ///
    /// Example: brasspond edge --settings settings.yaml
    #[bpaf(command)]
    Edge(#[bpaf(external(process_options))] ProcessOptions),
    /// Run a storage process of a cluster, which replicates its state
    ///
    /// Example: brasspond storage --settings settings.yaml
    #[bpaf(command)]
    Storage(#[bpaf(external(process_options))] ProcessOptions),
    /// Check the settings file of an edge or storage process
    ///
    /// Example: brasspond check-process settings.yaml
    #[bpaf(command("check-process"))]
    CheckProcess(#[bpaf(external(check_process_options))] CheckProcessOptions),
    /// Show from log files what happened to a request, item, job, usage window or request content
    ///
    /// Example: brasspond explain 9c41d07be2a35f68 edge-a-1.log storage-a-1.log
    #[bpaf(command)]
    Explain(#[bpaf(external(explain_options))] ExplainOptions),
    /// Check settings files of nodes and resource manifests
    ///
    /// Example: brasspond check node-0.toml resources.yaml
    #[bpaf(command)]
    Check(#[bpaf(external(check_options))] CheckOptions),
    /// Show resources
    ///
    /// Example: brasspond get --server 127.0.0.1:8080 --token-file operator.token researchgroups
    #[bpaf(command)]
    Get(#[bpaf(external(get_options))] GetOptions),
    /// Write resources
    ///
    /// Example: brasspond apply --server 127.0.0.1:8080 --token-file operator.token group.yaml
    #[bpaf(command)]
    Apply(#[bpaf(external(apply_options))] ApplyOptions),
    /// Show resources as they change
    ///
    /// Example: brasspond watch --server 127.0.0.1:8080 --token-file operator.token researchgroups
    #[bpaf(command)]
    Watch(#[bpaf(external(watch_options))] WatchOptions),
    /// Run a stand-in of the platform
    ///
    /// Example: brasspond emulate store --listen 127.0.0.1:7000
    #[bpaf(command)]
    Emulate(#[bpaf(external(emulate_options))] EmulateOptions),
    /// Run a demonstration of the whole system in one process
    ///
    /// Example: brasspond demo --seed 3 --report report.json
    #[bpaf(command)]
    Demo(#[bpaf(external(demo_options))] DemoOptions),
    /// Run seeds with random faults in simulated time and check the guarantees
    ///
    /// Example: brasspond fuzz --seeds 1..1000 --fault node-crash --fault store-down
    #[bpaf(command)]
    Fuzz(#[bpaf(external(fuzz_options))] FuzzOptions),
    /// Removed; its measurements are recorded in docs/MEASUREMENTS.md
    #[bpaf(command, hide)]
    Experiment {
        /// Arguments of the removed command, which are ignored
        #[bpaf(any("WORD", unless_help), many, hide)]
        _words: Vec<String>,
    },
    /// Print the digest of a token read from standard input
    ///
    /// Example: brasspond digest < operator.token
    #[bpaf(command)]
    Digest,
}

/// Returns every argument except a request for help.
fn unless_help(argument: String) -> Option<String> {
    let is_help = argument == "--help" || argument == "-h";
    (!is_help).then_some(argument)
}

/// Builds the parser of the command line.
pub(crate) fn command_line() -> OptionParser<Command> {
    command()
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Rollout service for reinforcement learning")
        .footer(
            "Exit codes: 0 success, 1 failure while running, 2 wrong usage or invalid input. \
             Shell completion: brasspond --bpaf-complete-style-bash (zsh, fish, elvish).",
        )
}
