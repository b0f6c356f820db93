//! `brasspond demo`: runs the whole system in one process.

use crate::exit::Outcome;
use crate::logging;
use crate::options::DemoOptions;

/// Runs the demonstration. Succeeds only if it completes and its report shows correct results.
pub(crate) fn run(options: &DemoOptions) -> Outcome {
    if let Err(error) = logging::start(&options.log_level, None) {
        eprintln!("cannot log: {error}");
    }
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot start the runtime: {error}");
            return Outcome::Failed;
        }
    };
    let demo = brasspond_demo::DemoOptions {
        seed: options.seed,
        steps: options.steps,
    };
    let result = runtime.block_on(brasspond_demo::run(demo, |line| println!("{line}")));
    runtime.shutdown_background();
    let report = match result {
        Ok(report) => report,
        Err(error) => {
            eprintln!("the demonstration failed: {error}");
            return Outcome::Failed;
        }
    };
    println!("{}", report.summary());
    if let Some(file) = &options.report {
        let text = serde_json::to_string_pretty(&report).map_err(std::io::Error::from);
        if let Err(error) = text.and_then(|text| std::fs::write(file, text)) {
            eprintln!("{}: {error}", file.display());
            return Outcome::Failed;
        }
    }
    if report.is_correct() {
        Outcome::Success
    } else {
        Outcome::Failed
    }
}
