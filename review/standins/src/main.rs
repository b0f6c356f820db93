//! Drivers of the review's cases: `review-cases CASE RECORD`. Each starts real edges and storage
//! processes on loopback with the project's stand-in of the platform, and checks what clients see.
//!
//! Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod crashed_item;
mod frozen_leader;
mod open_job;
mod record;

use record::Record;
use std::sync::Arc;

#[tokio::main]
async fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-cases CASE RECORD");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let Ok(record) = Record::create(&path) else {
        eprintln!("cannot write {path}");
        std::process::exit(2);
    };
    let record = Arc::new(record);
    let task = match case.as_str() {
        "frozen-leader" => tokio::spawn(frozen_leader::run(Arc::clone(&record), has_trouble)),
        "open-job" => tokio::spawn(open_job::run(Arc::clone(&record), has_trouble)),
        "crashed-item" => tokio::spawn(crashed_item::run(Arc::clone(&record), has_trouble)),
        _ => std::process::exit(2),
    };
    // A panic of the stand-ins means that the case could not run.
    let code = task.await.unwrap_or(2);
    record.line(&format!("verdict: exit code {code}"));
    std::process::exit(code);
}
