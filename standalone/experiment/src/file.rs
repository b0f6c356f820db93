//! Experiment files: checked once, all findings at once.

use brasspond_emulator::LengthDistribution;
use brasspond_findings::{Field, Finding, Kind, check, parse_toml};
use brasspond_resource::SwapPolicy;
use serde::{Deserialize, Serialize};

/// A policy under comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyName {
    /// What the running node does.
    Brasspond,
    /// Each engine in turn, bound as the step opens.
    RoundRobin,
    /// Fewest requests over all engines, bound as the step opens.
    LeastRequests,
    /// The less loaded of two, bound as the step opens.
    PowerOfTwo,
    /// Wait for a whole batch, swap weights on idle engines, open the next.
    WholeBatch,
}

impl PolicyName {
    /// Name in files and reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Brasspond => "brasspond",
            Self::RoundRobin => "round-robin",
            Self::LeastRequests => "least-requests",
            Self::PowerOfTwo => "power-of-two",
            Self::WholeBatch => "whole-batch",
        }
    }
}

/// Machines.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Fleet {
    /// Regions.
    pub regions: usize,
    /// Zones a region.
    pub zones_per_region: usize,
    /// Nodes.
    pub nodes: usize,
    /// Engines.
    pub engines: usize,
    /// Largest batch of an engine.
    pub max_running: u32,
    /// Transfers the weight store serves at a time.
    pub weight_slots: usize,
    /// Time of a transfer of weights, in milliseconds.
    pub weight_transfer_milliseconds: u64,
    /// Probability that a message between nodes is lost.
    #[serde(default)]
    pub loss: f64,
    /// Probability that a swap of weights fails.
    #[serde(default)]
    pub swap_failure: f64,
}

/// A research group and its work.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Group {
    /// Name.
    pub name: String,
    /// Declared weight.
    pub share: f64,
    /// Staleness bound, in versions.
    pub max_staleness: u64,
    /// How running samples meet new weights.
    #[serde(default)]
    pub swap: SwapPolicy,
    /// Steps to play.
    pub steps: u64,
    /// Prompts a step.
    pub prompts: u32,
    /// Samples a prompt.
    pub samples_per_prompt: u32,
    /// Bytes of a prompt.
    pub prompt_bytes: usize,
    /// Longest answer, in tokens.
    pub max_tokens: u32,
    /// Steps opened ahead.
    pub steps_ahead: u64,
    /// Time to train on a step, in seconds.
    pub training_seconds: f64,
    /// Time between publications; 0 publishes after each step.
    #[serde(default)]
    pub publish_seconds: f64,
}

/// Callers beside the rollouts.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct Callers {
    /// Requests to models a second.
    pub rate: f64,
    /// Longest answer, in tokens.
    pub tokens: u32,
    /// Bytes of a prompt.
    pub prompt_bytes: usize,
}

/// A fault.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct FaultEntry {
    /// Kind, as `brasspond fuzz` names it.
    pub kind: String,
    /// When, in seconds.
    pub at_seconds: f64,
    /// How long, in seconds.
    pub lasts_seconds: f64,
    /// Which node, engine or zone.
    pub target: usize,
}

/// An experiment.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Experiment {
    /// Name.
    pub name: String,
    /// Seed of the first repetition; each further one takes the next.
    pub seed: u64,
    /// Repetitions.
    pub repetitions: u64,
    /// Policies to compare.
    pub policies: Vec<PolicyName>,
    /// Simulated time after which a run ends, in seconds.
    pub longest_seconds: u64,
    /// Machines.
    pub fleet: Fleet,
    /// Lengths of answers.
    pub lengths: LengthDistribution,
    /// Groups.
    pub group: Vec<Group>,
    /// Callers.
    #[serde(default)]
    pub callers: Callers,
    /// Faults.
    #[serde(default)]
    pub fault: Vec<FaultEntry>,
}

const POLICIES: Kind = Kind::Choice(&[
    "brasspond",
    "round-robin",
    "least-requests",
    "power-of-two",
    "whole-batch",
]);

