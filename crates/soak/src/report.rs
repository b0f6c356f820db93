//! Reports of a run, as JSON and as HTML with a timeline.

use crate::checks::{Observed, Violation};
use crate::history::Outcome;
use crate::play::PeakUsage;
use crate::schedule::Schedule;
use serde::Serialize;
use std::fmt::Write;
use std::path::Path;

/// Height of the tallest bar in the timeline, in pixels.
const BAR_HEIGHT_PX: usize = 60;
/// Height of the row of a fault below the timeline, in pixels.
const FAULT_HEIGHT_PX: usize = 14;
/// Width of a second in the timeline, in pixels.
const SECOND_WIDTH_PX: usize = 12;

/// Summary of a run. The field names are the keys of `report.json`.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Schedule that was played.
    pub schedule: Schedule,
    /// Violations found by the checks.
    pub broken: Vec<Violation>,
    /// Calls by the second in which they ended.
    pub seconds: Vec<Second>,
    /// Peak resource usage.
    pub peak: PeakUsage,
    /// Number of submitted jobs.
    pub jobs: usize,
    /// Number of jobs whose end was acknowledged.
    pub ended_jobs: usize,
    /// Number of scoring calls that reached replicas.
    pub scoring_calls: usize,
    /// Number of runs of the request that makes the replica that runs it exit.
    pub ends: usize,
}

/// Counts of the calls that ended within one second.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Second {
    /// Number of calls that were answered with a status below 300.
    pub served: usize,
    /// Number of all other calls: refused, failed, timed out, broken off or not connected.
    pub others: usize,
    /// Longest duration of a served call, in ms.
    pub longest_ms: u64,
}

impl Report {
    /// Summarizes a run.
    pub fn new(
        schedule: &Schedule,
        observed: &Observed,
        broken: Vec<Violation>,
        peak: PeakUsage,
    ) -> Self {
        let length = (schedule.length / 1_000 + 1) as usize;
        let mut seconds = vec![Second::default(); length];
        for call in &observed.calls {
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
            jobs: observed.jobs.len(),
            ended_jobs: observed.ended_jobs(),
            scoring_calls: observed.scoring_calls(),
            ends: observed.crashes,
        }
    }

    /// Writes `report.json` and `report.html`.
    ///
    /// # Errors
    /// Returns an error if the folder or a file cannot be written.
    pub fn write(&self, folder: &Path) -> std::io::Result<()> {
        std::fs::create_dir_all(folder)?;
        let text = serde_json::to_string_pretty(self).map_err(std::io::Error::other)?;
        std::fs::write(folder.join("report.json"), text)?;
        std::fs::write(folder.join("report.html"), self.render_html())
    }

    /// Renders the HTML page. Write errors are ignored, as writing to a string cannot fail.
    fn render_html(&self) -> String {
        let mut page = String::from("<!doctype html><meta charset=utf-8><title>soak</title>\n");
        let _ = writeln!(
            page,
            "<h1>seed {}</h1><p>{} violations; {} jobs; {} processes, {} MB at the peak</p>",
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
                escape_html(&one.what)
            );
        }
        page.push_str("</ul>\n");
        self.render_timeline(&mut page);
        page
    }

    /// Renders a bar for each second, with served calls below and other calls above, and a row for
    /// each fault. Write errors are ignored, as writing to a string cannot fail.
    fn render_timeline(&self, page: &mut String) {
        let max_calls = self.seconds.iter().map(|one| one.served + one.others);
        let max_calls = max_calls.max().unwrap_or(1).max(1);
        let height = BAR_HEIGHT_PX + FAULT_HEIGHT_PX * self.schedule.faults.len() + 20;
        let width = SECOND_WIDTH_PX * self.seconds.len() + 300;
        let _ = writeln!(page, "<svg width={width} height={height}>");
        for (number, second) in self.seconds.iter().enumerate() {
            let served = second.served * BAR_HEIGHT_PX / max_calls;
            let others = second.others * BAR_HEIGHT_PX / max_calls;
            let left_px = number * SECOND_WIDTH_PX;
            let _ = writeln!(
                page,
                "<rect x={left_px} y={} width=10 height={served} fill=seagreen><title>{} s: {} served, {} not served, longest {} ms</title></rect><rect x={left_px} y={} width=10 height={others} fill=firebrick />",
                BAR_HEIGHT_PX - served,
                number,
                second.served,
                second.others,
                second.longest_ms,
                BAR_HEIGHT_PX.saturating_sub(served + others)
            );
        }
        for (number, fault) in self.schedule.faults.iter().enumerate() {
            let y = BAR_HEIGHT_PX + FAULT_HEIGHT_PX * (number + 1);
            let left_px = fault.at as usize * SECOND_WIDTH_PX / 1_000;
            let length_px = (fault.lasting as usize * SECOND_WIDTH_PX / 1_000).max(2);
            let _ = writeln!(
                page,
                "<rect x={left_px} y={} width={length_px} height=6 fill=gray /><text x={} y={y} font-size=10>{}</text>",
                y - 6,
                left_px + length_px + 4,
                escape_html(&format!("{:?}", fault.kind))
            );
        }
        page.push_str("</svg>\n");
    }
}

fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;")
}
