//! `brasspond check`: checks settings files of nodes and resource manifests.

use crate::exit::Outcome;
use crate::options::CheckOptions;
use brasspond_findings::Finding;
use brasspond_resource::parse_manifests;
use brasspond_settings::Settings;
use std::path::Path;

/// Checks all files and prints all findings.
pub(crate) fn run(options: &CheckOptions) -> Outcome {
    let mut findings = Vec::new();
    for file in &options.files {
        if let Err(found) = check_file(file) {
            findings.extend(found);
        }
    }
    for finding in &findings {
        eprintln!("{finding}");
    }
    if findings.is_empty() {
        println!("{} files are valid", options.files.len());
        return Outcome::Success;
    }
    eprintln!("{} findings", findings.len());
    Outcome::Usage
}

fn check_file(file: &Path) -> Result<(), Vec<Finding>> {
    let name = file.display().to_string();
    let file_finding =
        |problem: String, allowed: &str| vec![Finding::new(&name, 0, "(file)", problem, allowed)];
    let text = std::fs::read_to_string(file)
        .map_err(|error| file_finding(error.to_string(), "a file that can be read"))?;
    match file.extension().and_then(|extension| extension.to_str()) {
        Some("toml") => Settings::parse(&name, &text, &[]).map(|_| ()),
        Some("yaml" | "yml" | "json") => parse_manifests(&name, &text).map(|_| ()),
        _ => {
            let problem = "neither settings nor manifests".to_owned();
            Err(file_finding(problem, "*.toml, *.yaml, *.yml, *.json"))
        }
    }
}
