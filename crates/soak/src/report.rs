//! Reports of a run: JSON for programs, HTML with a timeline for people.

use crate::checks::{Broken, Seen};
use crate::history::Outcome;
use crate::play::Peak;
use crate::schedule::Schedule;
use serde::Serialize;
use std::fmt::Write;
use std::path::Path;

/// Height of the bar of the busiest second in the timeline, in pixels.
const HEIGHT: usize = 60;
/// Height of the line of a fault below the timeline, in pixels.
const FAULT_HEIGHT: usize = 14;
/// Width of a second in the timeline, in pixels.
const WIDTH: usize = 12;

/// A run in figures.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// What was played.
    pub schedule: Schedule,
    /// Promises that were broken; none in a good run.
    pub broken: Vec<Broken>,
    /// Seconds of the run.
    pub seconds: Vec<Second>,
    /// The most processes and memory at a time.
    pub peak: Peak,
    /// Jobs handed in, and results read.
    pub jobs: usize,
    /// Jobs whose end was acknowledged.
    pub ended_jobs: usize,
    /// Scoring calls that reached replicas.
    pub scoring_calls: usize,
    /// Replicas that ended under the content that ends them.
    pub ends: usize,
}

/// Calls that ended in a second.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Second {
    /// Answered with success.
    pub served: usize,
    /// Refused, failed, late, broken.
    pub others: usize,
    /// Longest time of one that was served, in ms.
    pub longest_ms: u64,
}

impl Report {
    /// Of a run.
    pub fn new(schedule: &Schedule, seen: &Seen, broken: Vec<Broken>, peak: Peak) -> Self {
        let length = (schedule.length / 1_000 + 1) as usize;
        let mut seconds = vec![Second::default(); length];
        for call in &seen.calls {
            let Some(second) = seconds.get_mut((call.ended_at / 1_000) as usize) else {
                continue;
            };
            match call.outcome {
                Outcome::Answered { status, .. } if status < 300 => {
                    second.served += 1;
                    let took = call.ended_at - call.sent_at;
                    second.longest_ms = second.longest_ms.max(took);
                }
                _ => second.others += 1,
            }
        }
        Self {
            schedule: schedule.clone(),
            broken,
            seconds,
            peak,
            jobs: seen.jobs.len(),
            ended_jobs: seen.ended_jobs(),
            scoring_calls: seen.scoring_calls(),
            ends: seen.ends,
        }
    }

    /// Writes `report.json` and `report.html`.
    ///
    /// # Errors
    /// The folder cannot be written.
    pub fn write(&self, folder: &Path) -> std::io::Result<()> {
        std::fs::create_dir_all(folder)?;
        let text = serde_json::to_string_pretty(self).map_err(std::io::Error::other)?;
        std::fs::write(folder.join("report.json"), text)?;
        std::fs::write(folder.join("report.html"), self.html())
    }

    /// The page for people. Writing to a string does not fail.
    fn html(&self) -> String {
        let mut page = String::from("<!doctype html><meta charset=utf-8><title>soak</title>\n");
        let _ = writeln!(
            page,
            "<h1>seed {}</h1><p>{} broken promises; {} jobs; {} processes, {} MB at the peak</p>",
            self.schedule.seed,
            self.broken.len(),
            self.jobs,
            self.peak.processes,
            self.peak.memory_kb / 1_024
        );
        page.push_str("<ul>");
        for one in &self.broken {
            let _ = writeln!(
                page,
                "<li>{} ms <b>{}</b>: {}",
                one.at,
                one.check,
                escaped(&one.what)
            );
        }
        page.push_str("</ul>\n");
        self.timeline(&mut page);
        page
    }

    /// Writes a bar for each second, served calls below and others above, and a line for each
    /// fault. Writing to a string does not fail.
    fn timeline(&self, page: &mut String) {
        let most = self.seconds.iter().map(|one| one.served + one.others);
        let most = most.max().unwrap_or(1).max(1);
        let height = HEIGHT + FAULT_HEIGHT * self.schedule.faults.len() + 20;
        let width = WIDTH * self.seconds.len() + 300;
        let _ = writeln!(page, "<svg width={width} height={height}>");
        for (number, second) in self.seconds.iter().enumerate() {
            let served = second.served * HEIGHT / most;
            let others = second.others * HEIGHT / most;
            let left = number * WIDTH;
            let _ = writeln!(
                page,
                "<rect x={left} y={} width=10 height={served} fill=seagreen><title>{} s: {} served, {} not, longest {} ms</title></rect><rect x={left} y={} width=10 height={others} fill=firebrick />",
                HEIGHT - served,
                number,
                second.served,
                second.others,
                second.longest_ms,
                HEIGHT.saturating_sub(served + others)
            );
        }
        for (number, fault) in self.schedule.faults.iter().enumerate() {
            let y = HEIGHT + FAULT_HEIGHT * (number + 1);
            let left = fault.at as usize * WIDTH / 1_000;
            let long = (fault.lasting as usize * WIDTH / 1_000).max(2);
            let _ = writeln!(
                page,
                "<rect x={left} y={} width={long} height=6 fill=gray /><text x={} y={y} font-size=10>{}</text>",
                y - 6,
                left + long + 4,
                escaped(&format!("{:?}", fault.trouble))
            );
        }
        page.push_str("</svg>\n");
    }
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;")
}