const FLEET_FIELDS: &[Field] = &[
    Field::required("regions", Kind::Integer(1, 8)),
    Field::required("zones_per_region", Kind::Integer(1, 8)),
    Field::required("nodes", Kind::Integer(1, 1_000)),
    Field::required("engines", Kind::Integer(1, 4_000)),
    Field::required("max_running", Kind::Integer(1, 4_096)),
    Field::required("weight_slots", Kind::Integer(1, 1_000)),
    Field::required("weight_transfer_milliseconds", Kind::Integer(1, 600_000)),
    Field::optional("loss", Kind::Number(0.0, 0.5)),
    Field::optional("swap_failure", Kind::Number(0.0, 1.0)),
];

const LENGTH_FIELDS: &[Field] = &[
    Field::required("median", Kind::Number(1.0, 1e6)),
    Field::required("prompt_sigma", Kind::Number(0.0, 3.0)),
    Field::required("sample_sigma", Kind::Number(0.0, 3.0)),
];

const GROUP_FIELDS: &[Field] = &[
    Field::required("name", Kind::Name),
    Field::required("share", Kind::Number(0.001, 1e6)),
    Field::required("max_staleness", Kind::Integer(0, 1_000)),
    Field::optional("swap", Kind::Choice(&["mid-stream", "drain"])),
    Field::required("steps", Kind::Integer(0, 1_000_000)),
    Field::required("prompts", Kind::Integer(0, 65_536)),
    Field::required("samples_per_prompt", Kind::Integer(1, 65_536)),
    Field::required("prompt_bytes", Kind::Integer(16, 1_048_576)),
    Field::required("max_tokens", Kind::Integer(1, 1_048_576)),
    Field::required("steps_ahead", Kind::Integer(0, 16)),
    Field::required("training_seconds", Kind::Number(0.0, 1e6)),
    Field::optional("publish_seconds", Kind::Number(0.0, 1e6)),
];

const CALLER_FIELDS: &[Field] = &[
    Field::required("rate", Kind::Number(0.0, 1e6)),
    Field::required("tokens", Kind::Integer(1, 65_536)),
    Field::required("prompt_bytes", Kind::Integer(16, 1_048_576)),
];

const FAULT_FIELDS: &[Field] = &[
    Field::required(
        "kind",
        Kind::Choice(&[
            "node-crash",
            "node-pause",
            "node-drain",
            "engine-crash",
            "engine-leave",
            "failed-swaps",
            "store-down",
            "store-slow",
            "lost-answers",
            "zone-cut",
            "zone-lost",
            "regions-parted",
            "packet-loss",
            "operator-race",
        ]),
    ),
    Field::required("at_seconds", Kind::Number(0.0, 1e6)),
    Field::required("lasts_seconds", Kind::Number(0.0, 1e6)),
    Field::required("target", Kind::Integer(0, 1_000_000)),
];

const FIELDS: &[Field] = &[
    Field::required("name", Kind::Name),
    Field::required("seed", Kind::Integer(0, i64::MAX)),
    Field::required("repetitions", Kind::Integer(1, 1_000)),
    Field::required("policies", Kind::List(&POLICIES)),
    Field::required("longest_seconds", Kind::Integer(1, 1_000_000)),
    Field::required("fleet", Kind::Table(FLEET_FIELDS)),
    Field::required("lengths", Kind::Table(LENGTH_FIELDS)),
    Field::required("group", Kind::List(&Kind::Table(GROUP_FIELDS))),
    Field::optional("callers", Kind::Table(CALLER_FIELDS)),
    Field::optional("fault", Kind::List(&Kind::Table(FAULT_FIELDS))),
];

/// Reads and checks an experiment file.
///
/// # Errors
/// All findings, each with file, line, key and what is allowed.
pub fn parse_experiment(file: &str, text: &str) -> Result<Experiment, Vec<Finding>> {
    let document = parse_toml(file, text)?;
    let findings = check(&document, "", &document.value, FIELDS);
    if !findings.is_empty() {
        return Err(findings);
    }
    serde_json::from_value(document.value.clone()).map_err(|error| {
        let allowed = "see docs/OPERATIONS.md".to_owned();
        vec![document.finding("(document)", error.to_string(), allowed)]
    })
}
