//! Deterministic completion texts that depend on the weight version of each token.
//!
//! Token `i` of a completion is a word chosen by a hash of the prompt, `i` and the weight
//! version, so that tests can check the version spans of a sample against its text.

use brasspond_types::{VersionSpan, WeightVersion, stable_hash};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};

const WORDS: [&str; 64] = [
    "llyfr",
    "stori",
    "plant",
    "darllen",
    "awdur",
    "pennod",
    "cerdd",
    "hanes",
    "bore",
    "afon",
    "mynydd",
    "tref",
    "llyfrgell",
    "antur",
    "môr",
    "cath",
    "draig",
    "ysgol",
    "haf",
    "gaeaf",
    "book",
    "story",
    "reader",
    "author",
    "chapter",
    "poem",
    "past",
    "morning",
    "river",
    "hill",
    "town",
    "library",
    "voyage",
    "sea",
    "cat",
    "dragon",
    "school",
    "summer",
    "winter",
    "garden",
    "iela",
    "māja",
    "dzīvoklis",
    "korpuss",
    "bulvāris",
    "prospekts",
    "laukums",
    "gatve",
    "ceļš",
    "rajons",
    "Brīvības",
    "Tērbatas",
    "Latgales",
    "Daugavas",
    "Matīsa",
    "Skolas",
    "Ausekļa",
    "Elizabetes",
    "Valdemāra",
    "Stabu",
    "Lāčplēša",
    "Čaka",
    "Ganu",
    "Vidus",
];

/// Log-normal distribution of completion lengths.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct LengthDistribution {
    /// Median length, in tokens.
    pub median: f64,
    /// Standard deviation of the logarithm of the length across prompts.
    pub prompt_sigma: f64,
    /// Standard deviation of the logarithm of the length across completions of one prompt.
    pub sample_sigma: f64,
}

impl Default for LengthDistribution {
    fn default() -> Self {
        Self {
            median: 200.0,
            prompt_sigma: 0.6,
            sample_sigma: 0.4,
        }
    }
}

/// Draws a factor from a log-normal distribution with median 1. Returns 1 if `sigma` is invalid.
fn draw(seed: u64, sigma: f64) -> f64 {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let distribution = LogNormal::new(0.0, sigma).or_else(|_| LogNormal::new(0.0, 0.0));
    distribution.map_or(1.0, |distribution| distribution.sample(&mut random))
}

/// Returns the completion length of a prompt for a sampling seed, in tokens. It is at least 1
/// and at most `max_tokens`.
pub fn completion_length(
    distribution: &LengthDistribution,
    prompt: &str,
    seed: u64,
    max_tokens: u32,
) -> u32 {
    let prompt_seed = stable_hash(&[b"length", prompt.as_bytes()]);
    let by_prompt = draw(prompt_seed, distribution.prompt_sigma);
    let by_sample = draw(seed ^ prompt_seed, distribution.sample_sigma);
    let length = distribution.median * by_prompt * by_sample;
    (length.round() as u32).clamp(1, max_tokens.max(1))
}

/// Returns the word of one token, without the space after it.
pub(crate) fn token_text(prompt: &str, index: u32, version: WeightVersion) -> &'static str {
    let parts = [
        prompt.as_bytes(),
        &index.to_le_bytes(),
        &version.0.to_le_bytes(),
    ];
    WORDS[(stable_hash(&parts) % WORDS.len() as u64) as usize]
}

/// Returns the text of `count` tokens from index `start` on.
pub fn text_of(prompt: &str, start: u32, count: u32, version: WeightVersion) -> String {
    let mut text = String::new();
    for index in start..start + count {
        text.push_str(token_text(prompt, index, version));
        text.push(' ');
    }
    text
}

/// Whether `text` is the text that the versions in `spans` generate for `prompt`.
pub fn verify_text(prompt: &str, spans: &[VersionSpan], text: &str) -> bool {
    let mut expected = String::new();
    let mut start = 0;
    for span in spans {
        expected.push_str(&text_of(prompt, start, span.tokens, span.version));
        start += span.tokens;
    }
    expected == text
}
